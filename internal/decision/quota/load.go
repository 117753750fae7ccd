package quota

import "time"

const (
	// minSendSpacing is the fraction of an interval up to which fronts may send
	// whenever they have something urgent.
	minSendSpacing = 0.25

	// maxSendSpacing is the longest spacing. A front has to be heard more than once in
	// frontActiveFor.
	maxSendSpacing = frontActiveFor / 2

	// congestionPeriod is how often the congestion is adapted to the counts' lag.
	congestionPeriod = ownerUnresponsiveAfter

	congestionGrowth = 2.0
	congestionDecay  = 0.9
	maxCongestion    = 64
)

// addLoad limits how often fronts send counts to an owner: by their number, and less
// often while counts are handled later than MaxLag after they were sent.
type addLoad struct {
	congestion float64 // factor of the spacing; at least 1
	adaptedAt  time.Time
	lag        time.Duration // summed since adaptedAt
	counts     int
	lastLag    time.Duration // mean of the period before adaptedAt
}

// observeLag records the time between a count's departure and its handling.
func (l *addLoad) observeLag(lag time.Duration) {
	l.lag += lag
	l.counts++
}

// meanLag returns the counts' mean lag since congestion was adapted.
func (l *addLoad) meanLag() time.Duration { return l.lag / time.Duration(max(1, l.counts)) }

// congested reports whether counts were handled late, and fronts aren't known to have
// adapted to that.
func (l *addLoad) congested() bool { return l.congestion > 1 }

// update adapts the congestion once in a congestionPeriod.
func (l *addLoad) update(config *Config, now time.Time) {
	if now.Sub(l.adaptedAt) < congestionPeriod.in(config) {
		return
	}
	if l.meanLag() > config.MaxLag {
		l.congestion *= congestionGrowth
	} else {
		l.congestion = max(1, l.congestion*congestionDecay)
	}
	*l = addLoad{
		congestion: min(l.congestion, maxCongestion),
		adaptedAt:  now,
		lastLag:    l.meanLag(),
	}
}

// Lag returns the mean time between the departure of a count and its handling here,
// over the last complete period of a second by default; zero if there was none.
func (c *Counter) Lag() time.Duration { return c.load.lastLag }

// Late reports whether the counts' lag exceeds what the fronts' shares assume.
func (c *Counter) Late() bool { return c.load.lastLag > c.config.MaxLag }

// baseSpacing returns the spacing for an owner that handles counts in time.
func baseSpacing(config *Config, fronts int) time.Duration {
	load := addLoad{congestion: 1}
	return load.spacing(config, fronts)
}

// spacing returns the least time between two requests of each of a number of fronts;
// zero if it isn't limited.
func (l *addLoad) spacing(config *Config, fronts int) time.Duration {
	seconds := l.congestion * float64(fronts) / config.MaxAddRate
	spacing := time.Duration(seconds * float64(time.Second))
	if float64(spacing) <= minSendSpacing*float64(config.Interval) {
		return 0
	}
	return min(spacing, maxSendSpacing.in(config))
}
