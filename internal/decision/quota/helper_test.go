package quota

import (
	"time"

	"stepwick/internal/wire"
)

const oneSecond = time.Second

var start = time.UnixMicro(1_800_000_000_000_000)

// atSecond returns the instant a number of seconds after start, which begins a window.
func atSecond(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(oneSecond)))
}

// ownerA returns front a as the owner of every tenant.
func ownerA(string) string { return "a" }

// exchange sends a limiter's counts to a counter and applies the response without delay.
func exchange(limiter *Limiter, counter *Counter, now time.Time) {
	for _, counts := range limiter.CountsToSend(now, ownerA) {
		resp := counter.Add(&wire.AddRequest{Front: limiter.self, Incarnation: 1, Counts: counts}, now)
		limiter.ApplyTotals(resp, now, now)
	}
}
