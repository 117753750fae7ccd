// Package owner runs functions on a piece of state in one goroutine, so that the
// state needs no lock. Callers hand the functions over through a channel; they
// run one after the other, in the order in which they arrive.
package owner

import (
	"context"
	"time"

	"stepwick/internal/clock"
)

// queueLength is how many functions may wait for an owner; Post blocks beyond it.
const queueLength = 1024

// Owner holds a state that only its own goroutine accesses.
type Owner[S any] struct {
	queue chan func(*S)
	done  chan struct{}
	stop  context.CancelFunc
}

// New starts the goroutine that owns the state.
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

// Post queues a change and doesn't wait until it has run. After Close it does
// nothing.
func (o *Owner[S]) Post(change func(*S)) {
	select {
	case o.queue <- change:
	case <-o.done:
	}
}

// Do queues a function, waits until it has run and reports true. After Close it
// reports false.
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

// Close stops the owner's goroutine and waits for its end. Queued functions that
// have not begun are dropped.
func (o *Owner[S]) Close() {
	o.stop()
	<-o.done
}

// Sleep waits until d has passed or ctx ends; it reports whether d passed.
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
