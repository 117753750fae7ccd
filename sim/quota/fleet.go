// Package quota simulates the enforcement of a tenant's quota by a fleet of fronts in
// virtual time. The fronts run the limiters, counters and relays of
// internal/decision/quota, the same code as in production. A checker compares the
// demand of the callers with the tokens they were admitted.
package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/sim/eventqueue"
)

// Fleet configures one run. Instants are relative to the start of the run; amounts of
// tokens are fractions of the tenant's limit. Equal values give equal runs.
type Fleet struct {
	Seed              uint64
	Config            quota.Config
	Allowance         quota.Allowance
	Fronts            int           // defaults to 9
	FirstRegion       int           // number of fronts in the first region; the others are in the second; defaults to 6
	MaxRegionDelay    time.Duration // maximum one-way delay between regions; defaults to 150 ms
	Loss              float64       // probability that a message is lost
	RequestSize       float64       // mean tokens of a request; defaults to 0.004
	Sizes             SizeMix       // kinds of requests; replaces RequestSize if set
	Retries           int           // number of times that a client retries a refused request, after RetryAfter and at a random front
	LimitInFlight     bool          // periodic counts are not sent to an owner with maxInFlight exchanges in flight, as in production
	Length            time.Duration
	PoissonArrivals   bool                                            // interarrival times are exponential instead of uniform between 0.5 and 1.5 of their mean
	QueueTimeout      time.Duration                                   // maximum time that a front queues a request; defaults to 2.5 s
	Demand            func(at time.Duration, front int) float64       // tokens offered at a front, as a multiple of limit/window
	Bursts            []Burst                                         // in addition to Demand
	Down              func(at time.Duration, front int) bool          // the front's process is not running
	Frozen            func(at time.Duration, front int) bool          // the front's process is suspended; its callers use the next running front
	Partitioned       func(at time.Duration) bool                     // all messages between the regions are dropped
	Unreachable       func(at time.Duration, from, to int) bool       // messages from one front to the other are dropped
	ClockOffset       func(at time.Duration, front int) time.Duration // offset of the front's clock from the true time
	AddTime           func(at time.Duration) time.Duration            // time that a counter takes for one AddRequest, which it handles one by one; nil: none
	RemoveDownAfter   time.Duration                                   // time after which a front that is down is removed from the roster; 0: never
	FlushOnStop       bool                                            // a front sends its due counts before it stops
	FirstIsOwner      bool                                            // the first front owns the tenant's counter
	SecondIsNextOwner bool                                            // the second front becomes the owner if the first is removed

	// StaggeredDetection gives each front its own detection delays: it removes a front
	// that is down from the roster after 0.5 to 1 s, and finds a front that doesn't
	// answer unresponsive after 1.5 to 2 s. Otherwise these delays are RemoveDownAfter
	// and 2 s at all fronts.
	StaggeredDetection bool
}

// Burst is a number of tokens whose requests arrive at one front at the same instant.
type Burst struct {
	At     time.Duration
	Front  int
	Tokens float64
}

// Request is one request with its decision, as observed by the caller.
type Request struct {
	ArrivedAt, AnsweredAt time.Duration
	Front                 int
	Tokens                float64
	Decision              quota.Decision
	retriesLeft           int // how often the client will still retry it if it is refused
}

const (
	tenant         = "press"
	startUnixMicro = int64(1_800_000_000_000_000) // Unix time of the start of a run, a multiple of the window

	ticksPerInterval = 10  // a front's ticks in one Config.Interval
	ticksPerPrune    = 100 // ticks between two calls of Counter.Prune
	arrivalStep      = 4 * time.Millisecond
	defaultWindow    = 8 * time.Second
)

// run is the state of one simulation.
type run struct {
	Fleet
	random      *rand.Rand
	probeRandom *rand.Rand // source for the exchanges that are probes, see exchange.random
	now         time.Duration
	events      eventqueue.Queue[time.Duration]
	fronts      []*front
	names       []string
	limit       float64
	requests    []Request

	healthyOwner string // owner of the tenant while all fronts are reachable
}

// Run simulates the fleet and returns all requests in the order of arrival.
func (f Fleet) Run() []Request {
	r := newRun(f.withDefaults())
	for i := range r.fronts {
		r.startFront(i)
	}
	for _, burst := range f.Bursts {
		r.after(burst.At, func() { r.arriveBurst(burst) })
	}
	for at, ok := r.events.NextTime(); ok && at <= f.Length; at, ok = r.events.NextTime() {
		instant, action := r.events.Pop()
		r.now = instant
		action()
	}
	return r.requests
}

