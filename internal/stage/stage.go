// Package stage connects the stages of processing a request by bounded queues, and
// bounds the bytes that the requests between two stages hold. Where a bound is
// reached the caller is refused or waits; nothing is dropped silently.
package stage

import (
	"context"
	"sync/atomic"
)

// Queue is a bounded queue between one stage and the next. Any number of
// goroutines may put and receive; one of them, after the last Put, closes.
type Queue[T any] struct {
	items chan T
	cause error // written before items is closed, read after
}

// NewQueue returns a queue that holds at most capacity items.
func NewQueue[T any](capacity int) *Queue[T] {
	return &Queue[T]{items: make(chan T, capacity)}
}

// Put adds an item and waits while the queue is full. It returns the context's
// error when that ends first; the item is then not in the queue.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	// A select picks either case when both are ready, so that an ended context has to
	// be checked before.
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

// TryPut adds an item and returns true, or returns false where the queue is full. It
// never waits.
func (q *Queue[T]) TryPut(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Items returns the channel to receive from. After Close it is closed once all
// items are received.
func (q *Queue[T]) Items() <-chan T { return q.items }

// Input returns the channel to send to, for a select.
func (q *Queue[T]) Input() chan<- T { return q.items }

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Close ends the queue with the error that caused it, nil for a regular end. It
// must be called once.
func (q *Queue[T]) Close(cause error) {
	q.cause = cause
	close(q.items)
}

// Cause returns the error that Close was called with. It may be called only after
// the channel of Items was seen closed.
func (q *Queue[T]) Cause() error { return q.cause }

// ByteBudget bounds the sum of the bytes that the requests between two stages hold.
// Its methods may be called concurrently.
type ByteBudget struct {
	limit    int64
	reserved atomic.Int64
}

// NewByteBudget returns a budget with a limit in bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// TryReserve reserves bytes and returns true, or reserves none and returns false
// where they exceed what is available. It never waits.
func (b *ByteBudget) TryReserve(bytes int64) bool {
	if b.reserved.Add(bytes) <= b.limit {
		return true
	}
	b.reserved.Add(-bytes)
	return false
}

// Release releases reserved bytes.
func (b *ByteBudget) Release(bytes int64) { b.reserved.Add(-bytes) }

// Available returns the number of bytes that could be reserved now.
func (b *ByteBudget) Available() int64 { return b.limit - b.reserved.Load() }
