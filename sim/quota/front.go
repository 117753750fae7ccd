package quota

import (
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

const (
	maxPending  = 256 // requests that a front queues
	maxInFlight = 8   // exchanges of a front with one owner
	resumeGrace = 200 * time.Millisecond

	minRetryAfter = 50 * time.Millisecond // shortest that a client is told
)

// front is one front of the fleet with its limiter and, for the tenants that it
// owns, its counter.
type front struct {
	name        string
	limiter     *quota.Limiter
	counter     *quota.Counter
	relays      *quota.Relays
	incarnation uint64
	down        bool
	frozen      bool
	resumedAt   time.Duration         // end of the last freeze; zero: none
	sentTo      map[string]bool       // owners that an exchange was sent to since the last tick
	inFlight    map[string]int        // exchanges by owner
	unanswered  map[int]time.Duration // since when direct exchanges have had no answer, by owner
	pending     []pendingRequest
	untilNext   float64       // requests until the next one arrives
	busyUntil   time.Duration // when the counter has handled all requests that arrived
}

// pendingRequest is a queued request; request is its index in run.requests.
type pendingRequest struct {
	request  int
	tokens   float64
	deadline time.Duration
}

// boot starts a new incarnation of front i without the state of the last.
func (r *run) boot(i int) {
	f := r.fronts[i]
	f.down = false
	f.incarnation++
	f.limiter = quota.NewLimiter(f.name, r.Config)
	f.counter = quota.NewCounter(f.name, f.incarnation, r.Config)
	f.relays = quota.NewRelays(f.name, r.Config)
	f.sentTo = map[string]bool{}
	f.inFlight = map[string]int{}
	f.unanswered = map[int]time.Duration{}
	f.pending = nil
}

// tick is the periodic work of front i.
func (r *run) tick(i, number int) {
	r.after(r.tickInterval(), func() { r.tick(i, number+1) })
	r.updateProcess(i)
	f := r.fronts[i]
	if f.down || f.frozen {
		return
	}
	clear(f.sentTo)
	r.suspectOverdue(i)
	if number%paceDivisor == 0 {
		r.probeRelays(i)
		live, unresponsive := r.unreachable(i)
		f.limiter.SetFronts(live)
		f.counter.SetMembership(live, unresponsive, r.clock(i))
		r.send(i, f.limiter.CountsToSend(r.clock(i), r.ownerOf(i)))
	}
	if number%expireTicks == 0 {
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

// sendUrgent sends the counts that can't wait for the next interval.
func (r *run) sendUrgent(i int) {
	f := r.fronts[i]
	ready := func(owner string) bool { return !f.sentTo[owner] && f.inFlight[owner] < maxInFlight }
	r.send(i, f.limiter.UrgentCounts(r.clock(i), r.ownerOf(i), ready))
}

// request admits, queues or rejects a request at front i or, when that one
// doesn't run, at the next one that does.
func (r *run) request(i int, tokens float64, retries int) {
	i = r.nextRunning(i)
	f := r.fronts[i]
	number := len(r.requests)
	r.requests = append(r.requests, Request{At: r.now, Answered: r.now, Front: i, Tokens: tokens, retries: retries})
	decision := f.limiter.Admit(tenant, tokens*r.limit, r.Allowance, r.clock(i))
	if decision.Queue && len(f.pending) < maxPending {
		f.pending = append(f.pending, pendingRequest{request: number, tokens: tokens, deadline: r.now + r.QueueTimeout})
		return
	}
	r.answer(number, decision)
}

// answer gives a request's caller the decision.
func (r *run) answer(number int, decision quota.Decision) {
	request := &r.requests[number]
	request.Decision = decision
	request.Answered = r.now
	if decision.Allowed || request.retries == 0 {
		return
	}
	tokens, retries := request.Tokens, request.retries-1
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

// retryPending decides the queued requests of front i again.
func (r *run) retryPending(i int) {
	f := r.fronts[i]
	stillPending := f.pending[:0]
	for _, p := range f.pending {
		decision := f.limiter.AdmitQueued(tenant, p.tokens*r.limit, r.Allowance, r.clock(i))
		if decision.Queue && r.now < p.deadline {
			stillPending = append(stillPending, p)
			continue
		}
		r.answer(p.request, decision)
	}
	f.pending = stillPending
}

// applyTotals applies an owner's response at front i.
func (r *run) applyTotals(i int, incarnation uint64, resp *wire.AddResponse, sentAt time.Time) {
	f := r.fronts[i]
	if f.down || f.incarnation != incarnation {
		return
	}
	f.limiter.ApplyTotals(resp, sentAt, r.clock(i))
	r.sendUrgent(i)
	r.retryPending(i)
}