func (f Fleet) withDefaults() Fleet {
	f.Fronts = cmp.Or(f.Fronts, 9)
	f.FirstRegion = cmp.Or(f.FirstRegion, 6)
	f.MaxRegionDelay = cmp.Or(f.MaxRegionDelay, 150*time.Millisecond)
	f.RequestSize = cmp.Or(f.Sizes.mean(), f.RequestSize, 0.004)
	f.QueueTimeout = cmp.Or(f.QueueTimeout, 2500*time.Millisecond)
	f.Config.Window = cmp.Or(f.Config.Window, defaultWindow)
	f.Config.Interval = cmp.Or(f.Config.Interval, 200*time.Millisecond)
	f.Allowance = cmp.Or(f.Allowance, quota.Allowance{Rate: 1000, Burst: 2000})
	return f
}

func newRun(f Fleet) *run {
	r := &run{
		Fleet:       f,
		random:      rand.New(rand.NewPCG(f.Seed, 7)),
		probeRandom: rand.New(rand.NewPCG(f.Seed, 8)),
		limit:       f.Allowance.TokensPerWindow(f.Config.Window),
	}
	for i := range f.Fronts {
		r.names = append(r.names, fmt.Sprintf("front-%d-%d", i, f.Seed))
	}
	if f.FirstIsOwner {
		r.moveOwnerTo(0)
	}
	if f.SecondIsNextOwner {
		r.moveOwnerTo(1)
	}
	r.healthyOwner = quota.OwnerOf(tenant, r.names)
	for _, name := range r.names {
		r.fronts = append(r.fronts, &front{name: name})
	}
	return r
}

// moveOwnerTo swaps names so that the front at a position owns the tenant among the
// fronts from that position on.
func (r *run) moveOwnerTo(position int) {
	owner := r.frontIndex(quota.OwnerOf(tenant, r.names[position:]))
	r.names[position], r.names[owner] = r.names[owner], r.names[position]
}

// startFront starts front i and schedules its first tick and requests.
func (r *run) startFront(i int) {
	r.fronts[i].untilNextArrival = r.random.Float64()
	r.boot(i)
	firstTick := time.Duration(r.random.Int64N(int64(r.tickInterval())))
	r.after(firstTick, func() { r.tick(i, int(r.random.Int64N(ticksPerInterval))) })
	if r.Demand != nil {
		r.after(0, func() { r.arrive(i) })
	}
}

func (r *run) tickInterval() time.Duration { return r.Config.Interval / ticksPerInterval }

func (r *run) after(delay time.Duration, action func()) { r.events.Schedule(r.now+delay, action) }

// clock returns the current time by the clock of front i.
func (r *run) clock(i int) time.Time {
	now := time.UnixMicro(startUnixMicro + r.now.Microseconds())
	if r.ClockOffset != nil {
		now = now.Add(r.ClockOffset(r.now, i))
	}
	return now
}

func (r *run) isDown(at time.Duration, i int) bool { return r.Down != nil && r.Down(at, i) }

func (r *run) isFrozen(at time.Duration, i int) bool { return r.Frozen != nil && r.Frozen(at, i) }

func (r *run) frontIndex(name string) int { return max(0, slices.Index(r.names, name)) }

func (r *run) drawSize() float64 {
	if len(r.Sizes) > 0 {
		return r.Sizes.draw(r.random)
	}
	return r.RequestSize * (0.5 + r.random.Float64())
}

// arrive creates the requests that arrive at front i in one arrivalStep, and schedules
// itself for the next.
func (r *run) arrive(i int) {
	r.after(arrivalStep, func() { r.arrive(i) })
	f := r.fronts[i]
	f.untilNextArrival -= r.Demand(r.now, i) / r.RequestSize / r.Config.Window.Seconds() * arrivalStep.Seconds()
	for f.untilNextArrival <= 0 {
		if r.PoissonArrivals {
			f.untilNextArrival += r.random.ExpFloat64()
		} else {
			f.untilNextArrival += 0.5 + r.random.Float64()
		}
		r.request(i, r.drawSize(), r.Retries)
	}
}

// arriveBurst creates the requests of a burst.
func (r *run) arriveBurst(burst Burst) {
	for remaining := burst.Tokens; remaining > 0; {
		tokens := min(remaining, r.drawSize())
		remaining -= tokens
		r.request(burst.Front, tokens, r.Retries)
	}
}
