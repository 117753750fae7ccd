// Package route runs fronts that route by internal/decision/route, and plans by
// internal/decision/plan, over model servers in virtual time. Fronts see the
// servers' status and the plan late, as over watchers and the feed. Equal
// configurations give equal results.
package route

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
	"stepwick/sim/eventqueue"
)

const (
	rampStart   = 2
	statusStep  = 500 * time.Millisecond
	statusLag   = 250 * time.Millisecond
	planPeriod  = 5 * time.Second
	hop         = time.Millisecond
	drainStep   = 50 * time.Millisecond
	maxAttempts = 3
)

// Config is one run. Rate is requests a second; Prefixes the number of shared
// prefixes, drawn by Zipf with exponent Skew; PrefixTokens, SessionTokens and
// OutputTokens the means of sizes that spread to half and one and a half of it.
// FrontWeights share the clients among the fronts, evenly when nil. Crowd
// multiplies the rate in its span. Warm servers have answered before the run
// and hold no prefix yet.
type Config struct {
	Seed          uint64
	Strategy      route.Strategy
	Fronts        int
	Servers       int
	Server        ServerConfig
	Span          time.Duration
	Rate          float64
	Prefixes      int
	Skew          float64
	PrefixTokens  int
	SessionTokens int
	OutputTokens  int
	Deadline      time.Duration
	FrontWeights  []float64
	Queued        int
	Crowd         float64
	CrowdFrom     time.Duration
	CrowdTo       time.Duration
	Faults        []Fault
	Warm          bool
	Policy        plan.Policy
}

// Fault is a fault of one server at an instant of the run.
type Fault struct {
	At     time.Duration
	Server int
	What   FaultKind
}

// FaultKind is what happens to a server.
type FaultKind string

// Kinds of faults.
const (
	Crash       FaultKind = "crash"
	RestartCold FaultKind = "cold" // the server runs again, with empty caches
	Drain       FaultKind = "drain"
	Undrain     FaultKind = "undrain"
)

// Result counts what callers and servers observed. Refused counts rejections with a
// retry delay, Cut streams that were interrupted, Late requests that the deadline
// ended. TTFT are the times to the first token, in order.
type Result struct {
	Offered, Served, Refused, Cut, Late, Rejected int
	Codes                                         map[string]int
	TTFT                                          []time.Duration
	Hits, Misses                                  int
	Servers                                       []ServerReport
	PerSecond                                     []int
}

// Quantile returns a quantile of the time to the first token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.TTFT) == 0 {
		return 0
	}
	return r.TTFT[min(len(r.TTFT)-1, int(q*float64(len(r.TTFT))))]
}

// HitShare returns the share of prefills that found their prefix.
func (r Result) HitShare() float64 { return float64(r.Hits) / float64(max(1, r.Hits+r.Misses)) }

// String is the result in one line.
func (r Result) String() string {
	return fmt.Sprintf("offered %d served %d refused %d cut %d late %d ttft p50 %dms p95 %dms hits %.3f", r.Offered, r.Served, r.Refused,
		r.Cut, r.Late, r.Quantile(0.5).Milliseconds(), r.Quantile(0.95).Milliseconds(), r.HitShare())
}

type ending int

const (
	answered ending = iota
	refused
	busy
	interrupted
	late
)

type call struct {
	id                            string
	front                         *front
	prefix                        uint64
	prefixTokens, session, output int
	born, deadline                time.Duration
	attempt                       int
	server                        string
	tried                         []string
	begun, over                   bool
	started, first                time.Duration
}

type front struct {
	name  string
	table *route.Table
	calls map[string]*call
}

type sim struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	events  eventqueue.Queue[time.Duration]
	servers []*server
	byName  map[string]*server
	fronts  []*front
	state   statemachine.State
	plan    *wire.Plan
	last    map[string]*wire.ServerStatus
	number  uint64
	zipf    []float64
	result  Result
}

