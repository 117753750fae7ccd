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

// Policy is what the fronts of a run decide by.
type Policy struct {
	Name     string
	Disabled balance.Disabled
}

// run is one day in virtual time.
type run struct {
	site    Site
	policy  Policy
	random  *rand.Rand
	now     float64
	events  eventqueue.Queue[float64] // by milliseconds
	fronts  []*front
	servers map[string]*server
	view    balance.View
	things  map[string][][]promptPart
	last    map[uint64]float64 // when a shared part was last used anywhere
	own     uint64
	reports map[string]map[string]report // of servers, by the front that reported
	changed bool
	result  Result
}

// server is an engine in a region and zone.
type server struct {
	engine       *engine
	region, zone int
}

var start = time.Unix(1_000_000, 0)

func (r *run) clock() time.Time {
	return start.Add(time.Duration(r.now * float64(time.Millisecond)))
}

func (r *run) after(ms float64, do func()) {
	r.events.Schedule(r.now+ms, do)
}

// Play simulates a day of a site under a policy.
func Play(site Site, policy Policy, seed uint64) Result {
	r := &run{site: site, policy: policy, random: rand.New(rand.NewPCG(seed, 0x62616c)), servers: map[string]*server{},
		things: map[string][][]promptPart{}, last: map[uint64]float64{}, reports: map[string]map[string]report{}}
	r.build()
	for _, kind := range site.Kinds {
		r.things[kind.Name] = r.drawThings(kind)
		for region := range site.Regions {
			r.arrive(kind, region)
		}
	}
	for _, f := range r.fronts {
		r.after(r.random.Float64()*suspectEvery, f.suspect)
	}
	r.runEvents(site.Seconds*1000 + drainMS)
	return r.result.finished(site)
}

// runEvents runs the events that are due before an instant, in milliseconds.
func (r *run) runEvents(until float64) {
	for at, ok := r.events.NextTime(); ok && at < until; at, ok = r.events.NextTime() {
		instant, action := r.events.Pop()
		r.now = instant
		action()
	}
}

// drainMS is how long after the last request a run goes on.
const drainMS = 5000

func (r *run) build() {
	r.view = balance.View{State: statemachine.State{Version: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{serviceName: {Kind: sheet.KindHTTP}}}},
		Servers: map[string]*wire.ServerStatus{}, FleetNow: start}
	for at, region := range r.site.Regions {
		for i := range region.Servers {
			name := fmt.Sprintf("i-%s-%d", region.Name, i)
			zone := i % r.site.Zones
			r.servers[name] = &server{engine: newEngine(r, r.site.Engine, name), region: at, zone: zone}
			r.view.Servers[name] = &wire.ServerStatus{Name: name, Address: "10.0.0.1:80", Services: []string{serviceName}, Reachable: true, Slots: uint32(r.site.Engine.Slots),
				State: wire.ServerState_SERVER_STATE_READY, Region: region.Name, Zone: zoneName(region.Name, zone)}
		}
		for i := range region.Fronts {
			r.view.Fronts = append(r.view.Fronts, fmt.Sprintf("f-%s-%d", region.Name, i))
		}
	}
	at := 0
	for index, region := range r.site.Regions {
		for i := range region.Fronts {
			zone := i % r.site.Zones
			f := &front{run: r, name: r.view.Fronts[at], region: index, zone: zone, idle: map[string]int{}, suspected: map[string]balance.StallLevel{}}
			f.table = balance.New(balance.Config{Self: f.name, Region: region.Name, Zone: zoneName(region.Name, zone), Disabled: r.policy.Disabled})
			f.table.Update(r.view, r.clock())
			r.fronts = append(r.fronts, f)
			at++
		}
	}
}

func zoneName(region string, zone int) string { return fmt.Sprintf("%s-%d", region, zone) }

// drawThings draws the chains of shared parts that requests of a kind have. The
// last part of a chain is one of many, and each of those has its own parts before
// it.
func (r *run) drawThings(kind Kind) [][]promptPart {
	if len(kind.Shared) == 0 {
		return [][]promptPart{nil}
	}
	levels := make([][]promptPart, len(kind.Shared))
	for level, shared := range kind.Shared {
		for range shared.Things {
			levels[level] = append(levels[level], promptPart{id: r.random.Uint64(), tokens: r.size(shared.Size)})
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

func (r *run) size(size Size) float64 {
	if size.Spread == 0 {
		return size.Mean
	}
	drawn := math.Exp(r.random.NormFloat64()*size.Spread + math.Log(size.Mean) - size.Spread*size.Spread/2)
	return math.Max(1, math.Min(drawn, size.Most))
}

// arrive has requests of a kind come in a region, one after the other.
func (r *run) arrive(kind Kind, region int) {
	mean := kind.PerSecond / float64(len(r.site.Regions)) / 1000
	if r.bursts(kind) {
		mean *= r.site.Burst.Times
	}
	most := mean * (1 + r.site.Swing)
	r.after(r.random.ExpFloat64()/most, func() {
		if r.now > r.site.Seconds*1000 {
			return
		}
		phase := 2 * math.Pi * (r.now/1000/r.site.Period + float64(region)/float64(len(r.site.Regions)))
		if rate := mean * (1 + r.site.Swing*math.Sin(phase)); r.random.Float64() < rate/most {
			r.request(kind, region)
		}
		r.arrive(kind, region)
	})
}

func (r *run) request(kind Kind, region int) {
	var near []*front
	for _, f := range r.fronts {
		if f.region == region {
			near = append(near, f)
		}
	}
	chains := r.things[kind.Name]
	chain := chains[r.pickThing(kind, len(chains))]
	r.own++
	q := &request{kind: kind, came: r.now, chain: chain, own: r.size(kind.Own), out: r.size(kind.Out), number: r.own}
	f := near[r.random.IntN(len(near))]
	r.after(r.site.ToClient, func() { f.take(q) })
}

// bursts reports whether a kind of requests comes more often now.
func (r *run) bursts(kind Kind) bool {
	burst, at := r.site.Burst, r.now/1000
	return burst.Kind == kind.Name && at >= burst.At && at < burst.At+burst.For
}

// pickThing draws one of n things, of which the earlier are asked for more often.
func (r *run) pickThing(kind Kind, n int) int {
	skew := 0.0
	if len(kind.Shared) > 0 {
		skew = kind.Shared[len(kind.Shared)-1].Skew
	}
	return min(int(float64(n)*math.Pow(r.random.Float64(), 1/(1-skew))), n-1)
}

// used records that a shared part was found in a cache.
func (r *run) used(p promptPart) { r.last[p.id] = r.now }

// readAnew records that a shared part was read, and counts it if another server
// has read it recently.
func (r *run) readAnew(p promptPart) {
	r.result.Read += p.tokens
	if at, before := r.last[p.id]; before && r.now-at < r.site.Remembered*1000 {
		r.result.ReadAgain += p.tokens
	}
	r.last[p.id] = r.now
}

// oneWay is how long a message takes from a front to a server, in milliseconds.
func (r *run) oneWay(f *front, s *server) float64 {
	switch {
	case f.region != s.region:
		return r.site.CrossRegion
	case f.zone != s.zone:
		return r.site.CrossZone
	}
	return r.site.InZone
}
