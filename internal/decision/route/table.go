// Package route chooses the server of each request at a front.
//
// A request goes to a region by the plan's shares, and within the region to the server
// that holds its prompt prefix unless that one is overloaded. Each server has a cap of
// requests in flight over all fronts, of which a front uses its share. Where no server
// has capacity the request is queued, the earliest deadline first, or rejected at once.
// Servers that fail are ejected until a request has probed them.
//
// All state is in the Table, which has one owner and takes no locks; every decision is
// a function of the Table, its arguments and now. Nothing here does I/O or reads a
// clock. docs/ROUTING.md gives the alternatives and figures.
package route

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Strategy names how a server is chosen within a region.
type Strategy string

// Strategies. Affinity is the default; the others are baselines with the same caps.
const (
	Affinity    Strategy = "affinity"
	RoundRobin  Strategy = "round_robin"
	LeastLoaded Strategy = "least_loaded"
)

const (
	defaultMaxQueued        = 256
	defaultRetryBudget      = 0.1
	defaultBaseEjectionTime = time.Second
	defaultMaxEjectionTime  = 5 * time.Second

	// maxPlannedCap bounds the caps of a plan, against overflow.
	maxPlannedCap = 1 << 20
)

// Config configures a Table. The zero value of a field means its default.
type Config struct {
	// Self, Region and Zone are this front's.
	Self, Region, Zone string

	// Strategy is Affinity by default.
	Strategy Strategy

	// Policy sets the servers' caps.
	Policy plan.Policy

	// MaxQueued is the number of requests that may be queued; 256 by default.
	MaxQueued int

	// RetryBudget is the number of retries as a fraction of the requests; 0.1 by
	// default.
	RetryBudget float64

	// BaseEjectionTime is that of a server's first ejection; 1 s by default. It
	// doubles with each one in a row up to MaxEjectionTime, 5 s by default.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
}

func (c Config) withDefaults() Config {
	c.Strategy = cmp.Or(c.Strategy, Affinity)
	c.Policy = c.Policy.WithDefaults()
	c.MaxQueued = cmp.Or(c.MaxQueued, defaultMaxQueued)
	c.RetryBudget = cmp.Or(c.RetryBudget, defaultRetryBudget)
	c.BaseEjectionTime = cmp.Or(c.BaseEjectionTime, defaultBaseEjectionTime)
	c.MaxEjectionTime = cmp.Or(c.MaxEjectionTime, defaultMaxEjectionTime)
	return c
}

// RuntimeConfig is the part of the configuration that a sheet can change while the
// front runs. Its fields are those of Config and plan.Policy, but zero means zero.
type RuntimeConfig struct {
	Strategy     Strategy
	MaxQueued    int
	SlowStartCap int
	RetryBudget  float64
}

// View is what the front knows of the fleet. Fronts are the names of the ready fronts
// that share the caps; the front itself counts even if it is missing. The maps and
// messages must not change once passed to Update.
type View struct {
	State   statemachine.State
	Plan    *wire.Plan
	Servers map[string]*wire.ServerStatus
	Fronts  []string
}

// Table is the routing state of one front. It has one owner.
type Table struct {
	config        Config
	self          uint64 // hash of this front's name
	view          View
	serversID     uintptr  // identity of the view's map of servers
	fronts        []uint64 // hashes of the names, sorted
	frontsVersion int
	servers       map[string]*server
	pools         map[poolKey]*pool
	regions       map[shareKey]*weightedRoundRobin
	queue         requestQueue
	retries       retryBudget
	popularity    *popularity
	durations     meanDurations // from start to end
	firstEvents   meanDurations // from start to the first event
}

// New returns an empty table: it rejects requests until the first Update.
func New(config Config) *Table {
	config = config.withDefaults()
	self := xxhash.Sum64String(config.Self)
	return &Table{
		config:        config,
		self:          self,
		fronts:        []uint64{self},
		frontsVersion: 1,
		servers:       map[string]*server{},
		pools:         map[poolKey]*pool{},
		regions:       map[shareKey]*weightedRoundRobin{},
		queue:         newRequestQueue(),
		retries:       newRetryBudget(config.RetryBudget),
		popularity:    newPopularity(),
		durations:     meanDurations{},
		firstEvents:   meanDurations{},
	}
}

// Reconfigure applies a runtime configuration. Queued requests remain queued, also
// beyond a lower MaxQueued; the servers' caps follow a new SlowStartCap at once.
func (t *Table) Reconfigure(config RuntimeConfig) {
	t.config.Strategy = config.Strategy
	t.config.MaxQueued = config.MaxQueued
	t.config.RetryBudget = config.RetryBudget
	t.retries.setRatio(config.RetryBudget)
	t.queue.unserved = true
	if t.config.Policy.SlowStartCap == config.SlowStartCap {
		return
	}
	t.config.Policy.SlowStartCap = config.SlowStartCap
	for _, server := range t.servers {
		t.updateCap(server)
	}
}

