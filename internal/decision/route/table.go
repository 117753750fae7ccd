// Package route selects the server for each request at a front.
//
// The region is selected by the plan's shares. Within the region a request goes to the
// server that has its prompt prefix cached, unless that server is overloaded. Each
// server has a cap on the requests in flight from all fronts. Each front uses its share
// of that cap and may borrow a part of the rest. If no server has capacity, the request is
// queued in order of deadline or rejected at once. A failing server is ejected until a
// probing request succeeds.
//
// All state is in Table, which is not safe for concurrent use. Every decision is a
// function of the Table and the arguments, among them the current time: the package
// does no I/O and reads no clock. docs/ROUTING.md describes the alternatives and the
// measurements.
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

// Strategy is the load-balancing algorithm within a region.
type Strategy string

// Strategies. Affinity is the default. The others are baselines for comparison and
// respect the same caps.
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

	// maxPlannedCap limits the caps of a plan to prevent integer overflow.
	maxPlannedCap = 1 << 20
)

// Config configures a Table. A zero field takes its default.
type Config struct {
	// Self is the name of this front; Region and Zone are its location.
	Self, Region, Zone string

	// Strategy defaults to Affinity.
	Strategy Strategy

	// Policy determines the servers' caps.
	Policy plan.Policy

	// MaxQueued is the maximum number of queued requests; 256 by default.
	MaxQueued int

	// RetryBudget is the maximum number of retries as a fraction of the number of
	// requests; 0.1 by default.
	RetryBudget float64

	// BaseEjectionTime is the duration of a server's first ejection; 1 s by default.
	// The duration doubles with each consecutive ejection up to MaxEjectionTime, 5 s
	// by default.
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

// RuntimeConfig is the part of the configuration that a sheet can change at run time.
// The fields mean the same as in Config and plan.Policy, but a zero is taken literally
// and not replaced by the default.
type RuntimeConfig struct {
	Strategy     Strategy
	MaxQueued    int
	SlowStartCap int
	RetryBudget  float64
}

// View is a snapshot of the fleet as this front sees it. Its maps and messages must not
// be modified once passed to Update.
type View struct {
	State   statemachine.State
	Plan    *wire.Plan
	Servers map[string]*wire.ServerStatus // by name

	// Fronts are the names of the ready fronts that share the servers' caps. This
	// front is included even if it is not listed.
	Fronts []string
}

// Table is the routing state of one front. It is not safe for concurrent use.
type Table struct {
	config        Config
	selfHash      uint64 // hash of config.Self
	view          View
	serversID     uintptr  // address of the map view.Servers
	frontHashes   []uint64 // hashes of the fronts' names, sorted
	frontsVersion int
	servers       map[string]*server
	pools         map[poolKey]*pool
	regions       map[shareKey]*weightedRoundRobin
	queue         requestQueue
	retries       retryBudget
	popularity    *popularity
	durations     meanDurations // from the start of an attempt to its end
	firstEvents   meanDurations // from the start of an attempt to the first event
}

// New returns a Table without servers. It rejects every request until the first Update.
func New(config Config) *Table {
	config = config.withDefaults()
	self := xxhash.Sum64String(config.Self)
	return &Table{
		config:        config,
		selfHash:      self,
		frontHashes:   []uint64{self},
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

// Reconfigure applies a runtime configuration. Requests that are already queued remain
// queued even if they exceed a lower MaxQueued. A new SlowStartCap changes the servers'
// caps at once.
func (t *Table) Reconfigure(config RuntimeConfig) {
	t.config.Strategy = config.Strategy
	t.config.MaxQueued = config.MaxQueued
	t.config.RetryBudget = config.RetryBudget
	t.retries.setRatio(config.RetryBudget)
	t.queue.needsScan = true
	if t.config.Policy.SlowStartCap == config.SlowStartCap {
		return
	}
	t.config.Policy.SlowStartCap = config.SlowStartCap
	for _, server := range t.servers {
		t.updateCap(server)
	}
}

// Update applies a view. Servers that are draining, leaving, gone, evacuated or
// unreachable are excluded at once, even if the plan still includes them.
func (t *Table) Update(view View) {
	t.updateFronts(view.Fronts)
	stateChanged := view.State.Version != t.view.State.Version || view.State.Sheet != t.view.State.Sheet
	planChanged := view.Plan != t.view.Plan
	// Servers must not be modified once passed, so an equal map address means that no
	// server has changed.
	id := reflect.ValueOf(view.Servers).Pointer()
	serversChanged := id != t.serversID || id == 0
	t.serversID = id
	t.view = view
	t.queue.needsScan = true
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
	hashes = append(hashes, t.selfHash)
	slices.Sort(hashes)
	hashes = slices.Compact(hashes)
	if !slices.Equal(hashes, t.frontHashes) {
		t.frontHashes = hashes
		t.frontsVersion++
	}
}

// updateServers applies the view's server statuses: those that changed, or all of them
// if reapplyAll is set.
func (t *Table) updateServers(reapplyAll bool) {
	changed := false
	for name, status := range t.view.Servers {
		server := t.servers[name]
		if server == nil {
			server = newServer(name)
			t.servers[name] = server
		} else if server.status == status && !reapplyAll {
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

// removeUnlisted excludes the servers that the view does not list and removes those
// without requests in flight from this front. It reports whether the pools have to be
// rebuilt.
func (t *Table) removeUnlisted() bool {
	changed := false
	for name, server := range t.servers {
		if len(t.servers) == len(t.view.Servers) {
			break
		}
		if _, listed := t.view.Servers[name]; listed {
			continue
		}
		if server.exclusion == "" {
			changed = true
		}
		server.exclusion = plan.ReasonGone
		if server.load.own == 0 {
			delete(t.servers, name)
		}
	}
	return changed
}

// applyPlannedCaps limits the servers' caps to those of the plan. Until the next plan
// arrives, the limit grows by one for each answer of the server. A server that the plan
// has no cap for is limited by slow start only.
func (t *Table) applyPlannedCaps(p *wire.Plan) {
	caps := make(map[string]int, len(p.GetCaps()))
	for _, planned := range p.GetCaps() {
		caps[planned.Server] = int(min(planned.InFlight, maxPlannedCap))
	}
	for name, server := range t.servers {
		server.capacity.plannedCap = caps[name]
		server.capacity.answeredAtPlan = server.status.Answered
		t.updateCap(server)
	}
}

// rebuildPools groups the servers into pools by service and region. A pool that existed
// before keeps its answer rate and round-robin cursor.
func (t *Table) rebuildPools() {
	members := map[poolKey][]*server{}
	for _, server := range t.servers {
		server.pools = nil
		if server.exclusion != "" {
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

// ServicesWithoutServers returns the service-region pairs that have a positive weight in
// the current sheet but no server that can take requests. The result consists of
// strings "service region" in sorted order.
func (t *Table) ServicesWithoutServers() []string {
	if t.view.State.Sheet == nil {
		return nil
	}
	var unserved []string
	for service, weights := range t.view.State.Sheet.Weights {
		for region, weight := range weights {
			if weight > 0 && t.pools[poolKey{service, region}] == nil {
				unserved = append(unserved, service+" "+region)
			}
		}
	}
	slices.Sort(unserved)
	return unserved
}

// Ready reports whether the table has a plan and at least one server that can take
// requests.
func (t *Table) Ready() bool { return t.view.Plan != nil && len(t.pools) > 0 }

// Version returns the version of the state machine's state in the current view.
func (t *Table) Version() uint64 { return t.view.State.Version }
