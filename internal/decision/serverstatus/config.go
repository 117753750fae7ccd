package serverstatus

import "time"

const (
	defaultFreshFor     = 3 * time.Second
	defaultRetainFor    = 30 * time.Second
	defaultMaxClockSkew = 500 * time.Millisecond

	// minRepeatInterval holds up to 100 servers; beyond, the interval grows with
	// each server, so that repeats stay at some hundreds per second.
	minRepeatInterval       = time.Second
	repeatIntervalPerServer = 10 * time.Millisecond
	// freshRepeats is how many repeats a report may miss and still be fresh.
	freshRepeats = 3
)

// Config bounds the age of reports. Zero values take the defaults named.
type Config struct {
	// FreshFor is by how much a report may be older than the newest one on the same
	// server and still count; never under three RepeatIntervals. Default 3 s.
	FreshFor time.Duration
	// RetainFor is after how long an outdated report, and a server that is gone, is
	// dropped. Default 30 s.
	RetainFor time.Duration
	// MaxClockSkew is how far a watcher's fleet time may be ahead of this
	// process's; a report further ahead counts as of now. Default 500 ms.
	MaxClockSkew time.Duration
}

// RepeatInterval returns how often a watcher repeats an unchanged report, or states
// that its reports from the list are unchanged, in a fleet of a number of servers.
// Changes are reported at once whatever the size.
func RepeatInterval(servers int) time.Duration {
	return max(minRepeatInterval, time.Duration(servers)*repeatIntervalPerServer)
}

// freshMS returns for how many ms a report is fresh in a fleet of a number of
// servers.
func (c Config) freshMS(servers int) int64 {
	return max(c.FreshFor, freshRepeats*RepeatInterval(servers)).Milliseconds()
}

func (c Config) withDefaults() Config {
	if c.FreshFor <= 0 {
		c.FreshFor = defaultFreshFor
	}
	if c.RetainFor <= 0 {
		c.RetainFor = defaultRetainFor
	}
	if c.MaxClockSkew <= 0 {
		c.MaxClockSkew = defaultMaxClockSkew
	}
	return c
}
