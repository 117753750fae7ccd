// Package confirm simulates the confirmation rule under random faults in virtual
// time. Fronts and cores decide by the production packages (lease.Holder,
// lease.Ledger, lease.InForce, sheet's commands); a ballot is
// atomic; network, faults and clocks are simulated. A run is a function of its seed
// alone.
package confirm

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// Times of the model, in ticks of 50 ms.
const (
	tickMS       = 50
	renewTicks   = 10
	pingTicks    = 10
	roundTicks   = 6
	orderTicks   = 160
	lapseMS      = 2500 // ms from an acknowledgement after which no older version may rule
	leaseSlackMS = 100  // ms from an acknowledgement after which none may rule by a lease
	ttl          = 2 * time.Second
	forever      = 1 << 40
)

// Mutation is a rule that is left out, to show that the checker can fail.
type Mutation string

// Mutations. None is the rule as designed.
const (
	None             Mutation = ""
	ConfirmedByPeer  Mutation = "a restarted front is confirmed by whoever gave it its state"
	AnyRefusalCounts Mutation = "a refusal counts without unbroken contact"
	NoRosterMajority Mutation = "an acknowledgement needs no majority of the roster"
	NoLeaseWait      Mutation = "an acknowledgement doesn't wait for leases"
	NoPriorRoster    Mutation = "a roster change holds at once"
	NoCatchUp        Mutation = "a restarted core gives leases before it has read from a majority"
	NoStartupGrace   Mutation = "a restarted core counts before its former leases lapsed"
	LeaseFromArrival Mutation = "a renewal counts from when it was answered"
	IgnoresOpenSlot  Mutation = "a core confirms a restarted front over an open ballot"
	TimeoutIsRefusal Mutation = "silence counts as a refusal"
)

// FaultWeights are the relative frequencies of the faults.
type FaultWeights struct {
	Kill, KillMany, Freeze, Split, Isolate, Links, Core, Remove int
}

// Config configures a run. Faults, Heals, Orders and Gossip are chances per tick.
type Config struct {
	Name         string
	Nodes        int // members at the start; the first Cores of them are cores
	Spares       int // processes that join later
	JoinMS       int // spread of their joining; zero lets all join at once
	Cores        int
	Seconds      int
	FaultChance  float64
	HealChance   float64
	OrderChance  float64
	LearnChance  float64 // that a core learns from another
	FinishChance float64 // that a core finishes an open ballot
	ClockDrift   float64 // clocks run at 1 ± Drift
	FixedLatency bool    // every message takes one tick
	FaultWeights FaultWeights
	DowntimesMS  []int64 // how long the killed stay down, ms
	Mutation     Mutation
}

// Mixes are the configurations: a usual mix, about a fault in 4 s and a heal in 15 s;
// quick restarts with cores that learn slowly; links partitioned one by one; and a
// small fleet that more than doubles at once.
func Mixes() []Config {
	usual := Config{Name: "usual", Nodes: 9, Spares: 2, JoinMS: 30000, Cores: 3, Seconds: 60, FaultChance: 0.0125, HealChance: 0.0033,
		OrderChance: 0.015, LearnChance: 0.5, FinishChance: 0.05, ClockDrift: 0.002, FaultWeights: FaultWeights{1, 1, 1, 1, 1, 1, 1, 1},
		DowntimesMS: []int64{200, 1000, 5000, 15000, forever}}
	restarts := usual
	restarts.Name, restarts.FaultChance, restarts.HealChance, restarts.LearnChance = "restarts", 0.05, 0.02, 0.04
	restarts.FaultWeights, restarts.DowntimesMS = FaultWeights{Kill: 4, KillMany: 4, Freeze: 1, Split: 2, Isolate: 1, Links: 3, Core: 5}, []int64{100, 300, 1000, 2500}
	links := usual
	links.Name, links.FaultChance, links.HealChance = "links", 0.03, 0.006
	links.FaultWeights = FaultWeights{Kill: 1, KillMany: 1, Freeze: 1, Split: 1, Links: 8, Core: 1, Remove: 1}
	growth := usual
	growth.Name, growth.Nodes, growth.Spares, growth.JoinMS, growth.Seconds = "growth", 5, 7, 0, 40
	growth.FaultWeights, growth.FaultChance = FaultWeights{Kill: 1, Split: 5, Isolate: 1, Links: 2, Core: 1}, 0.02
	return []Config{usual, restarts, links, growth}
}

