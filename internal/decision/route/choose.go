package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
)

// Bounds of the delays after which callers are asked to retry.
const (
	retryAfterDefault = time.Second
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)

// Choose decides where a request goes now. A retry (with Tried) spends from the retry
// budget, a first attempt adds to it. The caller calls Started when it follows the
// choice, before it calls Choose again.
func (t *Table) Choose(req Request, now time.Time) Choice {
	if len(req.Tried) == 0 {
		t.retries.addRequest()
	} else if !t.retries.available() {
		return Choice{Err: apierror.Errorf(apierror.BudgetSpent, "retries are bound to a share of the requests").WithRetryAfter(retryAfterDefault)}
	}
	if req.Prefix != 0 {
		t.popularity.add(req.Prefix)
	}
	choice := t.chooseNew(&req, now)
	if choice.Server != "" && len(req.Tried) > 0 {
		t.retries.spend()
	}
	return choice
}

// chooseNew decides a new request. It doesn't overtake queued ones that may have
// become ready.
func (t *Table) chooseNew(req *Request, now time.Time) Choice {
	if err := t.unroutable(req, now); err != nil {
		return Choice{Err: err}
	}
	if t.queue.unserved && len(t.queue.requests) > 0 {
		return t.queueOrReject(req, now, Choice{})
	}
	selection := newSelection(t, req, now, now)
	found := selection.selectServer()
	switch found {
	case available:
		return selection.choice
	case noServer:
		selection.choice.Err = t.noServerError(req)
		return selection.choice
	}
	return t.queueOrReject(req, now, selection.choice)
}

// chooseQueued decides a request that was queued at since. It also reports whether the
// request has to wait although some server has capacity for others.
func (t *Table) chooseQueued(req *Request, since, now time.Time) (choice Choice, onlyForOthers bool) {
	if err := t.unroutable(req, now); err != nil {
		return Choice{Err: err}, false
	}
	selection := newSelection(t, req, since, now)
	found := selection.selectServer()
	switch found {
	case available:
	case noServer:
		selection.choice.Err = t.noServerError(req)
	default:
		selection.choice.Queued = true
	}
	return selection.choice, found == availableToOthers
}

// unroutable returns why a request can go to no server, whatever their state, or nil.
func (t *Table) unroutable(req *Request, now time.Time) *apierror.Error {
	switch {
	case t.view.Plan == nil || t.view.State.Sheet == nil:
		return apierror.Errorf(apierror.NoPlan, "no plan has arrived").WithRetryAfter(retryAfterDefault)
	case !now.Before(req.Deadline):
		return apierror.Errorf(apierror.DeadlinePassed, "the deadline has passed").WithRetryAfter(minRetryAfter)
	}
	if _, known := t.view.State.Sheet.Services[req.Service]; !known {
		return apierror.Errorf(apierror.UnknownService, "no service %q", req.Service)
	}
	return nil
}

func (t *Table) noServerError(req *Request) *apierror.Error {
	return apierror.Errorf(apierror.NoServer, "no server of %s can take requests%s", req.Service, t.homeDetail(req.Home)).WithRetryAfter(retryAfterDefault)
}

func (t *Table) homeDetail(home string) string {
	switch {
	case home == "":
		return ""
	case plan.IsEvacuated(t.view.State, home, ""):
		return " in " + home + ", its home, which is evacuated"
	}
	return " in " + home + ", its home"
}

// availability is what the servers of a pool have for a request.
type availability int

const (
	noServer          availability = iota // no server that it may go to
	noCapacity                            // servers, all without capacity
	availableToOthers                     // capacity at servers that it should not go to
	available
)

// selection is the state of one choice of a server.
type selection struct {
	table   *Table
	request Request       // by value: a pointer here would escape to the heap
	key     uint64        // hash that servers are ranked by
	waited  time.Duration // in the queue
	now     time.Time
	choice  Choice
}

func newSelection(t *Table, req *Request, since, now time.Time) selection {
	key := req.Prefix
	if key == 0 {
		key = xxhash.Sum64String(req.ID) | 1
	}
	return selection{
		table:   t,
		request: *req,
		key:     key,
		waited:  now.Sub(since),
		now:     now,
	}
}

// selectServer chooses a server in the request's home, or in the regions in the order
// of the plan's shares.
func (s *selection) selectServer() availability {
	if s.request.Home == "" {
		return s.selectInRegions(s.table.regionsOf(&s.request))
	}
	pool := s.table.pools[poolKey{s.request.Service, s.request.Home}]
	if pool == nil {
		return noServer
	}
	server, found := s.pick(pool)
	if server != nil {
		s.assign(server)
		return available
	}
	return found
}

func (s *selection) selectInRegions(regions *weightedRoundRobin) availability {
	found := noServer
	first := regions.next()
	for i := range regions.entries {
		entry := &regions.entries[firstThenOthers(i, first)]
		if entry.pool == nil {
			continue
		}
		server, foundHere := s.pick(entry.pool)
		if server != nil {
			regions.advance(first)
			s.assign(server)
			return available
		}
		found = max(found, foundHere)
	}
	return found
}

// firstThenOthers returns the index at a position in an order that begins with first
// and continues with the others as they are. Without a first one (-1) it is the same.
func firstThenOthers(position, first int) int {
	switch {
	case first < 0 || position > first:
		return position
	case position == 0:
		return first
	}
	return position - 1
}

func (s *selection) assign(server *server) {
	s.choice.Server = server.name
	s.choice.Address = server.status.Address
	s.choice.Region = server.status.Region
	s.choice.FirstEventTimeout = s.table.firstEventTimeout(server, &s.request)
}
