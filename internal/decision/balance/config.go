package balance

import (
	"cmp"
	"time"
)

// Config is a node's location and the limits that hold over the fleet. Zero values
// take the defaults named.
type Config struct {
	// Self is the node's name; Region and Zone are where it runs.
	Self, Region, Zone string
	// RetryRatio limits the retries to a service within RetryWindow to a fraction of
	// its requests, plus RetrySlack retries over all nodes; 0.1, 10 s and 0. Since a
	// zero ratio means the default, it can't turn retries off.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// SlowStartOverage and SlowStartSlack widen the requests per second that a server
	// in slow start accepts from all nodes: rate × overage + slack; 1 and 0.
	SlowStartOverage float64
	SlowStartSlack   float64
	// BaseEjectionTime is how long a server is ejected at first, doubled at each
	// further ejection up to MaxEjectionTime; 1 s and 5 s.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// Disabled are the mechanisms that are switched off.
	Disabled Disabled
}

func (c Config) withDefaults() Config {
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.1)
	c.RetryWindow = cmp.Or(c.RetryWindow, 10*time.Second)
	c.SlowStartOverage = cmp.Or(c.SlowStartOverage, 1)
	c.BaseEjectionTime = cmp.Or(c.BaseEjectionTime, time.Second)
	c.MaxEjectionTime = cmp.Or(c.MaxEjectionTime, 5*time.Second)
	return c
}
