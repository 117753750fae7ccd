// Package owner gives a piece of state to one goroutine; others reach it over a
// channel.
package owner

import (
	"context"
	"time"

	"stepwick/internal/clock"
)

// Owner holds a state that only its goroutine touches.
type Owner[S any] struct {
	ask  chan func(*S)
	done chan struct{}
	halt context.CancelFunc
}

// New starts the owner of a state.
func New[S any](state S) *Owner[S] {
	ctx, halt := context.WithCancel(context.Background())
	o := &Owner[S]{ask: make(chan func(*S), 1024), done: make(chan struct{}), halt: halt}
	go func() {
		defer close(o.done)
		for {
			select {
			case f := <-o.ask:
				f(&state)
			case <-ctx.Done():
				return
			}
		}
	}()
	return o
}

// Tell hands a change to the owner and does not wait for it. After End it
// does nothing.
func (o *Owner[S]) Tell(f func(*S)) {
	select {
	case o.ask <- f:
	case <-o.done:
	}
}

// Ask hands a function to the owner and waits until it has run. It returns
// false after End.
func (o *Owner[S]) Ask(f func(*S)) bool {
	ran := make(chan struct{})
	select {
	case o.ask <- func(s *S) { f(s); close(ran) }:
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

// End stops the owner.
func (o *Owner[S]) End() {
	o.halt()
	<-o.done
}

// Wait returns after d or when ctx ends; it tells whether d passed.
func Wait(ctx context.Context, d time.Duration) bool {
	c, stop := clock.NewTimer(d)
	defer stop()
	select {
	case <-c:
		return true
	case <-ctx.Done():
		return false
	}
}
