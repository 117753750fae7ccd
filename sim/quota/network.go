package quota

import (
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

const exchangeTimeout = time.Second

// reachability returns the fronts that front i takes for members, and which of
// those it finds unresponsive.
func (r *run) reachability(i int) (live, unresponsive []string) {
	if !r.hasFaults() {
		return r.names, nil
	}
	skew := time.Duration(i%defaultFronts) * 60 * time.Millisecond
	forgetAfter, detectAfter := r.ForgetAfter, 2*time.Second
	if r.FollowFaults {
		forgetAfter, detectAfter = 500*time.Millisecond+skew, 1500*time.Millisecond+skew
	}
	for j, name := range r.names {
		if forgetAfter > 0 && r.isDown(r.now, j) && r.isDown(r.now-forgetAfter, j) {
			continue
		}
		live = append(live, name)
		if i != j && r.unresponsive(i, j, detectAfter) {
			unresponsive = append(unresponsive, name)
		}
	}
	return live, unresponsive
}

// hasFaults reports whether any front may be out of reach at any time.
func (r *run) hasFaults() bool {
	return r.Down != nil || r.Frozen != nil || r.Partitioned != nil || r.Unreachable != nil
}

// unresponsive reports whether front i finds front j unresponsive: behind a
// partition, frozen or just resumed, or all others after a freeze of its own.
func (r *run) unresponsive(i, j int, detectAfter time.Duration) bool {
	if r.pingFails(i, j, r.now) && r.pingFails(i, j, r.now-detectAfter) && !r.isDown(r.now, j) {
		return true
	}
	if r.isFrozen(r.now-detectAfter, j) && (r.isFrozen(r.now, j) || r.now-r.fronts[j].resumedAt < resumeGrace) {
		return true
	}
	own := r.fronts[i].resumedAt
	return own > 0 && r.now-own < resumeGrace
}

// partitioned reports whether messages from front i to front j are dropped.
func (r *run) partitioned(i, j int, at time.Duration) bool {
	if r.Unreachable != nil && r.Unreachable(at, i, j) {
		return true
	}
	return r.Partitioned != nil && r.crossesRegions(i, j) && r.Partitioned(at)
}

// pingFails reports whether front j doesn't answer front i across the network.
func (r *run) pingFails(i, j int, at time.Duration) bool {
	return r.partitioned(i, j, at) || r.partitioned(j, i, at)
}

func (r *run) crossesRegions(i, j int) bool { return (i < r.FirstRegion) != (j < r.FirstRegion) }

func (x *exchange) delay(i, j int) time.Duration {
	if i == j {
		return 20 * time.Microsecond
	}
	r := x.run
	if r.crossesRegions(i, j) {
		return r.RegionDelay/2 + time.Duration(x.random().Int64N(int64(r.RegionDelay/2)))
	}
	return time.Millisecond + time.Duration(x.random().Int64N(int64(2*time.Millisecond)))
}

func (x *exchange) lost(i, j int) bool {
	r := x.run
	return i != j && (x.random().Float64() < r.Loss || r.partitioned(i, j, r.now))
}

// random returns the source of an exchange's delays and losses. Probes have one of
// their own, so that those without a consequence don't change a run.
func (x *exchange) random() *rand.Rand {
	if x.request == nil {
		return x.run.probeRandom
	}
	return x.run.random
}

// deliver calls action once a message has come from front i to front j, or failed if
// it does not.
func (x *exchange) deliver(i, j int, action, failed func()) {
	if x.lost(i, j) {
		failed()
		return
	}
	x.run.after(x.delay(i, j), action)
}

// ownerOf returns front i's choice of a tenant's owner.
func (r *run) ownerOf(i int) func(tenant string) string {
	if !r.hasFaults() {
		return func(string) string { return r.healthyOwner }
	}
	return func(tenant string) string {
		return quota.OwnerOf(tenant, quota.Reachable(r.unreachable(i)))
	}
}

// exchange is one request with counts from a front to an owner, by index.
type exchange struct {
	run         *run
	from, to    int
	relay       int    // noRelay: direct
	incarnation uint64 // of the sender
	sentAt      time.Time
	began       time.Duration
	ended       bool             // answered or given up
	request     *wire.AddRequest // nil: a probe
}

// send sends counts to their owners.
func (r *run) send(i int, batches map[string][]*wire.Count) {
	f := r.fronts[i]
	for owner, counts := range batches {
		if r.SkipFull && f.inFlight[owner] >= maxInFlight {
			continue
		}
		f.sentTo[owner] = true
		f.inFlight[owner]++
		to := r.index(owner)
		x := &exchange{run: r, from: i, to: to, relay: r.relayTo(i, to), incarnation: f.incarnation, sentAt: r.clock(i), began: r.now,
			request: &wire.AddRequest{Front: f.name, Incarnation: f.incarnation, Counts: counts}}
		x.start()
	}
}

func (x *exchange) start() {
	x.begin()
	if x.relay != noRelay {
		x.startRelayed()
		return
	}
	if x.lost(x.from, x.to) || x.run.fronts[x.to].down {
		x.timeOut()
		return
	}
	x.run.after(x.delay(x.from, x.to), x.arrive)
}

// arrive delivers the request. A frozen owner handles it once it resumes, after
// the sender has given up.
func (x *exchange) arrive() {
	r := x.run
	if r.fronts[x.to].down {
		x.timeOut()
		return
	}
	if r.isFrozen(r.now, x.to) {
		x.timeOut()
		r.whenResumed(x.to, func() { x.handle() })
		return
	}
	if r.AddTime != nil {
		x.enqueue()
		return
	}
	x.complete()
}

// complete handles the request and sends the response.
func (x *exchange) complete() {
	resp := x.handle()
	respond := func() { x.respond(resp) }
	if x.relay != noRelay {
		x.respondRelayed(respond)
		return
	}
	x.deliver(x.to, x.from, respond, x.timeOut)
}

func (x *exchange) handle() *wire.AddResponse {
	if x.request == nil {
		return nil
	}
	return x.run.fronts[x.to].counter.Add(x.request, x.run.clock(x.to))
}

func (x *exchange) respond(resp *wire.AddResponse) {
	if x.ended {
		return
	}
	x.succeed()
	if resp != nil {
		x.run.whenResumed(x.from, func() { x.run.applyTotals(x.from, x.incarnation, resp, x.sentAt) })
	}
}

func (x *exchange) timeOut() { x.run.after(exchangeTimeout, x.fail) }

func (x *exchange) done() {
	if x.ended {
		return
	}
	x.ended = true
	f := x.run.fronts[x.from]
	if f.incarnation != x.incarnation || x.request == nil {
		return
	}
	owner := x.run.names[x.to]
	f.inFlight[owner]--
	if f.inFlight[owner] == 0 {
		delete(f.unanswered, x.to)
	}
}

// whenResumed runs an action once front i isn't frozen, at once if it is not.
func (r *run) whenResumed(i int, action func()) {
	if !r.isFrozen(r.now, i) {
		action()
		return
	}
	r.after(arrivalStep, func() { r.whenResumed(i, action) })
}
