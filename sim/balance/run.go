package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
	"stepwick/sim/eventqueue"
)

const serviceName = "pool"

// Policy is a variant of the balancing: the mechanisms that are disabled.
type Policy struct {
	Name     string
	Disabled balance.Disabled
}

// run is one simulation of a site.
type run struct {
	site           Site
	policy         Policy
	random         *rand.Rand
	now            float64
	events         eventqueue.Queue[float64] // keyed by virtual time in ms
	fronts         []*front
	servers        map[string]*server
	view           balance.View
	chains         map[string][][]promptPart
	lastUsed       map[uint64]float64 // time of the last use of a shared part on any server, in ms
	requestCount   uint64
	reports        map[string]map[string]report // by server, then by reporting front
	reportsPending bool
	result         Result
}

// server is an engine with its region and zone.
type server struct {
	engine       *engine
	region, zone int
}

var start = time.Unix(1_000_000, 0)

func (r *run) clock() time.Time {
	return start.Add(time.Duration(r.now * float64(time.Millisecond)))
}

func (r *run) schedule(ms float64, do func()) {
	r.events.Schedule(r.now+ms, do)
}

// Simulate simulates a site under a policy. A seed always gives the same run.
func Simulate(site Site, policy Policy, seed uint64) Result {
	r := &run{site: site, policy: policy, random: rand.New(rand.NewPCG(seed, 0x62616c)), servers: map[string]*server{},
		chains: map[string][][]promptPart{}, lastUsed: map[uint64]float64{}, reports: map[string]map[string]report{}}
	r.build()
	for _, kind := range site.Kinds {
		r.chains[kind.Name] = r.drawChains(kind)
		for region := range site.Regions {
			r.scheduleArrivals(kind, region)
		}
	}
	for _, f := range r.fronts {
		r.schedule(r.random.Float64()*stallCheckInterval, f.checkStalls)
	}
	r.runEvents(site.Seconds*1000 + drainMS)
	return r.result.summarize(site)
}

// runEvents runs the events that are due before a time in milliseconds.
func (r *run) runEvents(until float64) {
	for due, ok := r.events.NextTime(); ok && due < until; due, ok = r.events.NextTime() {
		now, action := r.events.Pop()
		r.now = now
		action()
	}
}

// drainMS is the time in milliseconds that a run continues after the last arrival.
const drainMS = 5000

func (r *run) build() {
	r.view = balance.View{State: statemachine.State{Version: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{serviceName: {Kind: sheet.KindHTTP}}}},
		Servers: map[string]*wire.ServerStatus{}, FleetNow: start}
	for index, region := range r.site.Regions {
		for i := range region.Servers {
			name := fmt.Sprintf("i-%s-%d", region.Name, i)
			zone := i % r.site.Zones
			r.servers[name] = &server{engine: newEngine(r, r.site.Engine, name), region: index, zone: zone}
			r.view.Servers[name] = &wire.ServerStatus{Name: name, Address: "10.0.0.1:80", Services: []string{serviceName}, Reachable: true, Slots: uint32(r.site.Engine.Slots),
				State: wire.ServerState_SERVER_STATE_READY, Region: region.Name, Zone: zoneName(region.Name, zone)}
		}
		for i := range region.Fronts {
			r.view.Fronts = append(r.view.Fronts, fmt.Sprintf("f-%s-%d", region.Name, i))
		}
	}
	frontIndex := 0
	for index, region := range r.site.Regions {
		for i := range region.Fronts {
			zone := i % r.site.Zones
			f := &front{run: r, name: r.view.Fronts[frontIndex], region: index, zone: zone, idle: map[string]int{}, suspected: map[string]balance.StallLevel{}}
			f.table = balance.New(balance.Config{Self: f.name, Region: region.Name, Zone: zoneName(region.Name, zone), Disabled: r.policy.Disabled})
			f.table.Update(r.view, r.clock())
			r.fronts = append(r.fronts, f)
			frontIndex++
		}
	}
}

func zoneName(region string, zone int) string { return fmt.Sprintf("%s-%d", region, zone) }

