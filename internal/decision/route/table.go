// Package route chooses the server of each request at a front. All state is in
// the Table, which has one owner and takes no locks; every decision is a
// function of the Table, its arguments and now.
//
// A request goes to a region by the plan's shares, and within the region to the
// server that holds its prefix, as long as that one is not loaded beyond the
// others. Each server has a cap of requests in flight over all fronts; a front
// admits its part of it. Where no server has room the request waits in the
// queued requests, ordered by deadline, or is refused at once.
package route

import (
	"cmp"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// Strategy names how a server is chosen within a region.
type Strategy string

// Strategies. Affinity is the product's; the other two are baselines that obey
// the same caps.
const (
	Affinity    Strategy = "affinity"
	RoundRobin  Strategy = "round_robin"
	LeastLoaded Strategy = "least_loaded"
)

// Config is a front's place and bounds. QueueBound is the number of requests
// that may wait (256 when zero); RetryBudget the retries as a share of the
// requests (0.1 when zero); EjectFor the first ejection of a server that failed
// (1 s when zero), doubled up to EjectMost (5 s when zero).
type Config struct {
	Self, Region, Zone string
	Strategy           Strategy
	Policy             plan.Policy
	QueueBound         int
	RetryBudget        float64
	EjectFor           time.Duration
	EjectMost          time.Duration
}

func (c Config) orDefaults() Config {
	c.Strategy = cmp.Or(c.Strategy, Affinity)
	c.Policy = c.Policy.WithDefaults()
	c.QueueBound = cmp.Or(c.QueueBound, 256)
	c.RetryBudget = cmp.Or(c.RetryBudget, 0.1)
	c.EjectFor = cmp.Or(c.EjectFor, time.Second)
	c.EjectMost = cmp.Or(c.EjectMost, 5*time.Second)
	return c
}

// Knobs are what a sheet can set at run time: as the fields of Config, but zero
// means zero.
type Knobs struct {
	Strategy    Strategy
	QueueBound  int
	RampStart   int
	RetryBudget float64
}

// Tune sets the knobs. What is queued stays, also beyond a lower bound; caps
// follow the new start of the ramp at once.
func (t *Table) Tune(k Knobs) {
	t.cfg.Strategy, t.cfg.QueueBound, t.cfg.RetryBudget = k.Strategy, k.QueueBound, k.RetryBudget
	t.budget.tune(k.RetryBudget)
	t.queue.unserved = true
	if t.cfg.Policy.SlowStartCap == k.RampStart {
		return
	}
	t.cfg.Policy.SlowStartCap = k.RampStart
	for _, s := range t.servers {
		t.setCap(s)
	}
}

// View is what the front knows of the fleet. Fronts are the names of the ready
// fronts that share the caps; the front itself counts even when it is missing.
// The maps and messages are never changed after they were handed over.
type View struct {
	State   sheet.State
	Plan    *wire.Plan
	Servers map[string]*wire.ServerStatus
	Fronts  []string
}

// Request is what the choice depends on. Prefix is the digest of the shared
// prefix, 0 for none; Home the region that the request is bound to, "" for
// none; Tried the servers that were tried before, so that it is a retry.
type Request struct {
	ID         string
	Service    string
	FromRegion string
	Home       string
	Prefix     uint64
	Deadline   time.Time
	Tokens     float64
	Tried      []string
}

// Candidate is a server that was considered; Excluded says why it was not
// chosen, "" for the chosen one.
type Candidate struct {
	Server   string
	Score    float64
	Excluded string
}

// Choice is a server, or a fault, or the word to wait: then the caller calls
// Enqueue. Wait is how long the wait is expected to be; FirstEvent how long the
// server's load can explain that no first event comes, 0 when that is unknown.
type Choice struct {
	Server     string
	Address    string
	Region     string
	Fault      *apierror.Error
	Queued     bool
	Wait       time.Duration
	FirstEvent time.Duration
	Candidates []Candidate
}

// Outcome is how a request ended at a server. OK: answered in whole. Refused:
// the connection was refused. Timeout: no answer within its bound. Busy: the
// server refused before it began. NothingWritten: no byte reached the server.
// FirstToken is the time to the first event, 0 when none came. Service and Took,
// the time from the start to the end, teach the table how long a service's
// requests take; without them it refuses nothing on that account.
type Outcome struct {
	OK             bool
	NothingWritten bool
	Refused        bool
	Timeout        bool
	Busy           bool
	FirstToken     time.Duration
	Service        string
	Took           time.Duration
}

type poolKey struct{ service, region string }

type shareKey struct{ service, from string }

// Table is the routing state of one front. It has one owner.
type Table struct {
	cfg       Config
	view      View
	fronts    []uint64
	frontsGen int
	servers   map[string]*server
	pools     map[poolKey]*pool
	shares    map[shareKey]*wheel
	queue     waitQueue
	budget    budget
	popular   *popularity
	took      map[string]*mean
	first     map[string]*mean
	self      uint64
	mapID     uintptr
}

// Lost tells whether a server is known to answer nobody: it refuses, is silent
// to its watchers, or is no longer listed.
func (t *Table) Lost(name string) bool {
	s := t.servers[name]
	return s == nil || s.excluded == plan.ReasonGone || s.status.State == wire.ServerState_SERVER_STATE_GONE || !s.status.Reachable
}

// Short returns the services and regions, as "service region" in their order,
// to which the weights of the sheet in force give a share and in which no server
// can take requests.
func (t *Table) Short() []string {
	var short []string
	if t.view.State.Sheet == nil {
		return nil
	}
	for service, weights := range t.view.State.Sheet.Weights {
		for region, weight := range weights {
			if weight > 0 && t.pools[poolKey{service, region}] == nil {
				short = append(short, service+" "+region)
			}
		}
	}
	slices.Sort(short)
	return short
}

// New returns a table that knows nothing: it refuses until the first Update.
func New(cfg Config) *Table {
	cfg = cfg.orDefaults()
	return &Table{cfg: cfg, servers: map[string]*server{}, pools: map[poolKey]*pool{}, shares: map[shareKey]*wheel{},
		queue: newWaitQueue(), budget: newBudget(cfg.RetryBudget), popular: newPopularity(), took: map[string]*mean{}, first: map[string]*mean{}, self: xxhash.Sum64String(cfg.Self), frontsGen: 1,
		fronts: []uint64{xxhash.Sum64String(cfg.Self)}}
}

// Update takes a new view in. Drains, evacuations and servers that are gone
// bite at once, whatever the plan says.
func (t *Table) Update(v View, now time.Time) {
	fronts := t.frontHashes(v.Fronts)
	if !slices.Equal(fronts, t.fronts) {
		t.fronts = fronts
		t.frontsGen++
	}
	stateMoved := v.State.Version != t.view.State.Version || v.State.Sheet != t.view.State.Sheet
	planMoved := v.Plan != t.view.Plan
	id := reflect.ValueOf(v.Servers).Pointer()
	serversMoved := id != t.mapID || id == 0
	t.mapID = id
	t.view = v
	t.queue.unserved = true
	if serversMoved || stateMoved {
		t.learnAll(v, now, stateMoved)
	}
	if planMoved {
		t.takeCaps(v.Plan)
	}
	if serversMoved || stateMoved || planMoved {
		t.turnWheels()
	}
}

// takeCaps binds the servers to the plan's caps. Within the period a cap grows
// by the answers seen since; a server that the plan doesn't know ramps alone.
func (t *Table) takeCaps(p *wire.Plan) {
	caps := make(map[string]int, len(p.GetCaps()))
	for _, c := range p.GetCaps() {
		caps[c.Server] = int(min(c.InFlight, 1<<20))
	}
	for name, s := range t.servers {
		s.planned, s.planBase = caps[name], s.status.Answered
		t.setCap(s)
	}
}

func (t *Table) frontHashes(names []string) []uint64 {
	hashes := make([]uint64, 0, len(names)+1)
	for _, name := range names {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	hashes = append(hashes, t.self)
	slices.Sort(hashes)
	return slices.Compact(hashes)
}

func (t *Table) learnAll(v View, now time.Time, recheck bool) {
	moved := false
	for name, status := range v.Servers {
		s := t.servers[name]
		if s == nil {
			s = newServer(name)
			t.servers[name] = s
		} else if s.status == status && !recheck {
			continue
		}
		moved = t.learn(s, status, now) || moved
	}
	for name, s := range t.servers {
		if len(t.servers) == len(v.Servers) {
			break
		}
		if _, listed := v.Servers[name]; listed {
			continue
		}
		if s.excluded == "" {
			moved = true
		}
		s.excluded = plan.ReasonGone
		if s.own == 0 {
			delete(t.servers, name)
		}
	}
	if moved {
		t.rebuild()
	}
}

func (t *Table) rebuild() {
	rates := map[poolKey]*pool{}
	for key, p := range t.pools {
		rates[key] = p
	}
	members := map[poolKey][]*server{}
	for _, s := range t.servers {
		s.pools = nil
		if s.excluded != "" {
			continue
		}
		for _, service := range s.status.Services {
			key := poolKey{service, s.status.Region}
			members[key] = append(members[key], s)
		}
	}
	t.pools = make(map[poolKey]*pool, len(members))
	for key, all := range members {
		p := newPool(all)
		if old := rates[key]; old != nil {
			p.rate = old.rate
			p.cursor = old.cursor
		}
		for _, s := range all {
			s.pools = append(s.pools, p)
		}
		t.pools[key] = p
	}
}

// Ready tells whether the table could choose at all: it has a plan and some
// server that may get requests.
func (t *Table) Ready() bool { return t.view.Plan != nil && len(t.pools) > 0 }

// Version returns the version of the state that the table rules by.
func (t *Table) Version() uint64 { return t.view.State.Version }
