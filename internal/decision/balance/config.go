package balance

import (
	"cmp"
	"time"
)

// Config holds a node's location, the fleet-wide limits and the ejection times. Zero
// values take the defaults given at each field.
type Config struct {
	// Self is the name of this node; Region and Zone are its location.
	Self, Region, Zone string
	// Within any RetryWindow, retries to a service are limited to RetryRatio times its
	// requests, plus RetrySlack retries over all nodes. The defaults are 0.1, 10 s
	// and 0. A zero RetryRatio means the default, so it cannot disable retries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// All nodes together send a server in slow start at most rate × SlowStartOverage +
	// SlowStartSlack requests per second, where rate is the lowest SlowStartRate of its
	// services. The defaults are 1 and 0.
	SlowStartOverage float64
	SlowStartSlack   float64
	// BaseEjectionTime is the duration of a server's first ejection. It doubles with
	// each consecutive ejection, up to MaxEjectionTime. The defaults are 1 s and 5 s.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// Disabled is the set of disabled mechanisms; nil for none.
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
