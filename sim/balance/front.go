package balance

import (
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/balance"
	"stepwick/internal/wire"
)

const (
	stallCheckInterval  = 100.0  // ms
	responseWindow      = 400.0  // ms; as in the gateway's passive_health.go
	reportDelay         = 80.0   // ms from a report to its effect at all fronts
	reportFresh         = 3000.0 // ms; older reports are ignored
	assignInterval      = 5.0    // ms between attempts to assign a queued request
	queueTimeoutDivisor = 4      // a request is queued for at most 1/queueTimeoutDivisor of its objective
	probeTimeout        = 400.0  // ms
)

// front is a node that forwards requests: the production balance.Table, and counts of
// idle connections.
type front struct {
	run          *run
	name         string
	region, zone int
	table        *balance.Table
	idle         map[string]int // idle connections, by server
	suspected    map[string]balance.StallLevel
}

// report is a front's latest report on a server.
type report struct {
	reachable  bool
	reportedAt float64
}

// request is one client request. Times are in milliseconds of virtual time.
type request struct {
	kind           Kind
	arrivedAt      float64
	chain          []promptPart
	unsharedTokens float64
	outputTokens   float64
	number         uint64
}

func (f *front) balanceRequest(q *request) *balance.Request {
	balanceRequest := &balance.Request{ID: string(rune(q.number)), Service: serviceName, Route: q.kind.Name, MaxEventGap: time.Duration(q.kind.MaxEventGap * float64(time.Millisecond)), AllowedRegions: q.kind.AllowedRegions, UnsharedTokens: q.unsharedTokens, OutputTokens: q.outputTokens,
		QueueUntil: start.Add(time.Duration((q.arrivedAt + q.kind.Objective/queueTimeoutDivisor) * float64(time.Millisecond)))}
	for _, p := range q.chain {
		balanceRequest.PrefixDigest = p.id
		balanceRequest.SharedTokens += p.tokens
	}
	return balanceRequest
}

// handle sends a request to a server, or queues it until one has capacity.
func (f *front) handle(q *request) { f.assign(q, f.balanceRequest(q)) }

func (f *front) assign(q *request, balanceRequest *balance.Request) {
	r := f.run
	choice := f.table.Choose(balanceRequest, r.clock())
	switch {
	case choice.Wait:
		r.schedule(assignInterval, func() { f.assign(q, balanceRequest) })
		return
	case choice.Err != nil:
		r.result.record(q, outcome{})
		return
	}
	f.send(q, balanceRequest, choice.Server)
}

func (f *front) send(q *request, balanceRequest *balance.Request, name string) {
	r := f.run
	s := r.servers[name]
	attempt := f.table.StartAttempt(name, balanceRequest, r.clock())
	latency := r.oneWay(f, s)
	connectDelay := 0.0
	if f.idle[name] > 0 {
		f.idle[name]--
	} else {
		r.result.Connections++
		connectDelay = 2 * latency
	}
	if f.region != s.region {
		r.result.CrossRegionBytes += q.kind.Bytes
	}
	result := outcome{}
	j := &job{unsharedTokens: q.unsharedTokens, outputTokens: q.outputTokens, chain: q.chain, number: q.number}
	j.onFirstToken = func() {
		r.schedule(latency, func() {
			f.table.ResponseStarted(attempt, r.clock())
			result.served = true
			result.timeToFirstToken = r.now + r.site.ToClient - q.arrivedAt
		})
	}
	j.onEnd = func() {
		r.schedule(latency, func() {
			f.table.FinishAttempt(attempt, balance.OutcomeSucceeded, r.clock())
			f.idle[name]++
			result.maxEventGap = j.maxEventGap
			r.result.record(q, result)
		})
	}
	r.schedule(connectDelay+latency, func() { s.engine.enqueue(j) })
}

// checkStalls periodically reports servers that don't respond to the requests of this
// front, and those that respond again, as the gateway's dispatcher does.
func (f *front) checkStalls() {
	r := f.run
	r.schedule(stallCheckInterval, f.checkStalls)
	if r.policy.Disabled[balance.UnresponsiveReports] {
		return
	}
	now := r.clock()
	windowStart := now.Add(-time.Duration(responseWindow * float64(time.Millisecond)))
	stalled := f.table.StalledServers(now)
	for name, stall := range stalled {
		if f.suspected[name] == balance.NotStalled {
			r.result.Stalls++
		}
		reportLevel := balance.Unresponsive
		if r.policy.Disabled[balance.ProbeBeforeReport] {
			reportLevel = balance.Stalled
		}
		if stall.Level >= reportLevel && f.suspected[name] < reportLevel {
			f.reportServer(name, false)
		}
		f.suspected[name] = max(f.suspected[name], stall.Level)
	}
	for name := range f.suspected {
		if _, still := stalled[name]; still {
			continue
		}
		delete(f.suspected, name)
		if f.table.RespondedSince(name, windowStart) {
			f.reportServer(name, true)
		}
	}
	for name, status := range r.view.Servers {
		if _, stalledHere := stalled[name]; !status.Reachable && !stalledHere && f.table.RespondedSince(name, windowStart) {
			f.reportServer(name, true)
		}
	}
}

// reportServer reports a server as reachable or unreachable to all fronts.
func (f *front) reportServer(name string, reachable bool) {
	r := f.run
	if r.reports[name] == nil {
		if reachable {
			return
		}
		r.reports[name] = map[string]report{}
	}
	r.reports[name][f.name] = report{reachable: reachable, reportedAt: r.now}
	if r.reportsPending {
		return
	}
	r.reportsPending = true
	r.schedule(reportDelay, r.applyReports)
}

// applyReports updates the reachability of all servers in the view of every front.
func (r *run) applyReports() {
	r.reportsPending = false
	changed := false
	servers := make(map[string]*wire.ServerStatus, len(r.view.Servers))
	for name, status := range r.view.Servers {
		servers[name] = status
		if reachable := r.reportedReachable(name); reachable != status.Reachable {
			next := proto.Clone(status).(*wire.ServerStatus)
			next.Reachable = reachable
			servers[name], changed = next, true
			if !reachable {
				r.result.Exclusions++
			}
		}
	}
	if !changed {
		return
	}
	r.view.Servers = servers
	for _, f := range r.fronts {
		f.table.Update(r.view, r.clock())
	}
}

func (r *run) reportedReachable(name string) bool {
	unreachable, fresh := 0, 0
	for _, received := range r.reports[name] {
		if r.now-received.reportedAt > reportFresh {
			continue
		}
		fresh++
		if !received.reachable {
			unreachable++
		}
	}
	return 2*unreachable <= fresh
}
