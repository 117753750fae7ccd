package confirm

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
)

// nodeState is a machine; process is what runs on it, nil while it is down.
type nodeState struct {
	id        int
	name      string
	process   *process
	downUntil int64 // ms
	// servedVersion is the highest version that the node has served by.
	servedVersion uint64
	// clockOffset and clockRate define the node's monotonic clock.
	clockOffset  time.Duration
	clockRate    float64
	incarnations uint64 // number of processes started
}

// process is one incarnation of a front, with a core's part on some nodes. Instants
// are in ms.
type process struct {
	node        *nodeState
	incarnation uint64
	frozenUntil int64
	// mailbox holds what arrived while the process was frozen.
	mailbox        []func()
	holder         *lease.Holder
	state          statemachine.State
	hasState       bool
	renewAt        int64
	pingAt         int64
	fetchTimeoutAt int64
	core           *coreState // nil for a mere front
}

// world is the whole simulated fleet.
type world struct {
	seed   uint64
	config Config
	random *rand.Rand
	now    int64 // ms
	tick   int64

	nodes  []*nodeState
	voters []string
	// partitioned holds, by two nodes' ids, the links that drop messages.
	partitioned [][]bool
	// events holds what happens at each tick to come.
	events map[int64][]func()

	// log holds the agreed state by version. accepted and synced hold, by core, the
	// highest version accepted and the one learned as of the last sync; both survive
	// a restart.
	log      []statemachine.State
	accepted []uint64
	synced   []uint64

	checker checker
	faults  []string // the last ones
	outcome Outcome
}

// clockOrigin is what the clocks of nodes without an offset show at the start.
var clockOrigin = time.UnixMilli(1_700_000_000_000)

// randomStream is the second half of the generator's seed.
const randomStream = 0x9e3779b97f4a7c15

func newWorld(seed uint64, config Config) *world {
	w := &world{
		seed:     seed,
		config:   config,
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		events:   map[int64][]func(){},
		accepted: make([]uint64, config.Cores),
		synced:   make([]uint64, config.Cores),
	}
	w.addNodes()
	first, _ := statemachine.Noop{}.Apply(statemachine.State{}, 1)
	w.log = []statemachine.State{{}, first}
	for i := range config.Cores {
		w.accepted[i] = 1
		w.synced[i] = 1
	}
	for _, node := range w.nodes[:config.Nodes] {
		w.start(node)
	}
	return w
}

func (w *world) addNodes() {
	total := w.config.Nodes + w.config.Spares
	joinAt := w.drawJoinAt(20000)
	w.partitioned = make([][]bool, total)
	for i := range total {
		w.partitioned[i] = make([]bool, total)
		node := &nodeState{id: i, name: fmt.Sprintf("n%02d", i)}
		node.clockRate = 1 + w.config.ClockDrift*(2*w.random.Float64()-1)
		node.clockOffset = time.Duration(w.random.IntN(1000)) * time.Second
		w.nodes = append(w.nodes, node)
		if i < w.config.Cores {
			w.voters = append(w.voters, node.name)
		}
		if i >= w.config.Nodes {
			node.downUntil = joinAt
			if w.config.JoinMS > 0 {
				node.downUntil = w.drawJoinAt(w.config.JoinMS)
			}
		}
	}
}

// drawJoinAt returns an instant within a span of ms, after the fleet has formed.
func (w *world) drawJoinAt(spanMS int) int64 { return int64(5000 + w.random.IntN(spanMS)) }

// clock returns the time of a node's own monotonic clock, which drifts.
func (w *world) clock(node *nodeState) time.Time {
	return clockOrigin.Add(node.clockOffset + time.Duration(float64(w.now)*node.clockRate*float64(time.Millisecond)))
}

// start starts a process on a node.
func (w *world) start(node *nodeState) {
	node.incarnations++
	proc := &process{node: node, incarnation: node.incarnations, holder: lease.NewHolder(node.name, ttl)}
	proc.renewAt = w.now + int64(w.random.IntN(500))
	proc.pingAt = w.now + int64(w.random.IntN(500))
	proc.holder.SetCores(w.voters)
	if node.id < w.config.Cores {
		proc.core = w.newCore(node)
	}
	node.process = proc
}

func (w *world) newCore(node *nodeState) *coreState {
	startedAt := w.clock(node)
	if w.config.Mutation == NoStartupGrace {
		startedAt = startedAt.Add(-time.Minute)
	}
	return &coreState{
		leases:   lease.NewTable(node.name, ttl, startedAt),
		learned:  w.synced[node.id],
		caughtUp: w.config.Mutation == NoCatchUp,
	}
}

// kill stops the process of a node, if there is one, for a span.
func (w *world) kill(node *nodeState, forMS int64) {
	if node.process == nil {
		return
	}
	node.process = nil
	node.downUntil = w.now + forMS
}

func (w *world) running(node *nodeState) bool {
	return node.process != nil && node.process.frozenUntil <= w.now
}

// quorum returns the running cores that a core reaches, or nil when they are not a
// majority.
func (w *world) quorum(from *nodeState) []*nodeState {
	var reached []*nodeState
	for _, other := range w.nodes[:w.config.Cores] {
		if w.running(other) && w.connected(from, other) {
			reached = append(reached, other)
		}
	}
	if len(reached) < lease.Majority(w.config.Cores) {
		return nil
	}
	return reached
}

// propose is an atomic agreement: the command is chosen if a majority is reached.
func (w *world) propose(node *nodeState, command statemachine.Command) (version uint64, chosen bool) {
	reached := w.quorum(node)
	if reached == nil || !node.process.core.caughtUp {
		return 0, false
	}
	version = uint64(len(w.log))
	next, _ := command.Apply(w.log[version-1], version)
	w.log = append(w.log, next)
	for _, other := range reached {
		w.accepted[other.id] = version
	}
	node.process.core.learned = version
	w.outcome.Chosen++
	return version, true
}
