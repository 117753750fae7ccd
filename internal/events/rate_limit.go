package events

import "time"

// Parameters of the token bucket that limits the rate of each event.
const (
	Burst           = 20 // events at once
	RefillPerSecond = 5  // events per second after a burst
)

// rateLimits contains the token buckets by event number.
type rateLimits map[int]*tokenBucket

type tokenBucket struct {
	event      Event
	tokens     float64
	refilledAt time.Time
	suppressed uint64
}

// allow reports whether an event may be logged; if not, it counts the event as
// suppressed.
func (r rateLimits) allow(event Event, now time.Time) bool {
	bucket, ok := r[event.Number]
	if !ok {
		bucket = &tokenBucket{event: event, tokens: Burst, refilledAt: now}
		r[event.Number] = bucket
	}
	if elapsed := now.Sub(bucket.refilledAt); elapsed > 0 {
		bucket.tokens = min(Burst, bucket.tokens+elapsed.Seconds()*RefillPerSecond)
		bucket.refilledAt = now
	}
	if bucket.tokens < 1 {
		bucket.suppressed++
		return false
	}
	bucket.tokens--
	return true
}

// suppressedCount is the number of emissions of an event that were suppressed.
type suppressedCount struct {
	event Event
	count uint64
}

// takeSuppressed returns the counts of suppressed events, sorted by event
// number, and resets them.
func (r rateLimits) takeSuppressed() []suppressedCount {
	var counts []suppressedCount
	for _, event := range Catalogue() {
		if bucket, ok := r[event.Number]; ok && bucket.suppressed > 0 {
			counts = append(counts, suppressedCount{event, bucket.suppressed})
			bucket.suppressed = 0
		}
	}
	return counts
}
