package replica

import (
	"context"
	"time"

	"stepwick/internal/events"
)

// waitLogDelay is the time that a core must wait before the reason is logged.
const waitLogDelay = 2 * time.Second

// waitStatus describes why a core does not vote yet.
type waitStatus struct {
	reason string
	since  time.Time // time of the first report
	logged string    // last logged reason
}

// logDue reports whether the reason is to be logged now. If so, it marks the reason as
// logged.
func (w *waitStatus) logDue(now time.Time) bool {
	if w.since.IsZero() {
		w.since = now
	}
	if w.logged == w.reason || now.Sub(w.since) < waitLogDelay {
		return false
	}
	w.logged = w.reason
	return true
}

// reportWaiting publishes the reason why the core does not vote yet, and logs each
// reason once when the wait exceeds waitLogDelay.
func (r *Replica) reportWaiting(ctx context.Context, event events.Event, reason string) {
	logDue, err := callOwner(ctx, r, func(o *owner, reply func(bool, error)) {
		if o.waiting.reason != reason {
			o.waiting.reason = reason
			o.publishStanding()
		}
		reply(o.waiting.logDue(r.clock.Now()), nil)
	})
	if err == nil && logDue {
		r.events.Emit(event, "core", r.cfg.Self, "waiting", reason)
	}
}