// Update applies a view. Servers that drain, are evacuated or gone are excluded at
// once, whatever the plan has.
func (t *Table) Update(view View) {
	t.updateFronts(view.Fronts)
	stateChanged := view.State.Version != t.view.State.Version || view.State.Sheet != t.view.State.Sheet
	planChanged := view.Plan != t.view.Plan
	// The same map is the same servers, since it must not change once passed.
	id := reflect.ValueOf(view.Servers).Pointer()
	serversChanged := id != t.serversID || id == 0
	t.serversID = id
	t.view = view
	t.queue.unserved = true
	if serversChanged || stateChanged {
		t.updateServers(stateChanged)
	}
	if planChanged {
		t.applyPlannedCaps(view.Plan)
	}
	if serversChanged || stateChanged || planChanged {
		t.updateRegions()
	}
}

func (t *Table) updateFronts(names []string) {
	hashes := make([]uint64, 0, len(names)+1)
	for _, name := range names {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	hashes = append(hashes, t.self)
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	if !slices.Equal(hashes, t.fronts) {
		t.fronts = hashes
		t.frontsVersion++
	}
}

// updateServers applies the status of the view's servers, of all of them if the state
// changed.
func (t *Table) updateServers(all bool) {
	changed := false
	for name, status := range t.view.Servers {
		server := t.servers[name]
		if server == nil {
			server = newServer(name)
			t.servers[name] = server
		} else if server.status == status && !all {
			continue
		}
		if t.updateServer(server, status) {
			changed = true
		}
	}
	if t.removeUnlisted() {
		changed = true
	}
	if changed {
		t.rebuildPools()
	}
}

// removeUnlisted excludes the servers that the view doesn't list, removes them unless
// requests are in flight, and reports whether the pools have to be rebuilt.
func (t *Table) removeUnlisted() bool {
	changed := false
	for name, server := range t.servers {
		if len(t.servers) == len(t.view.Servers) {
			break
		}
		if _, listed := t.view.Servers[name]; listed {
			continue
		}
		if server.excluded == "" {
			changed = true
		}
		server.excluded = plan.ReasonGone
		if server.load.own == 0 {
			delete(t.servers, name)
		}
	}
	return changed
}

// applyPlannedCaps bounds the servers' caps by the plan's. Until the next plan a cap
// grows by the answers since; a server without a planned cap has its slow start alone.
func (t *Table) applyPlannedCaps(p *wire.Plan) {
	caps := make(map[string]int, len(p.GetCaps()))
	for _, planned := range p.GetCaps() {
		caps[planned.Server] = int(min(planned.InFlight, maxPlannedCap))
	}
	for name, server := range t.servers {
		server.capacity.plannedCap = caps[name]
		server.capacity.plannedAnswered = server.status.Answered
		t.updateCap(server)
	}
}

// rebuildPools divides the servers into pools, which keep their rates and cursors.
func (t *Table) rebuildPools() {
	members := map[poolKey][]*server{}
	for _, server := range t.servers {
		server.pools = nil
		if server.excluded != "" {
			continue
		}
		for _, service := range server.status.Services {
			key := poolKey{service, server.status.Region}
			members[key] = append(members[key], server)
		}
	}
	old := t.pools
	t.pools = make(map[poolKey]*pool, len(members))
	for key, servers := range members {
		rebuilt := newPool(servers)
		if prior := old[key]; prior != nil {
			rebuilt.rate = prior.rate
			rebuilt.cursor = prior.cursor
		}
		for _, server := range servers {
			server.pools = append(server.pools, rebuilt)
		}
		t.pools[key] = rebuilt
	}
}

// ServicesWithoutServers returns the services and regions, as sorted strings "service
// region", to which the weights of the current sheet give a share and in which no
// server can take requests.
func (t *Table) ServicesWithoutServers() []string {
	if t.view.State.Sheet == nil {
		return nil
	}
	var found []string
	for service, weights := range t.view.State.Sheet.Weights {
		for region, weight := range weights {
			if weight > 0 && t.pools[poolKey{service, region}] == nil {
				found = append(found, service+" "+region)
			}
		}
	}
	slices.Sort(found)
	return found
}

// Ready reports whether the table has a plan and some server that gets requests.
func (t *Table) Ready() bool { return t.view.Plan != nil && len(t.pools) > 0 }

// Version returns the version of the state that decisions are based on.
func (t *Table) Version() uint64 { return t.view.State.Version }
