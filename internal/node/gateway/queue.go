package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
)

const (
	maxSubmissions      = 1024 // requests that the dispatcher has not processed yet
	maxQueued           = 4096 // requests that wait for capacity
	queueFullRetryAfter = time.Second
)

// assignmentRequest is a request's submission to the dispatcher for a server.
type assignmentRequest struct {
	request  balance.Request
	sequence uint64 // order of arrival in the queue
	first    bool   // the client's request itself, not a retry of it
	// assigned receives the one assignment. It has room for it, so that the
	// dispatcher never waits for a handler.
	assigned  chan assignment
	attempt   *balance.Attempt
	abandoned bool // the handler gave up before the dispatcher processed the request
}

// assignment is a server for one attempt, or the error why there is none.
type assignment struct {
	server  upstream.Server
	attempt *balance.Attempt
	apiErr  *apierror.Error
}

// assign waits until the request is assigned a server or is refused one.
func (d *dispatcher) assign(ctx context.Context, request balance.Request, first bool) assignment {
	submitted := &assignmentRequest{request: request, first: first, assigned: make(chan assignment, 1)}
	if !d.submissions.TryPut(submitted) {
		apiErr := apierror.Errorf(apierror.QueueFull, "%d requests wait to be routed", maxSubmissions)
		return assignment{apiErr: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
	select {
	case assigned := <-submitted.assigned:
		return assigned
	case <-ctx.Done():
	case <-d.stopped:
	}
	d.send(attemptUpdate{kind: requestAbandoned, request: submitted})
	return assignment{apiErr: apierror.Errorf(apierror.DeadlinePassed, "the request was given up while it waited for a server")}
}

// assignOrQueue assigns a submitted request a server, or queues it when none has
// capacity.
func (d *dispatcher) assignOrQueue(submitted *assignmentRequest) {
	if submitted.abandoned {
		return
	}
	now := d.clock.Now()
	if submitted.first {
		d.table.CountRequest(submitted.request.Service, now)
	}
	if d.tryAssign(submitted, now) {
		return
	}
	if !d.queue.add(submitted) {
		apiErr := apierror.Errorf(apierror.QueueFull, "%d requests wait for room", maxQueued)
		submitted.assigned <- assignment{apiErr: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
}

// tryAssign assigns a request its server or its error; it returns false when the
// request has to wait for capacity.
func (d *dispatcher) tryAssign(submitted *assignmentRequest, now time.Time) bool {
	choice := d.table.Choose(&submitted.request, now)
	if choice.Wait {
		return false
	}
	if choice.Err != nil {
		submitted.assigned <- assignment{apiErr: choice.Err}
		return true
	}
	submitted.attempt = d.table.StartAttempt(choice.Server, &submitted.request, now)
	submitted.assigned <- assignment{
		server:  upstream.Server{Name: choice.Server, Address: choice.Address},
		attempt: submitted.attempt,
	}
	return true
}

// assignQueued assigns servers to the queued requests that can have one now.
func (d *dispatcher) assignQueued() {
	now := d.clock.Now()
	d.queue.removeIf(func(queued *assignmentRequest) bool { return d.tryAssign(queued, now) })
}

// abandon removes a request whose handler gave up. It may not have been processed
// yet, or may already have a server, whose attempt ends then.
func (d *dispatcher) abandon(submitted *assignmentRequest, now time.Time) {
	submitted.abandoned = true
	if !d.queue.remove(submitted) {
		d.table.FinishAttempt(submitted.attempt, balance.OutcomeCancelled, now)
	}
}

// requestQueue holds the requests that wait for capacity, the most urgent first,
// then the oldest.
type requestQueue struct {
	requests []*assignmentRequest
	sequence uint64 // of the request that was added last
}

func (q *requestQueue) empty() bool { return len(q.requests) == 0 }

// add returns false when the queue is full.
func (q *requestQueue) add(added *assignmentRequest) bool {
	if len(q.requests) >= maxQueued {
		return false
	}
	q.sequence++
	added.sequence = q.sequence
	position, _ := slices.BinarySearchFunc(q.requests, added, compareQueued)
	q.requests = slices.Insert(q.requests, position, added)
	return true
}

func compareQueued(a, b *assignmentRequest) int {
	return cmp.Or(cmp.Compare(a.request.Urgency, b.request.Urgency), cmp.Compare(a.sequence, b.sequence))
}

// remove returns false when the request is not queued.
func (q *requestQueue) remove(removed *assignmentRequest) bool {
	position := slices.Index(q.requests, removed)
	if position < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, position, position+1)
	return true
}

// removeIf calls assigned for each request in order and removes those for which it
// returns true.
func (q *requestQueue) removeIf(assigned func(*assignmentRequest) bool) {
	q.requests = slices.DeleteFunc(q.requests, assigned)
}
