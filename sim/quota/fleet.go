// Package quota runs the fronts' limiters and the owners' counters of a tenant's
// quota, the same code that decides in production, as a fleet in virtual time. A
// checker compares what callers asked for with what they got.
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

// Fleet configures one run. Instants count from the run's start; tokens are
// fractions of the tenant's limit.
type Fleet struct {
	Seed         uint64
	Config       quota.Config
	Allowance    quota.Allowance
	Fronts       int           // defaults to 9
	FirstRegion  int           // number of fronts in the first region, the others are in the second; defaults to 6
	RegionDelay  time.Duration // longest delay between regions; defaults to 150 ms
	Loss         float64       // probability that a message is lost
	RequestSize  float64       // mean tokens of a request; defaults to 0.004
	Sizes        SizeMix       // kinds of requests, in place of RequestSize
	Retries      int           // times that a client repeats a refused request after its RetryAfter, at any front
	SkipFull     bool          // counts that are due are not sent to an owner with maxInFlight exchanges, as in production
	Length       time.Duration
	Poisson      bool                                            // requests arrive at random instead of at regular intervals
	QueueTimeout time.Duration                                   // longest time that a front queues a request; defaults to 2.5 s
	Demand       func(at time.Duration, front int) float64       // tokens offered at a front, as a multiple of limit/window
	Bursts       []Burst                                         // in addition to Demand
	Down         func(at time.Duration, front int) bool          // the front's process is not running
	Frozen       func(at time.Duration, front int) bool          // the front's process is suspended; its callers go to the next one
	Partitioned  func(at time.Duration) bool                     // messages between the regions are dropped
	Unreachable  func(at time.Duration, from, to int) bool       // messages from one front to another are dropped
	ClockOffset  func(at time.Duration, front int) time.Duration // error of the front's clock
	AddTime      func(at time.Duration) time.Duration            // that a counter takes for one request with counts, one after the other
	ForgetAfter  time.Duration                                   // time after which fronts remove a dead front from the roster; zero: never
	FlushOnStop  bool                                            // a front sends its counts before it stops
	OwnerFirst   bool                                            // the first front owns the tenant's counter
	SecondNext   bool                                            // the second front is the owner among all but the first

	// FollowFaults makes fronts learn of refused connections after 0.5 to 1 s
	// and of time-outs after 1.5 to 2 s. For 0.2 s after a freeze of its own a
	// front finds all others unresponsive.
	FollowFaults bool
}

// Burst is a batch of requests that arrive at the same instant.
type Burst struct {
	At     time.Duration
	Front  int
	Tokens float64
}

// Request is one request as its caller sees it.
type Request struct {
	At, Answered time.Duration
	Front        int
	Tokens       float64
	Decision     quota.Decision
	retries      int // left after a refusal
}

const (
	tenant      = "press"
	originMicro = int64(1_800_000_000_000_000) // start of a run, a multiple of the window

	paceDivisor   = 10 // ticks of a front in an exchange interval
	expireTicks   = 100
	arrivalStep   = 4 * time.Millisecond
	defaultWindow = 8 * time.Second
)

// run is the state of one simulation.
type run struct {
	Fleet
	random      *rand.Rand
	probeRandom *rand.Rand // for the relays' probes
	now         time.Duration
	events      eventqueue.Queue[time.Duration]
	fronts      []*front
	names       []string
	limit       float64
	requests    []Request

	healthyOwner string // of the tenant while all fronts can be reached
}

// Run simulates the fleet and returns every request in the order of arrival.
func (f Fleet) Run() []Request {
	r := newRun(f.withDefaults())
	for i := range r.fronts {
		r.startFront(i)
	}
	for _, burst := range f.Bursts {
		r.after(burst.At, func() { r.arriveAtOnce(burst) })
	}
	for at, ok := r.events.Next(); ok && at <= f.Length; at, ok = r.events.Next() {
		instant, action := r.events.Pop()
		r.now = instant
		action()
	}
	return r.requests
}

func (f Fleet) withDefaults() Fleet {
	f.Fronts = cmp.Or(f.Fronts, 9)
	f.FirstRegion = cmp.Or(f.FirstRegion, 6)
	f.RegionDelay = cmp.Or(f.RegionDelay, 150*time.Millisecond)
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
	if f.OwnerFirst {
		r.moveOwnerTo(0)
	}
	if f.SecondNext {
		r.moveOwnerTo(1)
	}
	r.healthyOwner = quota.OwnerOf(tenant, r.names)
	for _, name := range r.names {
		r.fronts = append(r.fronts, &front{name: name})
	}
	return r
}

// moveOwnerTo makes the owner among the fronts from a position on the front there.
func (r *run) moveOwnerTo(position int) {
	owner := r.index(quota.OwnerOf(tenant, r.names[position:]))
	r.names[position], r.names[owner] = r.names[owner], r.names[position]
}

// startFront starts front i and schedules its first tick and requests.
func (r *run) startFront(i int) {
	r.fronts[i].untilNext = r.random.Float64()
	r.boot(i)
	firstTick := time.Duration(r.random.Int64N(int64(r.tickInterval())))
	r.after(firstTick, func() { r.tick(i, int(r.random.Int64N(paceDivisor))) })
	if r.Demand != nil {
		r.after(0, func() { r.arrive(i) })
	}
}

func (r *run) tickInterval() time.Duration { return r.Config.Interval / paceDivisor }

func (r *run) after(delay time.Duration, action func()) { r.events.Schedule(r.now+delay, action) }

// clock returns the time that front i reads from its clock.
func (r *run) clock(i int) time.Time {
	now := time.UnixMicro(originMicro + r.now.Microseconds())
	if r.ClockOffset != nil {
		now = now.Add(r.ClockOffset(r.now, i))
	}
	return now
}

func (r *run) isDown(at time.Duration, i int) bool { return r.Down != nil && r.Down(at, i) }

func (r *run) isFrozen(at time.Duration, i int) bool { return r.Frozen != nil && r.Frozen(at, i) }

func (r *run) index(name string) int { return max(0, slices.Index(r.names, name)) }

func (r *run) drawSize() float64 {
	if len(r.Sizes) > 0 {
		return r.Sizes.draw(r.random)
	}
	return r.RequestSize * (0.5 + r.random.Float64())
}

// arrive offers the demand at front i, again and again.
func (r *run) arrive(i int) {
	r.after(arrivalStep, func() { r.arrive(i) })
	f := r.fronts[i]
	f.untilNext -= r.Demand(r.now, i) / r.RequestSize / r.Config.Window.Seconds() * arrivalStep.Seconds()
	for f.untilNext <= 0 {
		if r.Poisson {
			f.untilNext += r.random.ExpFloat64()
		} else {
			f.untilNext += 0.5 + r.random.Float64()
		}
		r.request(i, r.drawSize(), r.Retries)
	}
}

// arriveAtOnce splits a burst into requests.
func (r *run) arriveAtOnce(burst Burst) {
	for remaining := burst.Tokens; remaining > 0; {
		tokens := min(remaining, r.drawSize())
		remaining -= tokens
		r.request(burst.Front, tokens, r.Retries)
	}
}
