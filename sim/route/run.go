// Package route simulates, in virtual time, fronts that route requests to model servers.
// The fronts route with internal/decision/route, by plans from internal/decision/plan.
// Servers' status and plans reach the fronts with the delay of health checks and the feed.
// Equal configurations give equal results.
package route

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
	"stepwick/sim/eventqueue"
)

const (
	statusInterval     = 500 * time.Millisecond
	minStatusDelay     = 250 * time.Millisecond
	maxStatusDelay     = minStatusDelay + 100*time.Millisecond
	planPeriod         = 5 * time.Second
	queueCheckInterval = 50 * time.Millisecond // time between two checks of the fronts' queues
	firstArrival       = time.Second

	service          = "chat"
	firstRegion      = "lagos"
	secondRegion     = "abeokuta"
	defaultMaxQueued = 256
	warmStartAnswers = 1000 // answers given before the run by each server if Config.StartWarm is set
)

// Config configures one run. Instants are relative to the start of the run. Numbers of
// tokens are distributed uniformly between half and one and a half times their mean.
type Config struct {
	Seed     uint64
	Strategy route.Strategy
	Policy   plan.Policy
	Length   time.Duration // requests arrive until this instant

	Fronts       int
	FrontWeights []float64 // relative shares of the clients; nil: equal shares
	MaxQueued    int       // maximum number of requests that a front queues; defaults to 256
	Servers      int
	Server       ServerConfig
	StartWarm    bool // servers are past slow start when the run begins, without cached prefixes

	Rate          float64 // requests per second
	Surge         float64 // factor of Rate between SurgeFrom and SurgeTo; 0: no surge
	SurgeFrom     time.Duration
	SurgeTo       time.Duration
	Prefixes      int           // number of shared prompt prefixes
	Skew          float64       // exponent of the prefixes' Zipf distribution
	PrefixTokens  int           // mean tokens of a prefix
	SessionTokens int           // mean tokens of a prompt after its prefix
	OutputTokens  int           // mean tokens of a response
	Deadline      time.Duration // from a request's arrival

	Faults []Fault
}

// Fault is a fault of one server at an instant of the run.
type Fault struct {
	At     time.Duration
	Server int
	Kind   FaultKind
}

// FaultKind is the kind of a fault or of the recovery from one.
type FaultKind string

// Kinds of faults.
const (
	Crash       FaultKind = "crash"   // the process ends and interrupts its requests
	RestartCold FaultKind = "cold"    // the process starts with an empty cache, cold for ServerConfig.ColdAnswers answers
	Drain       FaultKind = "drain"   // the server reports that it is draining
	Undrain     FaultKind = "undrain" // the server stops reporting it
)

// run is the state of one simulation.
type run struct {
	Config
	random                  *rand.Rand
	now                     time.Duration
	events                  eventqueue.Queue[time.Duration]
	servers                 []*server
	serversByName           map[string]*server
	fronts                  []*front
	frontNames              []string
	state                   statemachine.State
	plan                    *wire.Plan
	planNumber              uint64
	cumulativePrefixWeights []float64 // cumulative weights of the prefixes
	result                  Result
}

type front struct {
	name   string
	table  *route.Table
	queued map[string]*request // by ID
}

var origin = time.UnixMilli(1_000_000)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Run simulates one configuration.
func Run(config Config) Result {
	r := newRun(config)
	r.addServers()
	r.addFronts()
	r.publishStatus()
	r.checkQueues()
	for _, fault := range r.Faults {
		r.schedule(fault.At, func() { r.injectFault(fault) })
	}
	r.schedule(firstArrival, func() { r.arrive(0) })
	r.runEvents(r.endTime())
	r.result.complete(r.servers)
	return r.result
}

func newRun(config Config) *run {
	r := &run{
		Config:        config,
		random:        rand.New(rand.NewPCG(config.Seed, 1)),
		serversByName: map[string]*server{},
		state: statemachine.State{
			Version:      1,
			SheetVersion: 1,
			Sheet: &sheet.Sheet{
				Services: map[string]sheet.Service{service: {Kind: sheet.KindModel}},
				Weights:  map[string]map[string]float64{service: {firstRegion: 10, secondRegion: 8}},
			},
		},
		result: newResult(config.Length),
	}
	sum := 0.0
	for i := range config.Prefixes {
		sum += 1 / math.Pow(float64(i+1), config.Skew)
		r.cumulativePrefixWeights = append(r.cumulativePrefixWeights, sum)
	}
	return r
}

