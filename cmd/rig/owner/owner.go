// Package owner confines a value to one goroutine, so that it needs no lock. Callers
// send functions through a channel; the goroutine runs them on the value one at a
// time, in the order of arrival.
package owner

import (
	"context"
	"time"

	"stepwick/internal/clock"
)

// queueLength is the capacity of an owner's queue; Post and Do block while it is full.
const queueLength = 1024

// Owner holds a value of type S that only its own goroutine accesses.
type Owner[S any] struct {
	queue chan func(*S)
	done  chan struct{}
	stop  context.CancelFunc
}

// New starts the goroutine that owns the state. Close stops it.
func New[S any](state S) *Owner[S] {
	ctx, stop := context.WithCancel(context.Background())
	owner := &Owner[S]{
		queue: make(chan func(*S), queueLength),
		done:  make(chan struct{}),
		stop:  stop,
	}
	go owner.serve(ctx, &state)
	return owner
}

func (o *Owner[S]) serve(ctx context.Context, state *S) {
	defer close(o.done)
	for {
		select {
		case function := <-o.queue:
			function(state)
		case <-ctx.Done():
			return
		}
	}
}

// Post queues a function without waiting until it has run. After Close the function
// is not run.
func (o *Owner[S]) Post(change func(*S)) {
	select {
	case o.queue <- change:
	case <-o.done:
	}
}

// Do queues a function, waits until it has run and returns true. It returns false if
// the owner is closed first.
func (o *Owner[S]) Do(function func(*S)) bool {
	ran := make(chan struct{})
	queued := func(state *S) {
		function(state)
		close(ran)
	}
	select {
	case o.queue <- queued:
	case <-o.done:
		return false
	}
	select {
	case <-ran:
		return true
	case <-o.done:
		return false
	}
}

// Close stops the owner's goroutine and waits until it has ended. Queued functions
// that have not started may be dropped.
func (o *Owner[S]) Close() {
	o.stop()
	<-o.done
}

// Sleep waits until d has elapsed or ctx is done; it reports whether d elapsed.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer, stop := clock.NewTimer(d)
	defer stop()
	select {
	case <-timer:
		return true
	case <-ctx.Done():
		return false
	}
}
