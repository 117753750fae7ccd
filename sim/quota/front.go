package quota

import (
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

const (
	maxPending  = 256                    // maximum number of requests that a front queues
	maxInFlight = 8                      // maximum number of exchanges in flight from a front to one owner
	resumeGrace = 200 * time.Millisecond // time after a freeze during which fronts are still found unresponsive

	minRetryAfter = 50 * time.Millisecond // minimum delay before a client's retry
)

// front is the state of one front. Its counter is in use while the front owns the
// tenant.
type front struct {
	name             string
	limiter          *quota.Limiter
	counter          *quota.Counter
	relays           *quota.Relays
	incarnation      uint64
	down             bool
	frozen           bool
	resumedAt        time.Duration         // end of the last freeze; 0: none
	sentSinceTick    map[string]bool       // owners to which counts were sent since the last tick
	inFlight         map[string]int        // number of exchanges in flight, by owner
	unansweredSince  map[int]time.Duration // start of the oldest unanswered direct exchange or, if later, time of the last Suspect; by owner
	pending          []pendingRequest
	untilNextArrival float64       // demand, in requests, that remains until the next arrival
	counterBusyUntil time.Duration // time when the counter will have handled all queued AddRequests
}

// pendingRequest is a queued request.
type pendingRequest struct {
	requestIndex int // in run.requests
	tokens       float64
	deadline     time.Duration
}

// boot starts a new incarnation of front i, without the state of the previous one.
func (r *run) boot(i int) {
	f := r.fronts[i]
	f.down = false
	f.incarnation++
	f.limiter = quota.NewLimiter(f.name, r.Config)
	f.counter = quota.NewCounter(f.name, f.incarnation, r.Config)
	f.relays = quota.NewRelays(f.name, r.Config)
	f.sentSinceTick = map[string]bool{}
	f.inFlight = map[string]int{}
	f.unansweredSince = map[int]time.Duration{}
	f.pending = nil
}

// tick runs the periodic work of front i and schedules the next tick.
func (r *run) tick(i, tickNumber int) {
	r.after(r.tickInterval(), func() { r.tick(i, tickNumber+1) })
	r.updateProcess(i)
	f := r.fronts[i]
	if f.down || f.frozen {
		return
	}
	clear(f.sentSinceTick)
	r.suspectOverdueOwners(i)
	if tickNumber%ticksPerInterval == 0 {
		r.probeRelays(i)
		live, unresponsive := r.membershipWithRelays(i)
		f.limiter.SetFronts(live)
		f.counter.SetMembership(live, unresponsive, r.clock(i))
		r.send(i, f.limiter.CountsToSend(r.clock(i), r.ownerOf(i)))
	}
	if tickNumber%ticksPerPrune == 0 {
		f.counter.Prune(r.clock(i))
	}
	r.sendUrgent(i)
	r.retryPending(i)
}

// updateProcess stops, starts, freezes or resumes the process of front i.
func (r *run) updateProcess(i int) {
	f := r.fronts[i]
	down := r.isDown(r.now, i)
	switch {
	case down && !f.down:
		r.stop(i)
	case !down && f.down:
		r.boot(i)
	}
	if f.down {
		return
	}
	frozen := r.isFrozen(r.now, i)
	switch {
	case frozen && !f.frozen:
		f.pending = nil
	case !frozen && f.frozen:
		f.resumedAt = r.now
	}
	f.frozen = frozen
}

func (r *run) stop(i int) {
	f := r.fronts[i]
	if r.FlushOnStop {
		r.send(i, f.limiter.CountsToSend(r.clock(i), r.ownerOf(i)))
	}
	f.down = true
}

// sendUrgent sends the counts of front i that can't wait for the next interval.
func (r *run) sendUrgent(i int) {
	f := r.fronts[i]
	canSend := func(owner string) bool { return !f.sentSinceTick[owner] && f.inFlight[owner] < maxInFlight }
	r.send(i, f.limiter.UrgentCounts(r.clock(i), r.ownerOf(i), canSend))
}

// request admits, queues or rejects a new request at front i or, if that front is not
// running, at the next running one.
func (r *run) request(i int, tokens float64, retriesLeft int) {
	i = r.nextRunning(i)
	f := r.fronts[i]
	index := len(r.requests)
	r.requests = append(r.requests, Request{ArrivedAt: r.now, AnsweredAt: r.now, Front: i, Tokens: tokens, retriesLeft: retriesLeft})
	decision := f.limiter.Admit(tenant, tokens*r.limit, r.Allowance, r.clock(i))
	if decision.Queue && len(f.pending) < maxPending {
		f.pending = append(f.pending, pendingRequest{requestIndex: index, tokens: tokens, deadline: r.now + r.QueueTimeout})
		return
	}
	r.answer(index, decision)
}

// answer records the decision on a request and schedules the client's retry.
func (r *run) answer(index int, decision quota.Decision) {
	request := &r.requests[index]
	request.Decision = decision
	request.AnsweredAt = r.now
	if decision.Allowed || request.retriesLeft == 0 {
		return
	}
	tokens, retries := request.Tokens, request.retriesLeft-1
	delay := max(decision.RetryAfter, minRetryAfter)
	r.after(delay, func() { r.request(r.random.IntN(len(r.fronts)), tokens, retries) })
}

func (r *run) nextRunning(i int) int {
	for range r.fronts {
		if !r.fronts[i].down && !r.isFrozen(r.now, i) {
			return i
		}
		i = (i + 1) % len(r.fronts)
	}
	return i
}

// retryPending reevaluates the queued requests of front i.
func (r *run) retryPending(i int) {
	f := r.fronts[i]
	stillPending := f.pending[:0]
	for _, p := range f.pending {
		decision := f.limiter.AdmitQueued(tenant, p.tokens*r.limit, r.Allowance, r.clock(i))
		if decision.Queue && r.now < p.deadline {
			stillPending = append(stillPending, p)
			continue
		}
		r.answer(p.requestIndex, decision)
	}
	f.pending = stillPending
}

// applyTotals applies an owner's response at front i, unless the front has stopped since
// it sent the request.
func (r *run) applyTotals(i int, incarnation uint64, resp *wire.AddResponse, sentAt time.Time) {
	f := r.fronts[i]
	if f.down || f.incarnation != incarnation {
		return
	}
	f.limiter.ApplyTotals(resp, sentAt, r.clock(i))
	r.sendUrgent(i)
	r.retryPending(i)
}
