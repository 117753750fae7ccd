package replica

import (
	"context"
	"time"

	"stepwick/internal/events"
)

// waitLogDelay is how long a core waits to vote before it is logged what for.
const waitLogDelay = 2 * time.Second

// waitStatus is what a core that does not vote waits for.
type waitStatus struct {
	reason string
	since  time.Time // when a reason was first reported
	logged string    // the reason logged last
}

// logDue reports whether the reason is to be logged now, and notes that it was.
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

// reportWaiting publishes what the core waits for, and logs it when the wait
// takes long.
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
