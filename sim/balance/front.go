package balance

import (
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/balance"
	"stepwick/internal/wire"
)

const (
	suspectEvery        = 100.0  // ms
	recentResponse      = 400.0  // ms; see the gateway's passive_health.go
	reportDelay         = 80.0   // ms until one front's report is known to all
	reportFresh         = 3000.0 // ms
	assignInterval      = 5.0    // ms between attempts to assign a queued request
	queueTimeoutDivisor = 4      // a request is queued for at most 1/queueTimeoutDivisor of its objective
	probeTimeout        = 400.0  // ms
)

// front is a node that carries traffic: the product's table, and connections.
type front struct {
	run          *run
	name         string
	region, zone int
	table        *balance.Table
	idle         map[string]int // idle connections, by server
	suspected    map[string]balance.StallLevel
}

// report is what a front reported of a server.
type report struct {
	reachable bool
	at        float64
}

// request is one client's request.
type request struct {
	kind   Kind
	came   float64
	chain  []promptPart
	own    float64
	out    float64
	number uint64
}

func (f *front) order(q *request) *balance.Request {
	order := &balance.Request{ID: string(rune(q.number)), Service: serviceName, Route: q.kind.Name, MaxEventGap: time.Duration(q.kind.Pause * float64(time.Millisecond)), AllowedRegions: q.kind.Homes, UnsharedTokens: q.own, OutputTokens: q.out,
		QueueUntil: start.Add(time.Duration((q.came + q.kind.Objective/queueTimeoutDivisor) * float64(time.Millisecond)))}
	for _, p := range q.chain {
		order.PrefixDigest = p.id
		order.SharedTokens += p.tokens
	}
	return order
}

// take sends a request to a server, at once or when one has capacity.
func (f *front) take(q *request) { f.try(q, f.order(q)) }

func (f *front) try(q *request, order *balance.Request) {
	r := f.run
	choice := f.table.Choose(order, r.clock())
	switch {
	case choice.Wait:
		r.after(assignInterval, func() { f.try(q, order) })
		return
	case choice.Err != nil:
		r.result.ended(q, outcome{})
		return
	}
	f.send(q, order, choice.Server)
}

func (f *front) send(q *request, order *balance.Request, name string) {
	r := f.run
	s := r.servers[name]
	attempt := f.table.StartAttempt(name, order, r.clock())
	way := r.oneWay(f, s)
	setUp := 0.0
	if f.idle[name] > 0 {
		f.idle[name]--
	} else {
		r.result.Connections++
		setUp = 2 * way
	}
	if f.region != s.region {
		r.result.Crossed += q.kind.Bytes
	}
	answer := outcome{}
	j := &job{own: q.own, out: q.out, chain: q.chain, number: q.number}
	j.began = func() {
		r.after(way, func() {
			f.table.ResponseStarted(attempt, r.clock())
			answer.served = true
			answer.took = r.now + r.site.ToClient - q.came
		})
	}
	j.ended = func() {
		r.after(way, func() {
			f.table.FinishAttempt(attempt, balance.OutcomeSucceeded, r.clock())
			f.idle[name]++
			answer.pause = j.pause
			r.result.ended(q, answer)
		})
	}
	r.after(setUp+way, func() { s.engine.arrive(j) })
}

// suspect reports servers that are unresponsive to what this front sent them, as
// the gateway's dispatcher does.
func (f *front) suspect() {
	r := f.run
	r.after(suspectEvery, f.suspect)
	if r.policy.Disabled[balance.UnresponsiveReports] {
		return
	}
	now := r.clock()
	since := now.Add(-time.Duration(recentResponse * float64(time.Millisecond)))
	stalled := f.table.StalledServers(now)
	for name, one := range stalled {
		if f.suspected[name] == balance.NotStalled {
			r.result.Suspicions++
		}
		reportLevel := balance.Unresponsive
		if r.policy.Disabled[balance.ProbeBeforeReport] {
			reportLevel = balance.Stalled
		}
		if one.Level >= reportLevel && f.suspected[name] < reportLevel {
			f.reportServer(name, false)
		}
		f.suspected[name] = max(f.suspected[name], one.Level)
	}
	for name := range f.suspected {
		if _, still := stalled[name]; still {
			continue
		}
		delete(f.suspected, name)
		if f.table.RespondedSince(name, since) {
			f.reportServer(name, true)
		}
	}
	for name, status := range r.view.Servers {
		if _, mine := stalled[name]; !status.Reachable && !mine && f.table.RespondedSince(name, since) {
			f.reportServer(name, true)
		}
	}
}

// reportServer reports a server as reachable or not to all fronts.
func (f *front) reportServer(name string, reachable bool) {
	r := f.run
	if r.reports[name] == nil {
		if reachable {
			return
		}
		r.reports[name] = map[string]report{}
	}
	r.reports[name][f.name] = report{reachable: reachable, at: r.now}
	if r.changed {
		return
	}
	r.changed = true
	r.after(reportDelay, r.applyReports)
}

// applyReports applies the newest reports on all servers to every front's view.
func (r *run) applyReports() {
	r.changed = false
	moved := false
	servers := make(map[string]*wire.ServerStatus, len(r.view.Servers))
	for name, status := range r.view.Servers {
		servers[name] = status
		if reachable := r.reachable(name); reachable != status.Reachable {
			next := proto.Clone(status).(*wire.ServerStatus)
			next.Reachable = reachable
			servers[name], moved = next, true
			if !reachable {
				r.result.Excluded++
			}
		}
	}
	if !moved {
		return
	}
	r.view.Servers = servers
	for _, f := range r.fronts {
		f.table.Update(r.view, r.clock())
	}
}

func (r *run) reachable(name string) bool {
	silent, all := 0, 0
	for _, told := range r.reports[name] {
		if r.now-told.at > reportFresh {
			continue
		}
		all++
		if !told.reachable {
			silent++
		}
	}
	return 2*silent <= all
}
