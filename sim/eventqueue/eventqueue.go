// Package eventqueue is the event queue of a discrete-event simulation in virtual time.
package eventqueue

import (
	"cmp"
	"container/heap"
)

// Queue is a priority queue of scheduled actions. Actions of the same instant are
// removed in the order in which they were scheduled, so that equal seeds give equal
// runs. The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T cmp.Ordered] struct {
	events   eventHeap[T]
	sequence uint64
}

// Schedule adds an action to run at an instant.
func (q *Queue[T]) Schedule(at T, action func()) {
	q.sequence++
	heap.Push(&q.events, event[T]{at: at, sequence: q.sequence, action: action})
}

// NextTime returns the instant of the earliest event without removing it, or false if the
// queue is empty.
func (q *Queue[T]) NextTime() (at T, ok bool) {
	if len(q.events) == 0 {
		return at, false
	}
	return q.events[0].at, true
}

// Pop removes the earliest event and returns its instant and action. The queue
// must not be empty.
func (q *Queue[T]) Pop() (at T, action func()) {
	earliest := heap.Pop(&q.events).(event[T])
	return earliest.at, earliest.action
}

type event[T cmp.Ordered] struct {
	at       T
	sequence uint64
	action   func()
}

// eventHeap implements heap.Interface.
type eventHeap[T cmp.Ordered] []event[T]

func (h eventHeap[T]) Len() int { return len(h) }

func (h eventHeap[T]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap[T]) Push(x any) { *h = append(*h, x.(event[T])) }

func (h *eventHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = event[T]{}
	*h = (*h)[:last]
	return popped
}
