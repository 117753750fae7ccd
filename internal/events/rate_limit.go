package events

import "time"

// The rate limit of each event, by a token bucket.
const (
	Burst           = 20 // emissions at once
	RefillPerSecond = 5  // emissions a second after that
)

// rateLimits has a token bucket for each event, by number.
type rateLimits map[int]*tokenBucket

type tokenBucket struct {
	event      Event
	tokens     float64
	refilledAt time.Time
	suppressed uint64
}

// allow reports whether an event may be logged, and counts it if not.
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

// suppressedCount is how many emissions of an event were left out.
type suppressedCount struct {
	event Event
	count uint64
}

// takeSuppressed returns the counts of suppressed events, in the order of the
// catalogue, and resets them.
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
