// Package stage connects the stages of request processing with bounded queues, and
// limits the memory held by the requests between two stages. At the limit a call is
// rejected or waits; nothing is dropped silently.
package stage

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded queue between one stage and the next. Any number of goroutines
// may add and receive items. One of them must call Close after the last Put.
type Queue[T any] struct {
	items chan T
	cause error // written before items is closed and read only afterwards
}

// NewQueue returns a queue that holds at most capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Put adds an item, and waits while the queue is full. If the context ends first, Put
// returns its error and the item is not added.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	// A select picks a random case if both are ready, so an ended context has to be
	// checked first.
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPut adds an item and returns true, or returns false if the queue is full. It never
// waits.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel from which items are received. After Close, the remaining
// items can still be received before the channel reports that it is closed.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Input returns the channel to which items are sent, for use in a select statement.
func (q *Queue[T]) Input() chan<- T { return q.items }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Close closes the queue with the error that ended it, or nil after a normal end. It
// must be called at most once.
func (q *Queue[T]) Close(cause error) {
	q.cause = cause
	close(q.items)
}

// Cause returns the error passed to Close. It may be called only after a receive from
// Items has reported that the channel is closed.
func (q *Queue[T]) Cause() error { return q.cause }

// ByteBudget limits the total number of bytes held by the requests between two stages.
// It is safe for concurrent use.
type ByteBudget struct {
	limit    int64
	reserved atomic.Int64
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// TryReserve reserves the given number of bytes and returns true, or reserves none and
// returns false if fewer are available. It never waits.
func (b *ByteBudget) TryReserve(bytes int64) bool {
	if b.reserved.Add(bytes) <= b.limit {
		return true
	}
	b.reserved.Add(-bytes)
	return false
}

// Release returns reserved bytes to the budget.
func (b *ByteBudget) Release(bytes int64) { b.reserved.Add(-bytes) }

// Available returns the number of bytes that are not reserved.
func (b *ByteBudget) Available() int64 { return b.limit - b.reserved.Load() }
