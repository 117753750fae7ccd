package serverstatus

import "time"

const (
	defaultFreshFor     = 3 * time.Second
	defaultRetainFor    = 30 * time.Second
	defaultMaxClockSkew = 500 * time.Millisecond

	// minRepeatInterval applies to fleets of up to 100 servers. In larger fleets the
	// interval grows with the number of servers, which keeps repeats at a few
	// hundred per second.
	minRepeatInterval       = time.Second
	repeatIntervalPerServer = 10 * time.Millisecond
	// freshRepeats is the number of consecutive repeats that may be missing before a
	// report becomes outdated.
	freshRepeats = 3
)

// Config bounds the age of reports. Zero values select the defaults.
type Config struct {
	// FreshFor is how much older than the newest report on the same server, from the
	// same source, a report may be and still be merged. At least three
	// RepeatIntervals apply. Default 3 s.
	FreshFor time.Duration
	// RetainFor is how long outdated reports, and servers that are gone, are retained
	// before Prune removes them. Default 30 s.
	RetainFor time.Duration
	// MaxClockSkew is how far a watcher's fleet time may be ahead of this process's.
	// A report that is further ahead is stored with the current time. Default 500 ms.
	MaxClockSkew time.Duration
}

// RepeatInterval returns the interval at which a watcher repeats an unchanged report,
// or confirms by digest that its reports from the list are unchanged, in a fleet of
// the given number of servers. Changes are reported immediately in fleets of any size.
func RepeatInterval(servers int) time.Duration {
	return max(minRepeatInterval, time.Duration(servers)*repeatIntervalPerServer)
}

// freshMS returns how long a report is fresh, in milliseconds, in a fleet of the given
// number of servers.
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