// drawChains draws the chains of shared parts with which the prompts of a kind begin.
// There is one chain for each part of the last level; its earlier parts are shared
// between chains.
func (r *run) drawChains(kind Kind) [][]promptPart {
	if len(kind.Shared) == 0 {
		return [][]promptPart{nil}
	}
	levels := make([][]promptPart, len(kind.Shared))
	for level, shared := range kind.Shared {
		for range shared.Parts {
			levels[level] = append(levels[level], promptPart{id: r.random.Uint64(), tokens: r.drawSize(shared.Size)})
		}
	}
	chains := make([][]promptPart, len(levels[len(levels)-1]))
	for i := range chains {
		for _, parts := range levels[:len(levels)-1] {
			chains[i] = append(chains[i], parts[i%len(parts)])
		}
		chains[i] = append(chains[i], levels[len(levels)-1][i])
	}
	return chains
}

func (r *run) drawSize(size Size) float64 {
	if size.Spread == 0 {
		return size.Mean
	}
	drawn := math.Exp(r.random.NormFloat64()*size.Spread + math.Log(size.Mean) - size.Spread*size.Spread/2)
	return math.Max(1, math.Min(drawn, size.Max))
}

// scheduleArrivals schedules the next arrival of a kind in a region; each arrival
// schedules the following one. The arrivals are a Poisson process with a varying rate,
// by thinning.
func (r *run) scheduleArrivals(kind Kind, region int) {
	mean := kind.PerSecond / float64(len(r.site.Regions)) / 1000
	if r.inBurst(kind) {
		mean *= r.site.Burst.Factor
	}
	peak := mean * (1 + r.site.Swing)
	r.schedule(r.random.ExpFloat64()/peak, func() {
		if r.now > r.site.Seconds*1000 {
			return
		}
		phase := 2 * math.Pi * (r.now/1000/r.site.Period + float64(region)/float64(len(r.site.Regions)))
		if rate := mean * (1 + r.site.Swing*math.Sin(phase)); r.random.Float64() < rate/peak {
			r.submitRequest(kind, region)
		}
		r.scheduleArrivals(kind, region)
	})
}

func (r *run) submitRequest(kind Kind, region int) {
	var near []*front
	for _, f := range r.fronts {
		if f.region == region {
			near = append(near, f)
		}
	}
	chains := r.chains[kind.Name]
	chain := chains[r.pickChain(kind, len(chains))]
	r.requestCount++
	q := &request{kind: kind, arrivedAt: r.now, chain: chain, unsharedTokens: r.drawSize(kind.UnsharedTokens), outputTokens: r.drawSize(kind.OutputTokens), number: r.requestCount}
	f := near[r.random.IntN(len(near))]
	r.schedule(r.site.ToClient, func() { f.handle(q) })
}

// inBurst reports whether a kind of request is in its burst now.
func (r *run) inBurst(kind Kind) bool {
	burst, seconds := r.site.Burst, r.now/1000
	return burst.Kind == kind.Name && seconds >= burst.Start && seconds < burst.Start+burst.Duration
}

// pickChain draws the index of one of n chains; lower indices are more frequent.
func (r *run) pickChain(kind Kind, n int) int {
	skew := 0.0
	if len(kind.Shared) > 0 {
		skew = kind.Shared[len(kind.Shared)-1].Skew
	}
	return min(int(float64(n)*math.Pow(r.random.Float64(), 1/(1-skew))), n-1)
}

// recordCacheHit records the time at which a shared part was found in a cache.
func (r *run) recordCacheHit(p promptPart) { r.lastUsed[p.id] = r.now }

// recordPrefill records that a shared part was read, and counts it as read again if it
// was used on any server within Site.ReuseWindow.
func (r *run) recordPrefill(p promptPart) {
	r.result.SharedTokensRead += p.tokens
	if lastUsed, usedBefore := r.lastUsed[p.id]; usedBefore && r.now-lastUsed < r.site.ReuseWindow*1000 {
		r.result.SharedTokensReadAgain += p.tokens
	}
	r.lastUsed[p.id] = r.now
}

// oneWay returns the one-way latency between a front and a server, in milliseconds.
func (r *run) oneWay(f *front, s *server) float64 {
	switch {
	case f.region != s.region:
		return r.site.CrossRegion
	case f.zone != s.zone:
		return r.site.CrossZone
	}
	return r.site.InZone
}
