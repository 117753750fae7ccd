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
	maxInFlight     = 3000 // calls; further ones are skipped
	maxIdlePerFront = 64   // connections
	defaultRetries  = 2

	// loadFactorUnit is the load factor 1 in Callers.loadFactors.
	loadFactorUnit = 1000

	// tenantRandomStreams is the first PCG stream of the tenants' random numbers.
	tenantRandomStreams = 1000

	idlePollInterval  = 50 * time.Millisecond // while the load factor is zero
	drainPollInterval = 50 * time.Millisecond
	maxDrainPolls     = 300 // for calls in flight at the end of the load
)

// Callers send the requests of all tenants.
type Callers struct {
	Fleet    *fleet.Fleet
	Recorder *history.Recorder
	Tenants  []Tenant
	Behavior Behavior
	Skipped  atomic.Int64 // calls omitted because maxInFlight was reached

	seed        uint64
	zones       []fleet.Location // locations of callers
	connections *connectionPool
	loadFactors []atomic.Uint64                    // by tenant, in units of 1/loadFactorUnit
	zoneShares  atomic.Pointer[map[string]float64] // fraction of calls by zone; nil for even shares
	serial      atomic.Int64                       // number of the last attempt
	inFlight    atomic.Int64
	fronts      frontSelector
	counts      *owner.Owner[Counts]
}

// Behavior describes how callers read answers and retry.
type Behavior struct {
	AbandonOdds  float64 // probability of abandoning a stream after the first event
	SlowReadOdds float64 // probability of reading each event slowly
	Retries      int     // maximum number of retries after attempts that were not executed
}

// Counts are numbers of finished attempts by outcome.
type Counts struct {
	Served   int
	Rejected int
	Failed   int
	Unsent   int
}

func (c *Counts) count(attempt history.Attempt) {
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

// NewCallers returns callers that send no load until Run, and records the tenants'
// allowances.
func NewCallers(f *fleet.Fleet, tenants []Tenant, seed uint64) *Callers {
	callers := &Callers{
		Fleet:       f,
		Recorder:    f.Recorder,
		Tenants:     tenants,
		Behavior:    Behavior{Retries: defaultRetries},
		seed:        seed,
		zones:       nodeZones(f),
		connections: newConnectionPool(maxIdlePerFront),
		loadFactors: make([]atomic.Uint64, len(tenants)),
		fronts:      newFrontSelector(f),
		counts:      owner.New(Counts{}),
	}
	for i := range callers.loadFactors {
		callers.loadFactors[i].Store(loadFactorUnit)
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
	seen := map[fleet.Location]bool{}
	for _, node := range f.Nodes {
		if !seen[node.Location] {
			seen[node.Location] = true
			zones = append(zones, node.Location)
		}
	}
	return zones
}

// SetLoadFactor sets the factor on the normal load of one tenant, or of all tenants if
// the name is empty.
func (c *Callers) SetLoadFactor(tenant string, factor float64) {
	for i, t := range c.Tenants {
		if tenant == "" || t.Name == tenant {
			c.loadFactors[i].Store(uint64(factor * loadFactorUnit))
		}
	}
}

// SetZoneShares sets the fraction of calls from each zone, by zone name; nil for even
// shares.
func (c *Callers) SetZoneShares(shares map[string]float64) {
	if shares == nil {
		c.zoneShares.Store(nil)
		return
	}
	c.zoneShares.Store(&shares)
}

// Counts returns the present counts.
func (c *Callers) Counts() Counts {
	var counts Counts
	c.counts.Do(func(current *Counts) { counts = *current })
	return counts
}

// Run sends load until ctx ends, then waits for calls in flight, for at most
// maxDrainPolls polls.
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

// Close closes the callers' idle connections.
func (c *Callers) Close() {
	c.connections.close()
	c.fronts.close()
	c.counts.Close()
}

// runTenant makes calls of one tenant at exponentially distributed intervals until ctx
// ends.
func (c *Callers) runTenant(ctx context.Context, index int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(index)+tenantRandomStreams))
	tenant := c.Tenants[index]
	next := c.Recorder.Now()
	for {
		rate := tenant.PerSecond * float64(c.loadFactors[index].Load()) / loadFactorUnit
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
		c.startCall(ctx, c.drawCall(random, tenant))
	}
}

// drawCall draws the random parts of a tenant's next call. A seed gives the same run
// only as long as the order of the draws is unchanged.
func (c *Callers) drawCall(random *rand.Rand, tenant Tenant) Call {
	location := c.drawZone(random)
	return Call{
		Tenant:       tenant,
		Location:     location,
		Prefix:       random.IntN(max(1, tenant.Prefixes)),
		BehaviorDraw: random.Float64(),
		FrontIndex:   random.Uint64(),
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

func (c *Callers) startCall(ctx context.Context, call Call) {
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Add(-1)
		c.Do(ctx, call)
	}()
}
