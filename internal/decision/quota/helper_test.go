package quota

import (
	"time"

	"stepwick/internal/wire"
)

const second = time.Second

var start = time.UnixMicro(1_800_000_000_000_000)

// after returns an instant in seconds after start, the beginning of a window.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(second)))
}

// ownerA makes front a the owner of every tenant.
func ownerA(string) string { return "a" }

// exchange sends a limiter's counts to a counter and applies the response at once.
func exchange(limiter *Limiter, counter *Counter, now time.Time) {
	for _, counts := range limiter.CountsToSend(now, ownerA) {
		resp := counter.Add(&wire.AddRequest{Front: limiter.self, Incarnation: 1, Counts: counts}, now)
		limiter.ApplyTotals(resp, now, now)
	}
}