// addServers adds the servers: 10 of 18 alternate between the two zones of the first
// region, the others are in the second region.
func (r *run) addServers() {
	for i := range r.Servers {
		region, zone := firstRegion, []string{"a", "b"}[i%2]
		if i*18 >= r.Servers*10 {
			region, zone = secondRegion, "a"
		}
		s := newServer(r, fmt.Sprintf("m%02d", i), region, zone)
		if r.StartWarm {
			s.answered = warmStartAnswers
		}
		r.servers = append(r.servers, s)
		r.serversByName[s.name] = s
	}
}

// addFronts adds the fronts, assigned in turn to the two zones of the first region and to
// the second region.
func (r *run) addFronts() {
	for i := range r.Fronts {
		name := fmt.Sprintf("n%d", i)
		table := route.New(route.Config{
			Self:      name,
			Region:    []string{firstRegion, firstRegion, secondRegion}[i%3],
			Zone:      []string{"a", "b", "a"}[i%3],
			Strategy:  r.Strategy,
			Policy:    r.Policy,
			MaxQueued: cmp.Or(r.MaxQueued, defaultMaxQueued),
		})
		r.frontNames = append(r.frontNames, name)
		r.fronts = append(r.fronts, &front{
			name:   name,
			table:  table,
			queued: map[string]*request{},
		})
	}
}

// endTime returns the instant of the last request's deadline.
func (r *run) endTime() time.Duration { return r.Length + r.Deadline }

// runEvents runs the events up to and including an instant.
func (r *run) runEvents(until time.Duration) {
	for at, ok := r.events.NextTime(); ok && at <= until; at, ok = r.events.NextTime() {
		instant, action := r.events.Pop()
		r.now = instant
		action()
	}
}

func (r *run) schedule(at time.Duration, action func()) {
	r.events.Schedule(max(at, r.now), action)
}

func (r *run) scheduleAfter(delay time.Duration, action func()) { r.schedule(r.now+delay, action) }

func (r *run) clock() time.Time { return origin.Add(r.now) }

func (r *run) injectFault(fault Fault) {
	s := r.servers[fault.Server]
	switch fault.Kind {
	case Crash:
		s.crash()
	case RestartCold:
		s.boot(r.Server.ColdAnswers)
	case Drain:
		s.draining = true
	case Undrain:
		s.draining = false
	}
}

// publishStatus simulates the health checks, the planner and the feed: each
// statusInterval it computes a new plan if one is due, and sends the servers' status and
// the plan to all fronts, each with a random delay.
func (r *run) publishStatus() {
	statuses := map[string]*wire.ServerStatus{}
	for _, s := range r.servers {
		statuses[s.name] = s.status()
	}
	r.updatePlan(statuses)
	view := route.View{
		State:   r.state,
		Plan:    r.plan,
		Servers: statuses,
		Fronts:  r.frontNames,
	}
	for _, f := range r.fronts {
		spread := int((maxStatusDelay - minStatusDelay) / time.Millisecond)
		delay := minStatusDelay + time.Duration(r.random.IntN(spread))*time.Millisecond
		r.scheduleAfter(delay, func() {
			f.table.Update(view)
			r.startReadyRequests(f)
		})
	}
	if r.now < r.endTime() {
		r.scheduleAfter(statusInterval, r.publishStatus)
	}
}

func (r *run) updatePlan(statuses map[string]*wire.ServerStatus) {
	input := plan.Input{
		State:   r.state,
		Servers: statuses,
		Current: r.plan,
		Term:    1,
		Number:  r.planNumber + 1,
		Now:     r.clock(),
		Period:  planPeriod,
		Policy:  r.Policy,
	}
	cause, forced := plan.ReplanCause(r.plan, input)
	if forced || plan.PeriodOver(r.plan, input.Now) {
		input.Cause = cmp.Or(cause, "period")
		r.plan = plan.Compute(input)
		r.planNumber++
	}
}

// checkQueues starts queued requests for which a server became available by the passage
// of time alone, without an event at the front.
func (r *run) checkQueues() {
	for _, f := range r.fronts {
		r.startReadyRequests(f)
	}
	if r.now < r.endTime() {
		r.scheduleAfter(queueCheckInterval, r.checkQueues)
	}
}

// startReadyRequests starts or rejects the queued requests of a front that need not wait
// any longer.
func (r *run) startReadyRequests(f *front) {
	for {
		ready, ok := f.table.Next(r.clock())
		if !ok {
			return
		}
		req := f.queued[ready.Request.ID]
		delete(f.queued, ready.Request.ID)
		r.startAttempt(req, ready.Choice)
	}
}
