package route

import (
	"cmp"
	"slices"
	"time"

	"stepwick/internal/apierror"
)

const (
	// maxExamined is the number of queued requests that Next considers.
	maxExamined = 64

	// wakeInterval is the time after which Next is called while requests are queued.
	wakeInterval = 50 * time.Millisecond

	// startMargin is how many mean durations must be left after the wait for a
	// request to be queued: one that starts with less would end too late every other
	// time.
	startMargin = 1.5
)

// requestClass is a set of requests that wait for the same servers.
type requestClass struct{ service, home, from string }

func classOf(req *Request) requestClass {
	return requestClass{req.Service, req.Home, req.FromRegion}
}

type queuedRequest struct {
	request Request
	since   time.Time
	number  uint64 // in the order of arrival
}

func compareQueued(a, b *queuedRequest) int {
	return cmp.Or(a.request.Deadline.Compare(b.request.Deadline), cmp.Compare(a.number, b.number))
}

// requestQueue holds queued requests, the earliest deadline first.
type requestQueue struct {
	requests []*queuedRequest
	byID     map[string]*queuedRequest
	arrivals uint64

	// unserved is set while capacity may have become available since Next found none.
	unserved bool
}

func newRequestQueue() requestQueue { return requestQueue{byID: map[string]*queuedRequest{}} }

func (q *requestQueue) size() int { return len(q.byID) }

func (q *requestQueue) index(queued *queuedRequest) int {
	index, _ := slices.BinarySearchFunc(q.requests, queued, compareQueued)
	return index
}

func (q *requestQueue) add(req Request, now time.Time) {
	q.arrivals++
	queued := &queuedRequest{
		request: req,
		since:   now,
		number:  q.arrivals,
	}
	q.requests = slices.Insert(q.requests, q.index(queued), queued)
	q.byID[req.ID] = queued
}

func (q *requestQueue) remove(queued *queuedRequest) {
	index := q.index(queued)
	q.requests = slices.Delete(q.requests, index, index+1)
	delete(q.byID, queued.request.ID)
}

// ahead returns the number of requests whose deadline isn't later.
func (q *requestQueue) ahead(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(q.requests, deadline, func(queued *queuedRequest, deadline time.Time) int {
		if queued.request.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return index
}

// Ready is a request that leaves the queue, with a server or an error.
type Ready struct {
	Request Request
	Choice  Choice
}

// queueOrReject completes a choice without a server: the request is queued unless the
// queue is full or the wait would outlast the deadline.
func (t *Table) queueOrReject(req *Request, now time.Time, choice Choice) Choice {
	choice.EstimatedWait = t.estimatedWait(req, t.queue.ahead(req.Deadline)+1, now)
	left := req.Deadline.Sub(now)
	switch {
	case t.queue.size() >= t.config.MaxQueued:
		retryAfter := t.estimatedWait(req, t.queue.size()/2, now)
		choice.Err = apierror.Errorf(apierror.QueueFull, "%d requests are queued", t.queue.size()).WithRetryAfter(limitRetryAfter(retryAfter))
	case choice.EstimatedWait+t.expectedDuration(req, startMargin) >= left:
		choice.Err = t.deadlineError(req, choice.EstimatedWait, left)
	default:
		choice.Queued = true
	}
	return choice
}

func (t *Table) deadlineError(req *Request, wait, left time.Duration) *apierror.Error {
	duration := t.expectedDuration(req, 1)
	err := apierror.Errorf(apierror.DeadlineTooShort, "the wait is about %s and the answer takes %s, the deadline is in %s",
		wait.Round(time.Millisecond), duration.Round(time.Millisecond), left.Round(time.Millisecond))
	return err.WithRetryAfter(limitRetryAfter(wait + duration - left))
}

func limitRetryAfter(delay time.Duration) time.Duration {
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

// Enqueue queues a request, as Choose has decided. It returns an error for a request
// whose ID is queued already (BadField) and if the queue is full (QueueFull).
func (t *Table) Enqueue(req Request, now time.Time) *apierror.Error {
	if t.queue.byID[req.ID] != nil {
		return apierror.Errorf(apierror.BadField, "a request with this id is queued")
	}
	if t.queue.size() >= t.config.MaxQueued {
		return t.queueOrReject(&req, now, Choice{}).Err
	}
	t.queue.add(req, now)
	return nil
}

// Next removes one request from the queue that can go to a server now, or that has to
// be rejected because its servers are gone or no answer could come by its deadline:
// work on requests that end too late would starve those that can still be met. The
// caller calls Started for a choice and then Next again; also after each Finished and
// Update, and at NextWake.
func (t *Table) Next(now time.Time) (Ready, bool) {
	var classes [8]requestClass
	blocked := classes[:0] // without capacity
	for i, queued := range t.queue.requests {
		if i == maxExamined {
			break
		}
		req := &queued.request
		if slices.Contains(blocked, classOf(req)) && now.Before(req.Deadline) {
			continue
		}
		if left := req.Deadline.Sub(now); left > 0 && left < t.expectedDuration(req, 1) {
			t.queue.remove(queued)
			return Ready{Request: *req, Choice: Choice{Err: t.deadlineError(req, 0, left)}}, true
		}
		choice, onlyForOthers := t.chooseQueued(req, queued.since, now)
		if choice.Queued {
			if !onlyForOthers {
				blocked = append(blocked, classOf(req))
			}
			continue
		}
		t.queue.remove(queued)
		if choice.Server != "" && len(req.Tried) > 0 {
			t.retries.spend()
		}
		return Ready{Request: *req, Choice: choice}, true
	}
	t.queue.unserved = false
	return Ready{}, false
}

// Cancel removes a request from the queue and reports whether it was queued.
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

// NextWake returns when Next should be called even if nothing happens: at the earliest
// deadline, and each 50 ms while anything is queued, since ejections end by time alone.
// It returns false if nothing is queued.
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
