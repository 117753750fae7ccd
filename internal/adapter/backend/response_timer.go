package backend

import (
	"context"
	"sync/atomic"
	"time"
)

// responseTimer cancels an attempt when the server does not send data in time. Its
// owner must stop it.
type responseTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

// newResponseTimer starts a timer that calls cancel after the timeout.
func newResponseTimer(timeout time.Duration, cancel context.CancelFunc) *responseTimer {
	timer := &responseTimer{}
	timer.timer = time.AfterFunc(timeout, func() {
		timer.expired.Store(true)
		cancel()
	})
	return timer
}

func (t *responseTimer) restart(timeout time.Duration) { t.timer.Reset(timeout) }

func (t *responseTimer) stop() { t.timer.Stop() }

// replaceIfExpired returns a timeout failure in place of the given one if the timer
// has expired, and the given failure otherwise.
func (t *responseTimer) replaceIfExpired(failure *Failure) *Failure {
	switch {
	case !t.expired.Load() || failure == nil:
		return failure
	case failure.NotSent():
		return &Failure{Kind: NotSent, Detail: "no connection to the server within the timeout for the first event"}
	}
	return &Failure{Kind: TimedOut, Detail: "server sent no event within its timeout"}
}