// Violation is a broken rule, as the checker found it.
type Violation struct {
	Seed           uint64
	AtMS           int64
	Node           string
	Rule           string
	Version        uint64
	Newer          uint64
	AcknowledgedMS int64
	Source         lease.Source
	Mix            string
	Faults         []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("mix %s, seed %d at %d ms: %s %s (epoch %d, newer %d acknowledged at %d ms, by %s); faults: %v",
		v.Mix, v.Seed, v.AtMS, v.Node, v.Rule, v.Version, v.Newer, v.AcknowledgedMS, v.Source, v.Faults)
}

// Outcome is the result of a run. Ruling is the share of samples in which a
// running front ruled.
type Outcome struct {
	Violation     *Violation
	Chosen        int
	Orders        int
	Acknowledged  int
	ServingRatio  float64
	RosterChanges int // roster changes settled
}

type node struct {
	id            int
	name          string
	process       *process
	downUntil     int64
	servedVersion uint64
	offset        time.Duration
	rate          float64
	incarnations  uint64 // number of processes started
}

type process struct {
	node           *node
	incarnation    uint64
	frozenUntil    int64
	mailbox        []func()
	holder         *lease.Holder
	state          sheet.State
	hasState       bool
	renewAt        int64
	pingAt         int64
	fetchTimeoutAt int64
	core           *coreState
}

type coreState struct {
	leases      *lease.Table
	caughtUp    bool
	learned     uint64
	pingAt      int64
	rosterAt    int64
	orders      []*order
	rosterCheck *viewRound
}

type order struct {
	version   uint64
	timeoutAt int64
	views     *viewRound
}

type viewRound struct {
	endAt int64
	views []*wire.LeaseViewResponse
}

type acknowledgement struct {
	version uint64
	at      int64
}

type world struct {
	seed                   uint64
	config                 Config
	random                 *rand.Rand
	now                    int64 // ms
	tick                   int64
	nodes                  []*node
	voters                 []string
	partitioned            [][]bool
	events                 map[int64][]func()
	log                    []sheet.State // by version
	accepted               []uint64      // by core: highest accepted, durable
	synced                 []uint64      // by core: learned as of the last sync, durable
	recentAcknowledgements []acknowledgement
	oldestAllowed          acknowledgement // highest acknowledged longer ago than allowed
	oldestAllowedByLease   acknowledgement // highest acknowledged
	faults                 []string
	violation              *Violation
	outcome                Outcome
	servingSamples         int
	samples                int
}

var origin = time.UnixMilli(1_700_000_000_000)

func newWorld(seed uint64, config Config) *world {
	w := &world{seed: seed, config: config, random: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		events: map[int64][]func(){}, accepted: make([]uint64, config.Cores), synced: make([]uint64, config.Cores)}
	total := config.Nodes + config.Spares
	joined := int64(5000 + w.random.IntN(20000))
	w.partitioned = make([][]bool, total)
	for i := range total {
		w.partitioned[i] = make([]bool, total)
		n := &node{id: i, name: fmt.Sprintf("n%02d", i), rate: 1 + config.ClockDrift*(2*w.random.Float64()-1),
			offset: time.Duration(w.random.IntN(1000)) * time.Second}
		w.nodes = append(w.nodes, n)
		if i < config.Cores {
			w.voters = append(w.voters, n.name)
		}
		if i >= config.Nodes {
			n.downUntil = joined
			if config.JoinMS > 0 {
				n.downUntil = int64(5000 + w.random.IntN(config.JoinMS))
			}
		}
	}
	first, _ := sheet.Noop{}.Apply(sheet.State{}, 1)
	w.log = []sheet.State{{}, first}
	for i := range config.Cores {
		w.accepted[i], w.synced[i] = 1, 1
	}
	for _, n := range w.nodes[:config.Nodes] {
		w.start(n)
	}
	return w
}

