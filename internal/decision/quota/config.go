package quota

import (
	"cmp"
	"time"
)

// Feature is a bit set of extensions to the plain sliding window counter, which
// rejects a tenant over its limit until the window ends. docs/TALLY.md gives the
// reason and the measurements for each.
type Feature uint8

const (
	// EarlyUnblock stops rejecting a tenant as soon as its estimate falls below the limit.
	EarlyUnblock Feature = 1 << iota

	// SlidingLimit rejects requests once the spend during the last Config.Window
	// exceeds the limit by Config.Overshoot, regardless of the estimate.
	SlidingLimit

	// SlidingCapacity allows requests while the spend during the last Config.Window
	// is below the limit, even if the estimate is not.
	SlidingCapacity

	// FrontShares limits a front to its share of the remaining capacity.
	FrontShares

	// Queueing holds a request that exceeds the front's share until the next exchange
	// if its tenant is well below the limit.
	Queueing

	// AllFeatures is the set of all features. Disabling it leaves the plain sliding
	// window counter.
	AllFeatures = EarlyUnblock | SlidingLimit | SlidingCapacity | FrontShares | Queueing
)

// Config configures Limiters and Counters. All fronts must use the same values. A
// field that is zero takes its default.
type Config struct {
	// Window is the length of a counting window; 8 s by default.
	Window time.Duration

	// Slices is the number of slices into which a window is divided; 50 by default.
	Slices int

	// Interval is the period of a front's exchanges with an owner; 200 ms by default.
	Interval time.Duration

	// MaxLag is the maximum time until a front's spend appears in the totals that an
	// owner reports, in addition to the front's send spacing; 300 ms by default.
	MaxLag time.Duration

	// MaxAddRate is the maximum number of Add requests per second that an owner
	// receives from all fronts together; 500 by default. If the active fronts would
	// exceed it by sending once per Interval, each of them sends less often.
	MaxAddRate float64

	// Overshoot is the fraction of the limit by which the spend during the last Window
	// may exceed the limit while the estimate is below it; 0.08 by default.
	Overshoot float64

	// EvenFraction is the fraction of the remaining capacity that is divided evenly
	// among the active fronts; the rest is divided by demand. 0.5 by default.
	EvenFraction float64

	// Overspend is the fraction of the limit by which all fronts together may exceed
	// the limit through their shares; 0.07 by default.
	Overspend float64

	// Disabled is the set of features to turn off, for measurements; none by default.
	Disabled Feature
}

func (c Config) withDefaults() Config {
	c.Window = positiveOr(c.Window, 8*time.Second)
	c.Slices = positiveOr(c.Slices, 50)
	c.Interval = positiveOr(c.Interval, 200*time.Millisecond)
	c.MaxLag = positiveOr(c.MaxLag, 300*time.Millisecond)
	c.MaxAddRate = positiveOr(c.MaxAddRate, 500)
	c.Overshoot = positiveOr(c.Overshoot, 0.08)
	c.EvenFraction = positiveOr(c.EvenFraction, 0.5)
	c.Overspend = positiveOr(c.Overspend, 0.07)
	return c
}

func positiveOr[T cmp.Ordered](value, fallback T) T {
	var zero T
	if value <= zero {
		return fallback
	}
	return value
}

func (c *Config) enabled(feature Feature) bool { return c.Disabled&feature == 0 }

// intervals is a duration in units of Config.Interval.
type intervals int64

const (
	// ownerUnresponsiveAfter is the time without a response after which a front or
	// owner is considered unresponsive.
	ownerUnresponsiveAfter intervals = 5

	// queueingEndsAfter is the time without a response after which requests are no
	// longer queued to wait for a new owner.
	queueingEndsAfter intervals = 15

	// requestTotalsFor is how long after a tenant's last request the limiter continues
	// to request its totals.
	requestTotalsFor intervals = 2

	// frontMissingAfter is the time without counts after which a front is considered
	// missing, and the time without calls after which this process is assumed to have
	// been suspended.
	frontMissingAfter intervals = 4

	// frontInactiveAfter is the time without counts after which a front no longer
	// receives a part of the capacity.
	frontInactiveAfter intervals = 12

	// startupGrace is the time after a start or resumption during which a counter may
	// lack other fronts' spend, and ignores its own view of which are unresponsive.
	startupGrace = 2 * ownerUnresponsiveAfter
)

func (n intervals) duration(c *Config) time.Duration { return time.Duration(n) * c.Interval }
