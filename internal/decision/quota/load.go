package quota

import "time"

const (
	// minSendSpacing is the spacing up to which none is enforced: periodic counts alone
	// stay within MaxAddRate, and fronts may send urgent counts at any time.
	minSendSpacing intervals = 1

	// maxSendSpacing is the longest spacing. A front must send more than once within
	// frontInactiveAfter in order to remain active.
	maxSendSpacing = frontInactiveAfter / 2

	// congestionPeriod is the time between two adjustments of the congestion.
	congestionPeriod = ownerUnresponsiveAfter

	congestionGrowth = 2.0
	maxCongestion    = 8.0
)

// loadControl limits how often fronts send counts to an owner: the more fronts there
// are, the less often each may send, and less often still while most counts are handled
// later than MaxLag after they were sent.
type loadControl struct {
	senders      map[frontID]time.Time // time of each front's last request
	congestion   float64               // factor of the spacing; at least 1
	adaptedAt    time.Time
	currentLags  lagStats // since adaptedAt
	previousLags lagStats // of the last complete period
}

// lagStats summarizes the lags of counts, from their sending to their handling here.
type lagStats struct {
	counts int
	late   int // with a lag above MaxLag
	sum    time.Duration
}

func (s *lagStats) mean() time.Duration { return s.sum / time.Duration(max(1, s.counts)) }

// mostlyLate reports whether more than half of the counts were late, so that the lag of
// a few fronts alone doesn't count as congestion.
func (s *lagStats) mostlyLate() bool { return 2*s.late > s.counts }

func newLoadControl() loadControl {
	return loadControl{senders: map[frontID]time.Time{}, congestion: 1}
}

func (l *loadControl) observeSender(front frontID, now time.Time) { l.senders[front] = now }

// observeLag records the lag of a count. The mean includes at most
// ownerUnresponsiveAfter of it, the time after which the sender gives up.
func (l *loadControl) observeLag(config *Config, lag time.Duration) {
	l.currentLags.counts++
	l.currentLags.sum += min(lag, ownerUnresponsiveAfter.duration(config))
	if lag > config.MaxLag {
		l.currentLags.late++
	}
}

// congested reports whether most counts are, or recently were, handled late. Fronts whose
// counts don't arrive may then be spending all the same.
func (l *loadControl) congested() bool { return l.congestion > 1 }

// update removes the fronts that are no longer active, and adjusts the congestion once
// per congestionPeriod.
func (l *loadControl) update(config *Config, now time.Time) {
	for front, lastRequestAt := range l.senders {
		if now.Sub(lastRequestAt) > frontInactiveAfter.duration(config) {
			delete(l.senders, front)
		}
	}
	if now.Sub(l.adaptedAt) < congestionPeriod.duration(config) {
		return
	}
	if l.currentLags.mostlyLate() {
		l.congestion = min(l.congestion*congestionGrowth, maxCongestion)
	} else {
		l.congestion = max(1, l.congestion/congestionGrowth)
	}
	l.adaptedAt = now
	l.previousLags = l.currentLags
	l.currentLags = lagStats{}
}

// Lag returns the mean time between the sending of a count and its handling here, over
// the last complete congestionPeriod (1 s by default). It is zero if there were none.
func (c *Counter) Lag() time.Duration { return c.load.previousLags.mean() }

// CountsLate reports whether most counts in the last complete congestionPeriod were handled
// later than Config.MaxLag after they were sent, the maximum that the fronts' shares
// assume.
func (c *Counter) CountsLate() bool { return c.load.previousLags.mostlyLate() }

// spacing returns the minimum time between two requests of each active front; zero if
// their rate isn't limited.
func (l *loadControl) spacing(config *Config) time.Duration {
	return sendSpacingFor(config, l.congestion*float64(len(l.senders)))
}

// baseSpacing returns the spacing for an owner that receives counts from a number of
// fronts and is not congested.
func baseSpacing(config *Config, fronts int) time.Duration {
	return sendSpacingFor(config, float64(fronts))
}

func sendSpacingFor(config *Config, fronts float64) time.Duration {
	spacing := time.Duration(fronts / config.MaxAddRate * float64(time.Second))
	if spacing <= minSendSpacing.duration(config) {
		return 0
	}
	return min(spacing, maxSendSpacing.duration(config))
}
