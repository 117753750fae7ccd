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
	maxSubmissions      = 1024 // submitted requests that the dispatcher has not processed yet
	maxQueued           = 4096 // requests that wait for server capacity
	queueFullRetryAfter = time.Second
)

// assignmentRequest is the submission of a request to the dispatcher, which assigns a
// server to it.
type assignmentRequest struct {
	request        balance.Request
	sequence       uint64 // position in the order of insertion into the queue
	isFirstAttempt bool   // not a retry
	// assigned receives the assignment. It is buffered, so that the dispatcher never
	// blocks on a handler.
	assigned  chan assignment
	attempt   *balance.Attempt
	abandoned bool // the handler no longer waits for a server
}

// assignment is the server assigned to one attempt, or an error.
type assignment struct {
	server  upstream.Server
	attempt *balance.Attempt
	apiErr  *apierror.Error
	// opened is the server's response if the request was sent to it already; see stallWatch.
	opened *openedResponse
}

// assign submits a request to the dispatcher and waits for its assignment. It returns an
// error if the submission queue is full, or if the context ends or the dispatcher stops
// first.
func (d *dispatcher) assign(ctx context.Context, request balance.Request, isFirstAttempt bool) assignment {
	submitted := &assignmentRequest{request: request, isFirstAttempt: isFirstAttempt, assigned: make(chan assignment, 1)}
	if !d.submissions.TryPut(submitted) {
		apiErr := apierror.Errorf(apierror.QueueFull, "%d requests are already waiting for the dispatcher", maxSubmissions)
		return assignment{apiErr: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
	select {
	case assigned := <-submitted.assigned:
		return assigned
	case <-ctx.Done():
	case <-d.stopped:
	}
	d.sendUpdate(attemptUpdate{kind: requestAbandoned, request: submitted})
	return assignment{apiErr: apierror.Errorf(apierror.DeadlineExceeded, "the request ended while it waited for a server")}
}

// assignOrQueue assigns a server to a submitted request, or queues the request if no
// server has capacity.
func (d *dispatcher) assignOrQueue(submitted *assignmentRequest) {
	if submitted.abandoned {
		return
	}
	now := d.clock.Now()
	if submitted.isFirstAttempt {
		d.table.CountRequest(submitted.request.Service, now)
	}
	if d.tryAssign(submitted, now) {
		return
	}
	if !d.queue.insert(submitted) {
		apiErr := apierror.Errorf(apierror.QueueFull, "%d requests are already waiting for server capacity", maxQueued)
		submitted.assigned <- assignment{apiErr: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
}

// tryAssign sends a server or an error to the request's handler. It returns false if the
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

// assignQueued calls tryAssign for the queued requests and removes those that got a
// result.
func (d *dispatcher) assignQueued() {
	now := d.clock.Now()
	d.queue.removeIf(func(queued *assignmentRequest) bool { return d.tryAssign(queued, now) })
}

// abandon removes a request whose handler no longer waits for a server. If the request
// already has a server, its attempt is finished as cancelled. If it has not been processed
// yet, assignOrQueue ignores it.
func (d *dispatcher) abandon(submitted *assignmentRequest, now time.Time) {
	submitted.abandoned = true
	if !d.queue.remove(submitted) {
		d.table.FinishAttempt(submitted.attempt, balance.OutcomeCancelled, now)
	}
}

// requestQueue holds the requests that wait for capacity, ordered by urgency, then by
// arrival.
type requestQueue struct {
	requests []*assignmentRequest
	sequence uint64 // of the last inserted request
}

func (q *requestQueue) empty() bool { return len(q.requests) == 0 }

// insert returns false if the queue is full.
func (q *requestQueue) insert(queued *assignmentRequest) bool {
	if len(q.requests) >= maxQueued {
		return false
	}
	q.sequence++
	queued.sequence = q.sequence
	position, _ := slices.BinarySearchFunc(q.requests, queued, compareQueued)
	q.requests = slices.Insert(q.requests, position, queued)
	return true
}

func compareQueued(a, b *assignmentRequest) int {
	return cmp.Or(cmp.Compare(a.request.Urgency, b.request.Urgency), cmp.Compare(a.sequence, b.sequence))
}

// remove returns false if the request is not queued.
func (q *requestQueue) remove(removed *assignmentRequest) bool {
	position := slices.Index(q.requests, removed)
	if position < 0 {
		return false
	}
	q.requests = slices.Delete(q.requests, position, position+1)
	return true
}

// removeIf calls assigned for each request in order and removes the requests for which it
// returns true.
func (q *requestQueue) removeIf(assigned func(*assignmentRequest) bool) {
	q.requests = slices.DeleteFunc(q.requests, assigned)
}
