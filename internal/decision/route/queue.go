package route

import (
	"cmp"
	"slices"
	"time"

	"stepwick/internal/apierror"
)

const (
	// maxScanned is the maximum number of queued requests that Next considers.
	maxScanned = 64

	// wakeInterval is the longest time between two calls of Next while requests are
	// queued.
	wakeInterval = 50 * time.Millisecond

	// deadlineMargin is the time that must remain between the estimated wait and the
	// deadline for a request to be queued, in mean durations. About half of the requests
	// that start with less would miss their deadline.
	deadlineMargin = 1.5
)

// requestClass identifies the requests that wait for the same servers.
type requestClass struct{ service, home, from string }

func classOf(req *Request) requestClass {
	return requestClass{req.Service, req.HomeRegion, req.FromRegion}
}

type queuedRequest struct {
	request  Request
	queuedAt time.Time
	sequence uint64 // order of arrival, from 1
}

func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.sequence, b.sequence))
}

// requestQueue holds the queued requests in order of deadline, the earliest first.
type requestQueue struct {
	requests     []*queuedRequest
	byID         map[string]*queuedRequest
	lastSequence uint64

	// needsScan is set if capacity may have become available since Next last found none.
	needsScan bool
}

func newRequestQueue() requestQueue { return requestQueue{byID: map[string]*queuedRequest{}} }

func (q *requestQueue) size() int { return len(q.byID) }

// index returns the position of a queued request in requests, or the position at which to
// insert it.
func (q *requestQueue) index(queued *queuedRequest) int {
	index, _ := slices.BinarySearchFunc(q.requests, queued, compareQueued)
	return index
}

func (q *requestQueue) insert(req Request, now time.Time) {
	q.lastSequence++
	queued := &queuedRequest{
		request:  req,
		queuedAt: now,
		sequence: q.lastSequence,
	}
	q.requests = slices.Insert(q.requests, q.index(queued), queued)
	q.byID[req.ID] = queued
}

func (q *requestQueue) remove(queued *queuedRequest) {
	index := q.index(queued)
	q.requests = slices.Delete(q.requests, index, index+1)
	delete(q.byID, queued.request.ID)
}

// countDueBy returns the number of queued requests whose deadline is not later than the
// given one.
func (q *requestQueue) countDueBy(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(q.requests, deadline, func(queued *queuedRequest, deadline time.Time) int {
		if queued.request.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return index
}

// Dequeued is a request that has left the queue. Its choice has a server or an error.
type Dequeued struct {
	Request Request
	Choice  Choice
}

// queueOrReject completes a choice that has no server. The request is to be queued unless
// the queue is full or the request would probably miss its deadline.
func (t *Table) queueOrReject(req *Request, now time.Time, choice Choice) Choice {
	choice.EstimatedWait = t.estimatedWait(req, t.queue.countDueBy(req.Deadline)+1, now)
	remaining := req.Deadline.Sub(now)
	switch {
	case t.queue.size() >= t.config.MaxQueued:
		retryAfter := t.estimatedWait(req, t.queue.size()/2, now)
		choice.Err = apierror.Errorf(apierror.QueueFull, "queue is full: %d requests queued, limit %d", t.queue.size(), t.config.MaxQueued).WithRetryAfter(limitRetryAfter(retryAfter))
	case choice.EstimatedWait+t.expectedDuration(req, deadlineMargin) >= remaining:
		choice.Err = t.deadlineTooShortError(req, choice.EstimatedWait, remaining)
	default:
		choice.Queued = true
	}
	return choice
}

func (t *Table) deadlineTooShortError(req *Request, wait, remaining time.Duration) *apierror.Error {
	duration := t.expectedDuration(req, 1)
	err := apierror.Errorf(apierror.DeadlineTooShort, "too little time to answer: estimated queue wait %s, mean request duration %s, but the deadline is in %s",
		wait.Round(time.Millisecond), duration.Round(time.Millisecond), remaining.Round(time.Millisecond))
	return err.WithRetryAfter(limitRetryAfter(wait + duration - remaining))
}

func limitRetryAfter(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// Enqueue queues a request for which Choose returned Queued. It returns BadField if a
// request with the same ID is queued already, and QueueFull if the queue is full.
func (t *Table) Enqueue(req Request, now time.Time) *apierror.Error {
	if t.queue.byID[req.ID] != nil {
		return apierror.Errorf(apierror.BadField, "a request with id %q is already queued", req.ID)
	}
	if t.queue.size() >= t.config.MaxQueued {
		return t.queueOrReject(&req, now, Choice{}).Err
	}
	t.queue.insert(req, now)
	return nil
}

// Next removes from the queue one request that can go to a server now or that has to be
// rejected, and reports whether there was one. A request is rejected if no server is left
// for it or if it could not be answered by its deadline: work on requests that end too
// late would starve those that can still be answered in time.
//
// If the choice has a server the caller calls Started. It calls Next until that returns
// false: after each Finished and Update, and at the time that NextWake returns.
func (t *Table) Next(now time.Time) (Dequeued, bool) {
	var classes [8]requestClass
	blocked := classes[:0] // classes without capacity
	for i, queued := range t.queue.requests {
		if i == maxScanned {
			break
		}
		req := &queued.request
		if slices.Contains(blocked, classOf(req)) && now.Before(req.Deadline) {
			continue
		}
		if remaining := req.Deadline.Sub(now); remaining > 0 && remaining < t.expectedDuration(req, 1) {
			t.queue.remove(queued)
			return Dequeued{Request: *req, Choice: Choice{Err: t.deadlineTooShortError(req, 0, remaining)}}, true
		}
		choice, capacityForOthers := t.chooseQueued(req, queued.queuedAt, now)
		if choice.Queued {
			if !capacityForOthers {
				blocked = append(blocked, classOf(req))
			}
			continue
		}
		t.queue.remove(queued)
		if choice.Server != "" && len(req.TriedServers) > 0 {
			t.retries.spend()
		}
		return Dequeued{Request: *req, Choice: choice}, true
	}
	t.queue.needsScan = false
	return Dequeued{}, false
}

// Cancel removes the request with the given ID from the queue and reports whether it was
// queued.
func (t *Table) Cancel(id string) bool {
	queued := t.queue.byID[id]
	if queued == nil {
		return false
	}
	t.queue.remove(queued)
	return true
}

// Queued returns the number of queued requests.
func (t *Table) Queued() int { return t.queue.size() }

// NextWake returns the time at which the caller should call Next even without a Finished
// or Update: the earliest deadline in the queue, or 50 ms from now if that is sooner, since
// ejections end with the passage of time alone. It returns false if nothing is queued.
func (t *Table) NextWake(now time.Time) (time.Time, bool) {
	if len(t.queue.requests) == 0 {
		return time.Time{}, false
	}
	wake := now.Add(wakeInterval)
	if earliest := t.queue.requests[0].request.Deadline; earliest.Before(wake) {
		return earliest, true
	}
	return wake, true
}