var version = time.UnixMilli(1_000_000)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run simulates one configuration.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), byName: map[string]*server{}, last: map[string]*wire.ServerStatus{}}
	s.result.Codes = map[string]int{}
	s.result.PerSecond = make([]int, int(cfg.Span/time.Second)+1)
	s.state = statemachine.State{Version: 1, SheetVersion: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"chat": {Kind: sheet.KindModel}},
		Weights: map[string]map[string]float64{"chat": {"lagos": 10, "abeokuta": 8}}}}
	for i := range cfg.Servers {
		region, zone := "lagos", []string{"a", "b"}[i%2]
		if i*18 >= cfg.Servers*10 {
			region, zone = "abeokuta", "a"
		}
		v := newServer(s, fmt.Sprintf("m%02d", i), region, zone, cfg.Server)
		if cfg.Warm {
			v.answered = 1000
		}
		s.servers = append(s.servers, v)
		s.byName[v.name] = v
	}
	var names []string
	for i := range cfg.Fronts {
		names = append(names, fmt.Sprintf("n%d", i))
	}
	for i, name := range names {
		region, zone := []string{"lagos", "lagos", "abeokuta"}[i%3], []string{"a", "b", "a"}[i%3]
		s.fronts = append(s.fronts, &front{name: name, calls: map[string]*call{},
			table: route.New(route.Config{Self: name, Region: region, Zone: zone, Strategy: cfg.Strategy,
				Policy: cfg.Policy, MaxQueued: cmp.Or(cfg.Queued, 256)})})
	}
	s.drawZipf()
	s.publishStatus(names)
	s.drainQueues()
	for _, fault := range cfg.Faults {
		s.at(fault.At, func() { s.fault(fault) })
	}
	s.at(time.Second, func() { s.arrive(0) })
	s.runEvents(cfg.Span + cfg.Deadline)
	slices.Sort(s.result.TTFT)
	for _, v := range s.servers {
		s.result.Hits += v.report.Hits
		s.result.Misses += v.report.Misses
		s.result.Servers = append(s.result.Servers, v.report)
	}
	return s.result
}

// runEvents runs the events that are due until an instant, included.
func (s *sim) runEvents(until time.Duration) {
	for at, ok := s.events.Next(); ok && at <= until; at, ok = s.events.Next() {
		instant, action := s.events.Pop()
		s.now = instant
		action()
	}
}

func (s *sim) at(at time.Duration, action func()) {
	s.events.Schedule(max(at, s.now), action)
}

func (s *sim) clock() time.Time { return version.Add(s.now) }

func (s *sim) drawZipf() {
	sum := 0.0
	for i := range s.cfg.Prefixes {
		sum += 1 / math.Pow(float64(i+1), s.cfg.Skew)
		s.zipf = append(s.zipf, sum)
	}
}

func (s *sim) fault(f Fault) {
	v := s.servers[f.Server]
	switch f.What {
	case Crash:
		v.crash()
	case RestartCold:
		v.boot(s.cfg.Server.ColdCalls)
	case Drain:
		v.draining = true
	case Undrain:
		v.draining = false
	}
}

// publishStatus acts as the health checks, the planner and the feed: each half
// second it sends the servers' status to all fronts, delayed, and a plan when one
// is due.
func (s *sim) publishStatus(names []string) {
	next := map[string]*wire.ServerStatus{}
	for _, v := range s.servers {
		next[v.name] = v.status()
	}
	in := plan.Input{State: s.state, Servers: next, Prior: s.plan, Term: 1, Number: s.number + 1, Now: s.clock(), Period: planPeriod, Policy: s.cfg.Policy}
	cause, forced := plan.ReplanCause(s.plan, in)
	if forced || plan.PeriodOver(s.plan, in.Now) {
		in.Cause = cmp.Or(cause, "period")
		s.plan = plan.Compute(in)
		s.number++
	}
	view := route.View{State: s.state, Plan: s.plan, Servers: next, Fronts: names}
	for _, f := range s.fronts {
		s.at(s.now+statusLag+time.Duration(s.rng.IntN(100))*time.Millisecond, func() {
			f.table.Update(view, s.clock())
			s.drain(f)
		})
	}
	if s.now < s.cfg.Span+s.cfg.Deadline {
		s.at(s.now+statusStep, func() { s.publishStatus(names) })
	}
}

func (s *sim) drainQueues() {
	for _, f := range s.fronts {
		s.drain(f)
	}
	if s.now < s.cfg.Span+s.cfg.Deadline {
		s.at(s.now+drainStep, s.drainQueues)
	}
}

func (s *sim) drain(f *front) {
	for {
		ready, ok := f.table.Next(s.clock())
		if !ok {
			return
		}
		c := f.calls[ready.Request.ID]
		delete(f.calls, ready.Request.ID)
		s.startAttempt(c, ready.Choice)
	}
}

func (s *sim) inOrder(calls map[*call]bool) []*call {
	var all []*call
	for c := range calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.id, b.id) })
	return all
}
