package quota

import (
	"cmp"
	"time"
)

// Feature is a departure from the plain sliding window counter, in which a tenant
// over its limit is rejected until the window's end. docs/TALLY.md gives the cause
// and the figures of each.
type Feature uint8

// Features, in the order in which they were added.
const (
	// EarlyUnblock ends the rejection of a tenant when its estimate falls below the limit.
	EarlyUnblock Feature = 1 << iota

	// SlidingLimit rejects requests once the spend within one window's length
	// exceeds the limit by Config.Overshoot, whatever the estimate.
	SlidingLimit

	// SlidingCapacity allows requests in spite of the estimate while the spend
	// within one window's length is below the limit.
	SlidingCapacity

	// FrontShares lets a front spend no more than its share of the capacity that is
	// known to be left.
	FrontShares

	// Queueing keeps a request over the front's share pending until the next
	// exchange if its tenant is well below the limit.
	Queueing

	// AllFeatures disabled leaves the plain sliding window counter.
	AllFeatures = EarlyUnblock | SlidingLimit | SlidingCapacity | FrontShares | Queueing
)

// Config configures Limiters and Counters, which have to agree on it. The zero value
// of a field means its default.
type Config struct {
	// Window is the length of a counting window; 8 s by default.
	Window time.Duration

	// Slices is the number of slices in a window; 50 by default.
	Slices int

	// Interval is the time between two exchanges with an owner; 200 ms by default.
	Interval time.Duration

	// MaxLag is how long a front's spend may take to appear in the totals that an
	// owner reports, beyond the spacing of its requests; 300 ms by default.
	MaxLag time.Duration

	// MaxAddRate is how many requests with counts an owner receives in a second from
	// all fronts together; 500 by default. With more active fronts than that allows in
	// an interval each of them sends less often.
	MaxAddRate float64

	// Overshoot is the fraction of the limit by which the spend within one window's
	// length may exceed it while the estimate is below; 0.08 by default.
	Overshoot float64

	// EvenFraction is the fraction of the remaining capacity that is divided evenly
	// among the active fronts, the rest being divided by demand; 0.5 by default.
	EvenFraction float64

	// Overspend is the fraction of the limit by which all fronts together may exceed
	// it; 0.07 by default.
	Overspend float64

	// Disabled holds the features to leave out, for measurements; none by default.
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

func positiveOr[T cmp.Ordered](value, otherwise T) T {
	var zero T
	if value <= zero {
		return otherwise
	}
	return value
}

func (c *Config) enabled(feature Feature) bool { return c.Disabled&feature == 0 }

// intervals is a duration in units of Config.Interval.
type intervals int64

const (
	// ownerUnresponsiveAfter is the time without an answer after which a front or
	// owner is taken for unresponsive.
	ownerUnresponsiveAfter intervals = 5

	// queueingEndsAfter is the time without an answer after which requests are no
	// longer queued in expectation of the next owner.
	queueingEndsAfter intervals = 15

	// requestTotalsFor is the time after a tenant's last request in which the
	// limiter keeps requesting its totals.
	requestTotalsFor intervals = 2

	// frontMissingAfter is the time without counts after which a front counts as
	// missing, and without calls after which this process was suspended.
	frontMissingAfter intervals = 4

	// frontActiveFor is the time without counts in which a front still takes part in
	// the division of the capacity.
	frontActiveFor intervals = 12

	// startupGrace is the time after start or resumption in which a counter doesn't
	// know all fronts' spend and distrusts its own view of who is unresponsive.
	startupGrace = 2 * ownerUnresponsiveAfter
)

func (n intervals) in(c *Config) time.Duration { return time.Duration(n) * c.Interval }
