package route

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
)

// Default and limits of the retry delay in errors.
const (
	defaultRetryAfter = time.Second
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 5 * time.Second
)

// Choose decides on a request: the choice has a server, an error, or Queued. A first attempt
// adds to the retry budget and a retry (with TriedServers) spends from it. If the choice has a
// server, the caller calls Started before it calls Choose again.
func (t *Table) Choose(req Request, now time.Time) Choice {
	if len(req.TriedServers) == 0 {
		t.retries.addRequest()
	} else if !t.retries.available() {
		return Choice{Err: apierror.Errorf(apierror.RetryBudgetExhausted, "retry budget exhausted: at most %g retries per request on average", t.config.RetryBudget).WithRetryAfter(defaultRetryAfter)}
	}
	if req.Prefix != 0 {
		t.popularity.record(req.Prefix)
	}
	choice := t.chooseNew(&req, now)
	if choice.Server != "" && len(req.TriedServers) > 0 {
		t.retries.spend()
	}
	return choice
}

// chooseNew decides on a new request. If queued requests may be able to proceed, the new
// one does not overtake them.
func (t *Table) chooseNew(req *Request, now time.Time) Choice {
	if err := t.unroutableError(req, now); err != nil {
		return Choice{Err: err}
	}
	if t.queue.needsScan && len(t.queue.requests) > 0 {
		return t.queueOrReject(req, now, Choice{})
	}
	selection := newSelection(t, req, now, now)
	avail := selection.selectServer()
	switch avail {
	case available:
		return selection.choice
	case noServer:
		selection.choice.Err = t.noServerError(req)
		return selection.choice
	}
	return t.queueOrReject(req, now, selection.choice)
}

// chooseQueued decides on a request that has been queued since queuedAt. It also reports
// whether the request has to wait although some server has capacity for other requests.
func (t *Table) chooseQueued(req *Request, queuedAt, now time.Time) (choice Choice, capacityForOthers bool) {
	if err := t.unroutableError(req, now); err != nil {
		return Choice{Err: err}, false
	}
	selection := newSelection(t, req, queuedAt, now)
	avail := selection.selectServer()
	switch avail {
	case available:
	case noServer:
		selection.choice.Err = t.noServerError(req)
	default:
		selection.choice.Queued = true
	}
	return selection.choice, avail == availableToOthers
}

// unroutableError returns an error for a request that can go to no server regardless of the
// servers' states, or nil.
func (t *Table) unroutableError(req *Request, now time.Time) *apierror.Error {
	switch {
	case t.view.Plan == nil || t.view.State.Sheet == nil:
		return apierror.Errorf(apierror.NoPlan, "this front has not yet received both a plan and a sheet").WithRetryAfter(defaultRetryAfter)
	case !now.Before(req.Deadline):
		return apierror.Errorf(apierror.DeadlineExceeded, "the deadline passed %s ago", now.Sub(req.Deadline).Round(time.Millisecond)).WithRetryAfter(minRetryAfter)
	}
	if _, exists := t.view.State.Sheet.Services[req.Service]; !exists {
		return apierror.Errorf(apierror.UnknownService, "the sheet in force has no service %q", req.Service)
	}
	return nil
}

func (t *Table) noServerError(req *Request) *apierror.Error {
	return apierror.Errorf(apierror.NoServer, "no server of %s can take requests%s", req.Service, t.homeDetail(req.HomeRegion)).WithRetryAfter(defaultRetryAfter)
}

// homeDetail returns the part of an error text that names the home region.
func (t *Table) homeDetail(home string) string {
	switch {
	case home == "":
		return ""
	case plan.IsEvacuated(t.view.State, home, ""):
		return " in " + home + ", its home region, which is evacuated"
	}
	return " in " + home + ", its home region"
}

// availability is the capacity that a pool or a group of servers has for a request, in
// ascending order.
type availability int

const (
	noServer          availability = iota // no server that may take the request
	noCapacity                            // there are servers, but none has capacity
	availableToOthers                     // capacity, but only at servers that should not take this request
	available
)

// selection is the state of choosing a server for one request.
type selection struct {
	table   *Table
	request Request       // a copy, since a pointer would escape to the heap
	key     uint64        // hash by which the servers are ranked
	waited  time.Duration // time in the queue
	now     time.Time
	choice  Choice
}

func newSelection(t *Table, req *Request, queuedAt, now time.Time) selection {
	key := req.Prefix
	if key == 0 {
		key = xxhash.Sum64String(req.ID) | 1
	}
	return selection{
		table:   t,
		request: *req,
		key:     key,
		waited:  now.Sub(queuedAt),
		now:     now,
	}
}

// selectServer chooses a server in the request's home region or, without one, in the regions
// that have shares.
func (s *selection) selectServer() availability {
	if s.request.HomeRegion == "" {
		return s.selectInRegions(s.table.regionsOf(&s.request))
	}
	pool := s.table.pools[poolKey{s.request.Service, s.request.HomeRegion}]
	if pool == nil {
		return noServer
	}
	server, avail := s.pick(pool)
	if server != nil {
		s.assign(server)
		return available
	}
	return avail
}

// selectInRegions chooses a server in the region whose turn it is or, if that has none, in
// the first of the other regions that has one.
func (s *selection) selectInRegions(regions *weightedRoundRobin) availability {
	avail := noServer
	first := regions.next()
	for i := range regions.entries {
		entry := &regions.entries[firstThenOthers(i, first)]
		if entry.pool == nil {
			continue
		}
		server, poolAvail := s.pick(entry.pool)
		if server != nil {
			regions.advance(first)
			s.assign(server)
			return available
		}
		avail = max(avail, poolAvail)
	}
	return avail
}

// firstThenOthers returns the index at a position in the order that begins with first and
// continues with all other indexes in ascending order. If first is -1 the index is the
// position.
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
