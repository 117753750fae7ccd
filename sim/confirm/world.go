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
	tickMS     = 50
	renewEvery = 10
	pingEvery  = 10
	roundTicks = 6
	orderTicks = 160
	allowed    = 2500 // ms from an acknowledgement after which no older version may rule
	slack      = 100  // ms from an acknowledgement after which none may rule by a lease
	ttl        = 2 * time.Second
	forever    = 1 << 40
)

// Mutation is a rule that is left out, to show that the checker can fail.
type Mutation string

// Mutations. None is the rule as designed.
const (
	None          Mutation = ""
	Hearsay       Mutation = "a restarted front is confirmed by whoever gave it its state"
	AnyRefusal    Mutation = "a refusal counts without unbroken contact"
	NoRoster      Mutation = "an acknowledgement needs no majority of the roster"
	NoWaiting     Mutation = "an acknowledgement doesn't wait for leases"
	NoPrior       Mutation = "a roster change holds at once"
	NoOpening     Mutation = "a restarted core gives leases before it has read from a majority"
	Unsettled     Mutation = "a restarted core counts before its former leases lapsed"
	ArrivalTime   Mutation = "a renewal counts from when it was answered"
	OpenBallot    Mutation = "a core confirms a restarted front over an open ballot"
	SilenceIsDead Mutation = "silence counts as a refusal"
)

// Weights are the relative frequencies of the faults.
type Weights struct {
	Kill, KillMany, Freeze, Split, Isolate, Links, Core, Remove int
}

// Config configures a run. Faults, Heals, Orders and Gossip are chances per tick.
type Config struct {
	Name     string
	Nodes    int // members at the start; the first Cores of them are cores
	Spares   int // processes that join later
	JoinMS   int // spread of their joining; zero lets all join at once
	Cores    int
	Seconds  int
	Faults   float64
	Heals    float64
	Orders   float64
	Gossip   float64 // that a core learns from another
	Finish   float64 // that a core finishes an open ballot
	Drift    float64 // clocks run at 1 ± Drift
	Exact    bool    // every message takes one tick
	Weights  Weights
	Down     []int64 // how long the killed stay down, ms
	Mutation Mutation
}

// Mixes are the configurations: a usual mix, about a fault in 4 s and a heal in 15 s;
// quick restarts with cores that learn slowly; links partitioned one by one; and a
// small fleet that more than doubles at once.
func Mixes() []Config {
	usual := Config{Name: "usual", Nodes: 9, Spares: 2, JoinMS: 30000, Cores: 3, Seconds: 60, Faults: 0.0125, Heals: 0.0033,
		Orders: 0.015, Gossip: 0.5, Finish: 0.05, Drift: 0.002, Weights: Weights{1, 1, 1, 1, 1, 1, 1, 1},
		Down: []int64{200, 1000, 5000, 15000, forever}}
	restarts := usual
	restarts.Name, restarts.Faults, restarts.Heals, restarts.Gossip = "restarts", 0.05, 0.02, 0.04
	restarts.Weights, restarts.Down = Weights{Kill: 4, KillMany: 4, Freeze: 1, Split: 2, Isolate: 1, Links: 3, Core: 5}, []int64{100, 300, 1000, 2500}
	links := usual
	links.Name, links.Faults, links.Heals = "links", 0.03, 0.006
	links.Weights = Weights{Kill: 1, KillMany: 1, Freeze: 1, Split: 1, Links: 8, Core: 1, Remove: 1}
	growth := usual
	growth.Name, growth.Nodes, growth.Spares, growth.JoinMS, growth.Seconds = "growth", 5, 7, 0, 40
	growth.Weights, growth.Faults = Weights{Kill: 1, Split: 5, Isolate: 1, Links: 2, Core: 1}, 0.02
	return []Config{usual, restarts, links, growth}
}

// Violation is a broken rule, as the checker found it.
type Violation struct {
	Seed    uint64
	AtMS    int64
	Node    string
	Why     string
	Version uint64
	Newer   uint64
	AckMS   int64
	By      lease.Source
	Mix     string
	Faults  []string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("mix %s, seed %d at %d ms: %s %s (epoch %d, newer %d acknowledged at %d ms, by %s); faults: %v",
		v.Mix, v.Seed, v.AtMS, v.Node, v.Why, v.Version, v.Newer, v.AckMS, v.By, v.Faults)
}

// Outcome is the result of a run. Ruling is the share of samples in which a
// running front ruled.
type Outcome struct {
	Violation *Violation
	Chosen    int
	Orders    int
	Acked     int
	Ruling    float64
	Rosters   int // roster changes settled
}

type node struct {
	id           int
	name         string
	process      *process
	downUntil    int64
	ruled        uint64
	offset       time.Duration
	rate         float64
	incarnations uint64 // number of processes started
}

type process struct {
	node        *node
	incarnation uint64
	frozenUntil int64
	mailbox     []func()
	holder      *lease.Holder
	state       sheet.State
	held        bool
	renewAt     int64
	pingAt      int64
	fetchUntil  int64
	core        *core
}

type core struct {
	ledger  *lease.Table
	opened  bool
	learned uint64
	pingAt  int64
	keepAt  int64
	orders  []*order
	settle  *round
}

type order struct {
	version uint64
	until   int64
	round   *round
}

type round struct {
	end   int64
	views []*wire.LeaseViewResponse
}

type ack struct {
	version uint64
	at      int64
}

type world struct {
	seed        uint64
	config      Config
	random      *rand.Rand
	now         int64 // ms
	tick        int64
	nodes       []*node
	voters      []string
	partitioned [][]bool
	events      map[int64][]func()
	log         []sheet.State // by version
	accepted    []uint64      // by core: highest accepted, durable
	synced      []uint64      // by core: learned as of the last sync, durable
	acked       []ack
	floor       ack // highest acknowledged longer ago than allowed
	strict      ack // highest acknowledged
	faults      []string
	found       *Violation
	outcome     Outcome
	ruling      int
	samples     int
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
		n := &node{id: i, name: fmt.Sprintf("n%02d", i), rate: 1 + config.Drift*(2*w.random.Float64()-1),
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
		p.core = &core{ledger: lease.NewTable(n.name, ttl, w.clock(n)), learned: w.synced[n.id],
			opened: w.config.Mutation == NoOpening}
		if w.config.Mutation == Unsettled {
			p.core.ledger = lease.NewTable(n.name, ttl, w.clock(n).Add(-time.Minute))
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

func (w *world) linked(a, b *node) bool { return a == b || !w.partitioned[a.id][b.id] }

func (w *world) later(ticks int64, f func()) {
	w.events[w.tick+ticks] = append(w.events[w.tick+ticks], f)
}

func (w *world) delay() int64 {
	if w.config.Exact {
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
	w.later(w.delay(), c.arrive)
}

func (c *call) arrive() {
	w := c.world
	switch {
	case !w.linked(c.caller.node, c.to):
		if w.config.Mutation == SilenceIsDead && c.refused != nil {
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
	w.later(w.delay(), func() {
		if w.linked(c.caller.node, c.to) {
			w.deliver(c.caller, step)
		}
	})
}

// quorum returns the running cores that a core reaches, or nil when they are not a
// majority.
func (w *world) quorum(n *node) []*node {
	var reached []*node
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.linked(n, other) {
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
	if reached == nil || !n.process.core.opened {
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
