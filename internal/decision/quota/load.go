package quota

import "time"

const (
	// minSendSpacing is the shortest spacing. Below it periodic counts alone don't
	// exceed the owner's rate, and fronts may send whenever they have something urgent.
	minSendSpacing intervals = 1

	// maxSendSpacing is the longest spacing. A front has to be heard more than once in
	// frontActiveFor.
	maxSendSpacing = frontActiveFor / 2

	// congestionPeriod is how often the congestion is adapted to the counts' lag.
	congestionPeriod = ownerUnresponsiveAfter

	congestionGrowth = 2.0
	maxCongestion    = 8.0
)

// addLoad limits how often fronts send counts to an owner: by their number, and less
// often while most counts are handled later than MaxLag after they were sent.
type addLoad struct {
	senders    map[frontID]time.Time // when a front was last heard
	congestion float64               // factor of the spacing; at least 1
	adaptedAt  time.Time
	lags       lagSample // since adaptedAt
	previous   lagSample // of the period before
}

// lagSample sums up how long counts took from their departure to their handling.
type lagSample struct {
	counts int
	late   int // later than MaxLag
	sum    time.Duration
}

func (s *lagSample) mean() time.Duration { return s.sum / time.Duration(max(1, s.counts)) }

// mostlyLate reports whether more than half of the counts were late, so that it isn't
// the lag of a few fronts.
func (s *lagSample) mostlyLate() bool { return 2*s.late > s.counts }

func newAddLoad() addLoad {
	return addLoad{senders: map[frontID]time.Time{}, congestion: 1}
}

func (l *addLoad) observeSender(front frontID, now time.Time) { l.senders[front] = now }

// observeLag records the time between a count's departure and its handling. It counts
// for no more than the time after which the sender gives up.
func (l *addLoad) observeLag(config *Config, lag time.Duration) {
	l.lags.counts++
	l.lags.sum += min(lag, ownerUnresponsiveAfter.in(config))
	if lag > config.MaxLag {
		l.lags.late++
	}
}

// congested reports whether counts are or were recently handled late: fronts that
// aren't heard may be spending then.
func (l *addLoad) congested() bool { return l.congestion > 1 }

// update forgets the fronts that are no longer active, and adapts the congestion once
// in a congestionPeriod.
func (l *addLoad) update(config *Config, now time.Time) {
	for front, heard := range l.senders {
		if now.Sub(heard) > frontActiveFor.in(config) {
			delete(l.senders, front)
		}
	}
	if now.Sub(l.adaptedAt) < congestionPeriod.in(config) {
		return
	}
	if l.lags.mostlyLate() {
		l.congestion = min(l.congestion*congestionGrowth, maxCongestion)
	} else {
		l.congestion = max(1, l.congestion/congestionGrowth)
	}
	l.adaptedAt = now
	l.previous = l.lags
	l.lags = lagSample{}
}

// Lag returns the mean time between the departure of a count and its handling here,
// over the last complete period of a second by default; zero if there was none.
func (c *Counter) Lag() time.Duration { return c.load.previous.mean() }

// Late reports whether most counts were handled later than the fronts' shares assume.
func (c *Counter) Late() bool { return c.load.previous.mostlyLate() }

// spacing returns the least time between two requests of each of the active fronts;
// zero if it isn't limited.
func (l *addLoad) spacing(config *Config) time.Duration {
	return limitedSpacing(config, l.congestion*float64(len(l.senders)))
}

// baseSpacing returns the spacing for an owner that a number of fronts send to and that
// handles their counts in time.
func baseSpacing(config *Config, fronts int) time.Duration {
	return limitedSpacing(config, float64(fronts))
}

func limitedSpacing(config *Config, fronts float64) time.Duration {
	spacing := time.Duration(fronts / config.MaxAddRate * float64(time.Second))
	if spacing <= minSendSpacing.in(config) {
		return 0
	}
	return min(spacing, maxSendSpacing.in(config))
}
