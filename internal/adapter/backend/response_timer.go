package backend

import (
	"context"
	"sync/atomic"
	"time"
)

// responseTimer cancels an attempt whose server does not respond in time. Its
// owner must stop it.
type responseTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

// newResponseTimer returns a running timer.
func newResponseTimer(timeout time.Duration, cancel context.CancelFunc) *responseTimer {
	timer := &responseTimer{}
	timer.timer = time.AfterFunc(timeout, func() {
		timer.expired.Store(true)
		cancel()
	})
	return timer
}

func (t *responseTimer) start(timeout time.Duration) { t.timer.Reset(timeout) }

func (t *responseTimer) stop() { t.timer.Stop() }

// explain replaces a failure by the timeout if that was its cause.
func (t *responseTimer) explain(failure *Failure) *Failure {
	switch {
	case !t.expired.Load() || failure == nil:
		return failure
	case failure.NotSent():
		return &Failure{Kind: NotSent, Detail: "the server took no connection in time"}
	}
	return &Failure{Kind: TimedOut, Detail: "the server was silent for too long"}
}
