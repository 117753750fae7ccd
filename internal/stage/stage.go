// Package stage joins the stages of a request's way by bounded queues.
package stage

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded queue between one stage and the next. Any number of
// goroutines may put and take; one of them, after its last Put, closes.
type Queue[T any] struct {
	items chan T
	cause error
}

// NewQueue returns a queue that holds at most bound items.
func NewQueue[T any](bound int) *Queue[T] {
	return &Queue[T]{items: make(chan T, bound)}
}

// Put adds an item and waits while the queue is full. It gives the context's
// error when that ends first; the item is then not in the queue.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
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

// Offer adds an item unless the queue is full, and never waits.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel to receive from. It is closed by Close once all
// items are taken.
func (q *Queue[T]) Items() <-chan T { return q.items }

// In returns the channel to send to, for a select.
func (q *Queue[T]) In() chan<- T { return q.items }

// Len returns how many items are in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Close ends the queue with a cause, nil for a good end.
func (q *Queue[T]) Close(cause error) {
	q.cause = cause
	close(q.items)
}

// Cause returns what Close was given. It may be asked only after Items was
// seen closed.
func (q *Queue[T]) Cause() error { return q.cause }

// Budget bounds the sum of what the requests between two stages hold, in bytes.
type Budget struct {
	bound int64
	held  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bound int64) *Budget { return &Budget{bound: bound} }

// Take takes bytes, or none and false when they are over what is left. It
// never waits.
func (b *Budget) Take(bytes int64) bool {
	if b.held.Add(bytes) <= b.bound {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Give gives bytes back that were taken.
func (b *Budget) Give(bytes int64) { b.held.Add(-bytes) }

// Left returns how many bytes could be taken now.
func (b *Budget) Left() int64 { return b.bound - b.held.Load() }
