package quota

import (
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

const exchangeTimeout = time.Second // of an AddRequest at its sender

// membership returns the fronts on front i's roster, and those of them that it finds
// unresponsive.
func (r *run) membership(i int) (live, unresponsive []string) {
	if !r.hasFaults() {
		return r.names, nil
	}
	skew := time.Duration(i%defaultFronts) * 60 * time.Millisecond
	removeAfter, detectAfter := r.RemoveDownAfter, 2*time.Second
	if r.StaggeredDetection {
		removeAfter, detectAfter = 500*time.Millisecond+skew, 1500*time.Millisecond+skew
	}
	for j, name := range r.names {
		if removeAfter > 0 && r.isDown(r.now, j) && r.isDown(r.now-removeAfter, j) {
			continue
		}
		live = append(live, name)
		if i != j && r.findsUnresponsive(i, j, detectAfter) {
			unresponsive = append(unresponsive, name)
		}
	}
	return live, unresponsive
}

// hasFaults reports whether the run contains faults that make fronts unreachable.
func (r *run) hasFaults() bool {
	return r.Down != nil || r.Frozen != nil || r.Partitioned != nil || r.Unreachable != nil
}

// findsUnresponsive reports whether front i finds front j unresponsive: it is behind a
// partition, is frozen or has just resumed, or front i itself has just resumed, after
// which it finds all others unresponsive for resumeGrace.
func (r *run) findsUnresponsive(i, j int, detectAfter time.Duration) bool {
	if r.pathFails(i, j, r.now) && r.pathFails(i, j, r.now-detectAfter) && !r.isDown(r.now, j) {
		return true
	}
	if r.isFrozen(r.now-detectAfter, j) && (r.isFrozen(r.now, j) || r.now-r.fronts[j].resumedAt < resumeGrace) {
		return true
	}
	resumedAt := r.fronts[i].resumedAt
	return resumedAt > 0 && r.now-resumedAt < resumeGrace
}

// dropsMessages reports whether a partition drops messages from front i to front j.
func (r *run) dropsMessages(i, j int, at time.Duration) bool {
	if r.Unreachable != nil && r.Unreachable(at, i, j) {
		return true
	}
	return r.Partitioned != nil && r.crossesRegions(i, j) && r.Partitioned(at)
}

// pathFails reports whether a ping from front i to front j or its answer is dropped.
func (r *run) pathFails(i, j int, at time.Duration) bool {
	return r.dropsMessages(i, j, at) || r.dropsMessages(j, i, at)
}

func (r *run) crossesRegions(i, j int) bool { return (i < r.FirstRegion) != (j < r.FirstRegion) }

func (x *exchange) drawDelay(i, j int) time.Duration {
	if i == j {
		return 20 * time.Microsecond
	}
	r := x.run
	if r.crossesRegions(i, j) {
		return r.MaxRegionDelay/2 + time.Duration(x.random().Int64N(int64(r.MaxRegionDelay/2)))
	}
	return time.Millisecond + time.Duration(x.random().Int64N(int64(2*time.Millisecond)))
}

func (x *exchange) drawLoss(i, j int) bool {
	r := x.run
	return i != j && (x.random().Float64() < r.Loss || r.dropsMessages(i, j, r.now))
}

// random returns the random source of an exchange's delays and losses. Probes have a
// separate source, so that a probe without effect doesn't change the rest of the run.
func (x *exchange) random() *rand.Rand {
	if x.request == nil {
		return x.run.probeRandom
	}
	return x.run.random
}

// deliver calls action when a message from front i arrives at front j, or failed if the
// message is lost.
func (x *exchange) deliver(i, j int, action, failed func()) {
	if x.drawLoss(i, j) {
		failed()
		return
	}
	x.run.after(x.drawDelay(i, j), action)
}

// ownerOf returns the function by which front i determines a tenant's owner.
func (r *run) ownerOf(i int) func(tenant string) string {
	if !r.hasFaults() {
		return func(string) string { return r.healthyOwner }
	}
	return func(tenant string) string {
		return quota.OwnerOf(tenant, quota.Reachable(r.membershipWithRelays(i)))
	}
}

// exchange is one AddRequest from a front to an owner, and its response.
type exchange struct {
	run         *run
	from, to    int       // indexes of the fronts
	relay       int       // index of the front that forwards it; noRelay: direct
	incarnation uint64    // of the sender, when it sent the request
	sentAt      time.Time // by the sender's clock
	startedAt   time.Duration
	ended       bool             // answered or failed
	request     *wire.AddRequest // nil: a probe, an AddRequest without counts
}

// send sends counts from front i to their owners.
func (r *run) send(i int, batches map[string][]*wire.Count) {
	f := r.fronts[i]
	for owner, counts := range batches {
		if r.LimitInFlight && f.inFlight[owner] >= maxInFlight {
			continue
		}
		f.sentSinceTick[owner] = true
		f.inFlight[owner]++
		to := r.frontIndex(owner)
		x := &exchange{run: r, from: i, to: to, relay: r.relayTo(i, to), incarnation: f.incarnation, sentAt: r.clock(i), startedAt: r.now,
			request: &wire.AddRequest{Front: f.name, Incarnation: f.incarnation, Counts: counts}}
		x.start()
	}
}

func (x *exchange) start() {
	x.recordUnanswered()
	if x.relay != noRelay {
		x.startRelayed()
		return
	}
	if x.drawLoss(x.from, x.to) || x.run.fronts[x.to].down {
		x.timeOut()
		return
	}
	x.run.after(x.drawDelay(x.from, x.to), x.arrive)
}

// arrive delivers the request to the owner. A frozen owner handles it when it resumes,
// which may be after the time-out at the sender.
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
		x.enqueueAtCounter()
		return
	}
	x.complete()
}

// complete has the owner handle the request and send the response.
func (x *exchange) complete() {
	resp := x.handle()
	respond := func() { x.receiveResponse(resp) }
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

func (x *exchange) receiveResponse(resp *wire.AddResponse) {
	if x.ended {
		return
	}
	x.succeed()
	if resp != nil {
		x.run.whenResumed(x.from, func() { x.run.applyTotals(x.from, x.incarnation, resp, x.sentAt) })
	}
}

func (x *exchange) timeOut() { x.run.after(exchangeTimeout, x.fail) }

func (x *exchange) end() {
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
		delete(f.unansweredSince, x.to)
	}
}

// whenResumed runs an action as soon as front i isn't frozen.
func (r *run) whenResumed(i int, action func()) {
	if !r.isFrozen(r.now, i) {
		action()
		return
	}
	r.after(arrivalStep, func() { r.whenResumed(i, action) })
}
