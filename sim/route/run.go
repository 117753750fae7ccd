// Package route runs fronts that route by internal/decision/route, and plans by
// internal/decision/plan, over model servers in virtual time. Fronts receive the
// servers' status and the plan late, as from health checks and the feed. Equal
// configurations give equal results.
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
	statusInterval = 500 * time.Millisecond
	minStatusDelay = 250 * time.Millisecond
	maxStatusDelay = minStatusDelay + 100*time.Millisecond
	planPeriod     = 5 * time.Second
	queueInterval  = 50 * time.Millisecond // between two checks of the fronts' queues
	firstArrival   = time.Second

	service          = "chat"
	firstRegion      = "lagos"
	secondRegion     = "abeokuta"
	defaultMaxQueued = 256
	warmAnswers      = 1000 // of a server that has answered before the run
)

// Config configures one run. Instants count from the run's start; sizes spread evenly
// from half to one and a half of their means.
type Config struct {
	Seed     uint64
	Strategy route.Strategy
	Policy   plan.Policy
	Length   time.Duration // requests arrive until then

	Fronts       int
	FrontWeights []float64 // shares of the clients; even if nil
	MaxQueued    int       // at each front; defaults to 256
	Servers      int
	Server       ServerConfig
	StartWarm    bool // servers have answered before the run, with no prefix cached yet

	Rate          float64 // requests a second
	Surge         float64 // multiplies the rate between SurgeFrom and SurgeTo
	SurgeFrom     time.Duration
	SurgeTo       time.Duration
	Prefixes      int           // number of shared prompt prefixes
	Skew          float64       // exponent of the prefixes' Zipf distribution
	PrefixTokens  int           // mean
	SessionTokens int           // mean tokens of a prompt after its prefix
	OutputTokens  int           // mean
	Deadline      time.Duration // from a request's arrival

	Faults []Fault
}

// Fault is a fault of one server at an instant of the run.
type Fault struct {
	At     time.Duration
	Server int
	Kind   FaultKind
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

// run is the state of one simulation.
type run struct {
	Config
	random     *rand.Rand
	now        time.Duration
	events     eventqueue.Queue[time.Duration]
	servers    []*server
	byName     map[string]*server
	fronts     []*front
	frontNames []string
	state      statemachine.State
	plan       *wire.Plan
	planNumber uint64
	zipf       []float64 // cumulative weights of the prefixes
	result     Result
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
		r.at(fault.At, func() { r.inject(fault) })
	}
	r.at(firstArrival, func() { r.arrive(0) })
	r.runEvents(r.end())
	r.result.complete(r.servers)
	return r.result
}

func newRun(config Config) *run {
	r := &run{
		Config: config,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		byName: map[string]*server{},
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
		r.zipf = append(r.zipf, sum)
	}
	return r
}

// addServers adds ten of eighteen servers in two zones of the first region, and the
// others in the second.
func (r *run) addServers() {
	for i := range r.Servers {
		region, zone := firstRegion, []string{"a", "b"}[i%2]
		if i*18 >= r.Servers*10 {
			region, zone = secondRegion, "a"
		}
		s := newServer(r, fmt.Sprintf("m%02d", i), region, zone)
		if r.StartWarm {
			s.answered = warmAnswers
		}
		r.servers = append(r.servers, s)
		r.byName[s.name] = s
	}
}

// addFronts adds the fronts in turn to both zones of the first region and the second.
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

// end returns the instant by which all requests have ended.
func (r *run) end() time.Duration { return r.Length + r.Deadline }

// runEvents runs the events that are due until an instant, included.
func (r *run) runEvents(until time.Duration) {
	for at, ok := r.events.Next(); ok && at <= until; at, ok = r.events.Next() {
		instant, action := r.events.Pop()
		r.now = instant
		action()
	}
}

func (r *run) at(at time.Duration, action func()) {
	r.events.Schedule(max(at, r.now), action)
}

func (r *run) after(delay time.Duration, action func()) { r.at(r.now+delay, action) }

func (r *run) clock() time.Time { return origin.Add(r.now) }

func (r *run) inject(fault Fault) {
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

// publishStatus acts as the health checks, the planner and the feed: each half second
// it sends the servers' status to all fronts, delayed, and a plan when one is due.
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
		r.after(delay, func() {
			f.table.Update(view)
			r.startReady(f)
		})
	}
	if r.now < r.end() {
		r.after(statusInterval, r.publishStatus)
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

// checkQueues starts queued requests whose servers became available by time alone.
func (r *run) checkQueues() {
	for _, f := range r.fronts {
		r.startReady(f)
	}
	if r.now < r.end() {
		r.after(queueInterval, r.checkQueues)
	}
}

// startReady starts or rejects the queued requests of a front that are ready.
func (r *run) startReady(f *front) {
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
