// Package route runs fronts that route by internal/decision/route, and plans by
// internal/decision/plan, over model servers in virtual time. Fronts see the
// servers' status and the plan late, as over watchers and the feed. Equal
// configurations give equal results.
package route

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

const (
	rampStart  = 2
	statusStep = 500 * time.Millisecond
	statusLag  = 250 * time.Millisecond
	planPeriod = 5 * time.Second
	hop        = time.Millisecond
	wakeStep   = 50 * time.Millisecond
	mostTries  = 3
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

// Fault happens to one server at an instant of the run.
type Fault struct {
	At     time.Duration
	Server int
	What   string // crash, cold (comes back cold), drain, undrain
}

// Result is what callers and servers saw. Refused counts the answers that told
// the caller to come back, Cut streams that ended early, Late those that the
// deadline ended. TTFT are times to the first token, in order.
type Result struct {
	Offered, Served, Refused, Cut, Late, Rejected int
	Codes                                         map[string]int
	TTFT                                          []time.Duration
	Hits, Misses                                  int
	Servers                                       []Ledger
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
	cut
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
	order   int
	events  events
	servers []*server
	byName  map[string]*server
	fronts  []*front
	state   sheet.State
	plan    *wire.Plan
	last    map[string]*wire.ServerStatus
	number  uint64
	zipf    []float64
	result  Result
}

var version = time.UnixMilli(1_000_000)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run plays one configuration.
func Run(cfg Config) Result {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), byName: map[string]*server{}, last: map[string]*wire.ServerStatus{}}
	s.result.Codes = map[string]int{}
	s.result.PerSecond = make([]int, int(cfg.Span/time.Second)+1)
	s.state = sheet.State{Version: 1, SheetVersion: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"chat": {Kind: sheet.KindModel}},
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
				Policy: cfg.Policy, QueueBound: cmp.Or(cfg.Queued, 256)})})
	}
	s.drawZipf()
	s.look(names)
	s.wake()
	for _, fault := range cfg.Faults {
		s.at(fault.At, func() { s.fault(fault) })
	}
	s.at(time.Second, func() { s.offer(0) })
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > cfg.Span+cfg.Deadline {
			break
		}
		s.now = e.at
		e.f()
	}
	slices.Sort(s.result.TTFT)
	for _, v := range s.servers {
		s.result.Hits += v.ledger.Hits
		s.result.Misses += v.ledger.Misses
		s.result.Servers = append(s.result.Servers, v.ledger)
	}
	return s.result
}

func (s *sim) at(at time.Duration, f func()) {
	s.order++
	heap.Push(&s.events, event{max(at, s.now), s.order, f})
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
	case "crash":
		v.crash()
	case "cold":
		v.boot(s.cfg.Server.ColdCalls)
	case "drain":
		v.draining = true
	case "undrain":
		v.draining = false
	}
}

// look is the watchers, the planner and the feed: each half second the servers'
// status goes to all fronts, late by a lag, with a plan when one is due.
func (s *sim) look(names []string) {
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
		s.at(s.now+statusStep, func() { s.look(names) })
	}
}

func (s *sim) wake() {
	for _, f := range s.fronts {
		s.drain(f)
	}
	if s.now < s.cfg.Span+s.cfg.Deadline {
		s.at(s.now+wakeStep, s.wake)
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
		s.follow(c, ready.Choice)
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
