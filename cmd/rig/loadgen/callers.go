package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

const (
	maxInFlight     = 3000 // calls; more are skipped
	maxIdlePerFront = 64   // connections
	defaultRetries  = 2

	// loadUnit is the load factor 1 in Callers.loadFactors.
	loadUnit = 1000

	// tenantStreams is where the tenants' random numbers begin among the streams of
	// a seed.
	tenantStreams = 1000

	idlePollInterval  = 50 * time.Millisecond // between polls of a load factor of zero
	drainPollInterval = 50 * time.Millisecond
	maxDrainPolls     = 300 // for calls in flight at the end, drainPollInterval apart
)

// Callers send the requests of all tenants.
type Callers struct {
	Fleet    *fleet.Fleet
	Recorder *history.Recorder
	Tenants  []Tenant
	Behavior Behavior
	Skipped  atomic.Int64 // calls not made since too many were in flight

	seed        uint64
	zones       []fleet.Location // in which callers are
	connections *pool
	loadFactors []atomic.Uint64                    // by tenant, in units of 1/loadUnit
	zoneShares  atomic.Pointer[map[string]float64] // share of calls by zone; nil for even
	serial      atomic.Int64                       // of the last attempt
	inFlight    atomic.Int64
	fronts      frontSelector
	counts      *owner.Owner[Counts]
}

// Behavior is how callers behave.
type Behavior struct {
	LeaveOdds    float64 // probability of leaving after the first event
	SlowReadOdds float64 // probability of reading each event slowly
	Retries      int     // further attempts after one that did not run
}

// Counts are the attempts so far, by how they ended.
type Counts struct {
	Served   int
	Rejected int
	Failed   int
	Unsent   int
}

func (c *Counts) add(attempt history.Attempt) {
	switch attempt.Outcome {
	case history.Served, history.Abandoned:
		c.Served++
	case history.Rejected:
		c.Rejected++
	case history.Unsent:
		c.Unsent++
	default:
		c.Failed++
	}
}

// NewCallers returns callers that send nothing until Run, and records the
// tenants' allowances.
func NewCallers(f *fleet.Fleet, tenants []Tenant, seed uint64) *Callers {
	callers := &Callers{
		Fleet:       f,
		Recorder:    f.Recorder,
		Tenants:     tenants,
		Behavior:    Behavior{Retries: defaultRetries},
		seed:        seed,
		zones:       nodeZones(f),
		connections: newPool(maxIdlePerFront),
		loadFactors: make([]atomic.Uint64, len(tenants)),
		fronts:      newFrontSelector(f),
		counts:      owner.New(Counts{}),
	}
	for i := range callers.loadFactors {
		callers.loadFactors[i].Store(loadUnit)
	}
	allowances := map[string]history.Allowance{}
	for _, tenant := range tenants {
		allowances[tenant.Name] = tenant.Allowance
	}
	f.Recorder.Update(func(recording *history.Recording) {
		for name, allowance := range allowances {
			recording.Allowances[name] = allowance
		}
	})
	return callers
}

// nodeZones returns the zones that have nodes, in the order of the nodes.
func nodeZones(f *fleet.Fleet) []fleet.Location {
	var zones []fleet.Location
	known := map[fleet.Location]bool{}
	for _, node := range f.Nodes {
		if !known[node.Location] {
			known[node.Location] = true
			zones = append(zones, node.Location)
		}
	}
	return zones
}

// SetLoadFactor multiplies the load of one tenant, or of all when the name is
// empty.
func (c *Callers) SetLoadFactor(tenant string, factor float64) {
	for i, t := range c.Tenants {
		if tenant == "" || t.Name == tenant {
			c.loadFactors[i].Store(uint64(factor * loadUnit))
		}
	}
}

// SetZoneShares sets the share of calls from each zone, by name; nil means even
// shares.
func (c *Callers) SetZoneShares(shares map[string]float64) {
	if shares == nil {
		c.zoneShares.Store(nil)
		return
	}
	c.zoneShares.Store(&shares)
}

// Counts returns the counts so far.
func (c *Callers) Counts() Counts {
	var counts Counts
	c.counts.Do(func(current *Counts) { counts = *current })
	return counts
}

// Run sends load until ctx ends, then waits for calls in flight.
func (c *Callers) Run(ctx context.Context) {
	var running sync.WaitGroup
	for i := range c.Tenants {
		running.Go(func() { c.runTenant(ctx, i) })
	}
	for _, zone := range c.zones {
		running.Go(func() { c.discoverFronts(ctx, zone) })
	}
	running.Wait()
	for i := 0; i < maxDrainPolls && c.inFlight.Load() > 0; i++ {
		owner.Sleep(context.Background(), drainPollInterval)
	}
}

// Close drops the callers' connections.
func (c *Callers) Close() {
	c.connections.close()
	c.fronts.close()
	c.counts.Close()
}

// runTenant makes calls of one tenant at random intervals until ctx ends.
func (c *Callers) runTenant(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(index)+tenantStreams))
	tenant := c.Tenants[index]
	next := c.Recorder.Now()
	for {
		rate := tenant.PerSecond * float64(c.loadFactors[index].Load()) / loadUnit
		if rate <= 0 {
			if !owner.Sleep(ctx, idlePollInterval) {
				return
			}
			next = c.Recorder.Now()
			continue
		}
		next += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if wait := next - c.Recorder.Now(); wait > 0 && !owner.Sleep(ctx, wait) {
			return
		}
		if ctx.Err() != nil {
			return
		}
		if c.inFlight.Load() >= maxInFlight {
			c.Skipped.Add(1)
			continue
		}
		c.begin(ctx, c.drawCall(random, tenant))
	}
}

// drawCall draws a tenant's next call. The order of the draws is part of what a
// seed stands for.
func (c *Callers) drawCall(random *rand.Rand, tenant Tenant) Call {
	location := c.drawZone(random)
	return Call{
		Tenant:     tenant,
		Location:   location,
		Prefix:     random.IntN(max(1, tenant.Prefixes)),
		Chance:     random.Float64(),
		FrontIndex: random.Uint64(),
	}
}

func (c *Callers) drawZone(random *rand.Rand) fleet.Location {
	if shares := c.zoneShares.Load(); shares != nil {
		remainder := random.Float64()
		for _, zone := range c.zones {
			remainder -= (*shares)[zone.ZoneName()]
			if remainder < 0 {
				return zone
			}
		}
	}
	return c.zones[random.IntN(len(c.zones))]
}

func (c *Callers) begin(ctx context.Context, call Call) {
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Add(-1)
		c.Do(ctx, call)
	}()
}