// clock returns the time of a process's own monotonic clock, which drifts.
func (w *world) clock(n *node) time.Time {
	return origin.Add(n.offset + time.Duration(float64(w.now)*n.rate*float64(time.Millisecond)))
}

func (w *world) start(n *node) {
	n.incarnations++
	p := &process{node: n, incarnation: n.incarnations, holder: lease.NewHolder(n.name, ttl),
		renewAt: w.now + int64(w.random.IntN(500)), pingAt: w.now + int64(w.random.IntN(500))}
	p.holder.SetCores(w.voters)
	if n.id < w.config.Cores {
		p.core = &coreState{leases: lease.NewTable(n.name, ttl, w.clock(n)), learned: w.synced[n.id],
			caughtUp: w.config.Mutation == NoCatchUp}
		if w.config.Mutation == NoStartupGrace {
			p.core.leases = lease.NewTable(n.name, ttl, w.clock(n).Add(-time.Minute))
		}
	}
	n.process = p
}

func (w *world) kill(n *node, forMS int64) {
	if n.process == nil {
		return
	}
	n.process = nil
	n.downUntil = w.now + forMS
}

func (w *world) running(n *node) bool {
	return n.process != nil && n.process.frozenUntil <= w.now
}

func (w *world) connected(a, b *node) bool { return a == b || !w.partitioned[a.id][b.id] }

func (w *world) schedule(ticks int64, f func()) {
	w.events[w.tick+ticks] = append(w.events[w.tick+ticks], f)
}

func (w *world) delay() int64 {
	if w.config.FixedLatency {
		return 1
	}
	if w.random.IntN(20) == 0 {
		return int64(1 + w.random.IntN(16))
	}
	return int64(1 + w.random.IntN(2))
}

// deliver runs a step at a process. A frozen process buffers it until it resumes.
func (w *world) deliver(p *process, step func()) {
	if p.node.process != p {
		return
	}
	if p.frozenUntil > w.now {
		p.mailbox = append(p.mailbox, step)
		return
	}
	step()
}

// call is a request from a process to a node and its answer.
type call struct {
	world   *world
	caller  *process
	to      *node
	serve   func(callee *process) (answer func())
	refused func() // may be nil
}

// call carries a request to another node and its answer back. Refused runs when
// the node's process is down; a partition drops both directions silently.
func (w *world) call(caller *process, to *node, serve func(callee *process) (answer func()), refused func()) {
	c := &call{world: w, caller: caller, to: to, serve: serve, refused: refused}
	w.schedule(w.delay(), c.arrive)
}

func (c *call) arrive() {
	w := c.world
	switch {
	case !w.connected(c.caller.node, c.to):
		if w.config.Mutation == TimeoutIsRefusal && c.refused != nil {
			w.deliver(c.caller, c.refused)
		}
	case c.to.process == nil:
		if c.refused != nil {
			c.reply(c.refused)
		}
	default:
		callee := c.to.process
		w.deliver(callee, func() { c.handle(callee) })
	}
}

func (c *call) handle(callee *process) {
	if answer := c.serve(callee); answer != nil {
		c.reply(answer)
	}
}

// reply runs a step at the caller, unless a partition drops it.
func (c *call) reply(step func()) {
	w := c.world
	w.schedule(w.delay(), func() {
		if w.connected(c.caller.node, c.to) {
			w.deliver(c.caller, step)
		}
	})
}

// quorum returns the running cores that a core reaches, or nil when they are not a
// majority.
func (w *world) quorum(n *node) []*node {
	var reached []*node
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.connected(n, other) {
			reached = append(reached, other)
		}
	}
	if len(reached) < lease.Majority(w.config.Cores) {
		return nil
	}
	return reached
}

// propose is an atomic ballot: chosen if a majority is reached.
func (w *world) propose(n *node, command sheet.Command) (uint64, bool) {
	reached := w.quorum(n)
	if reached == nil || !n.process.core.caughtUp {
		return 0, false
	}
	version := uint64(len(w.log))
	next, _ := command.Apply(w.log[version-1], version)
	w.log = append(w.log, next)
	for _, other := range reached {
		w.accepted[other.id] = version
	}
	n.process.core.learned = version
	w.outcome.Chosen++
	return version, true
}
