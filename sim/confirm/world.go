package confirm

import (
	"fmt"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
)

// nodeState is a machine. Its process is nil while it is down.
type nodeState struct {
	id        int
	name      string
	process   *process
	downUntil int64 // ms
	// servedVersion is the highest version with which the node has served.
	servedVersion uint64
	// clockOffset and clockRate define the node's monotonic clock.
	clockOffset      time.Duration
	clockRate        float64
	startedProcesses uint64
}

// process is one incarnation of a front, and of a core on the first nodes. Instants
// are in ms.
type process struct {
	node        *nodeState
	incarnation uint64
	frozenUntil int64
	// undelivered holds the steps deferred while the process is frozen.
	undelivered    []func()
	holder         *lease.Holder
	state          statemachine.State
	hasState       bool
	nextRenewAt    int64
	nextPingAt     int64
	fetchTimeoutAt int64
	core           *coreState // nil if the process runs only a front
}

// world is the state of a simulated fleet.
type world struct {
	seed   uint64
	config Config
	random *rand.Rand
	now    int64 // ms
	tick   int64

	nodes  []*nodeState
	voters []string
	// partitioned[a][b] is set if messages between the nodes with these IDs are
	// dropped.
	partitioned [][]bool
	// refused[a][b] is set if a partition refuses the connections of node a to node b;
	// otherwise it is silent.
	refused [][]bool
	// scheduledEvents holds the events of future ticks, by tick.
	scheduledEvents map[int64][]func()

	// log holds the agreed states by version. acceptedVersions holds each core's highest
	// accepted version, and syncedVersions the learned version at its last sync. Both
	// survive a restart.
	log              []statemachine.State
	acceptedVersions []uint64
	syncedVersions   []uint64

	checker checker
	faults  []string // the most recent faults, oldest first
	outcome Outcome
}

// clockOrigin is the initial time of a clock without an offset.
var clockOrigin = time.UnixMilli(1_700_000_000_000)

// randomStream is the second half of the generator's seed.
const randomStream = 0x9e3779b97f4a7c15

func newWorld(seed uint64, config Config) *world {
	w := &world{
		seed:             seed,
		config:           config,
		random:           rand.New(rand.NewPCG(seed, randomStream)),
		scheduledEvents:  map[int64][]func(){},
		acceptedVersions: make([]uint64, config.Cores),
		syncedVersions:   make([]uint64, config.Cores),
	}
	w.addNodes()
	first, _ := statemachine.Noop{}.Apply(statemachine.State{}, 1)
	w.log = []statemachine.State{{}, first}
	for i := range config.Cores {
		w.acceptedVersions[i] = 1
		w.syncedVersions[i] = 1
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
	w.refused = make([][]bool, total)
	for i := range total {
		w.partitioned[i] = make([]bool, total)
		w.refused[i] = make([]bool, total)
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

// drawJoinAt returns a random instant, in ms, within spanMS after the fleet has
// formed.
func (w *world) drawJoinAt(spanMS int) int64 { return int64(5000 + w.random.IntN(spanMS)) }

// clock returns the time of a node's monotonic clock, which has an offset and drifts.
func (w *world) clock(node *nodeState) time.Time {
	return clockOrigin.Add(node.clockOffset + time.Duration(float64(w.now)*node.clockRate*float64(time.Millisecond)))
}

// start starts a process on a node.
func (w *world) start(node *nodeState) {
	node.startedProcesses++
	proc := &process{node: node, incarnation: node.startedProcesses, holder: lease.NewHolder(node.name, leaseTTL)}
	proc.nextRenewAt = w.now + int64(w.random.IntN(500))
	proc.nextPingAt = w.now + int64(w.random.IntN(500))
	proc.holder.SetCores(w.voters)
	if node.id < w.config.Cores {
		proc.core = w.newCore(node)
	}
	node.process = proc
}

func (w *world) newCore(node *nodeState) *coreState {
	startedAt := w.clock(node)
	if w.config.Mutation == NoStartupGrace {
		startedAt = startedAt.Add(-2 * leaseTTL)
	}
	ttl := leaseTTL
	if w.config.Mutation == ShortCoreLease {
		ttl -= leaseTTL / 5
	}
	return &coreState{
		leases:         lease.NewTable(node.name, ttl, startedAt),
		learnedVersion: w.syncedVersions[node.id],
		caughtUp:       w.config.Mutation == NoCatchUp,
	}
}

// kill ends the process of a node, if there is one. A new one starts after forMS.
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

// reachableMajority returns the running cores to which a core is connected, including
// itself, or nil if they are not a majority.
func (w *world) reachableMajority(from *nodeState) []*nodeState {
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

// propose models consensus as an atomic step: the command is chosen if the core has
// caught up and a majority is reachable.
func (w *world) propose(node *nodeState, command statemachine.Command) (version uint64, chosen bool) {
	reached := w.reachableMajority(node)
	if reached == nil || !node.process.core.caughtUp {
		return 0, false
	}
	version = uint64(len(w.log))
	next, _ := command.Apply(w.log[version-1], version)
	w.log = append(w.log, next)
	for _, other := range reached {
		w.acceptedVersions[other.id] = version
	}
	node.process.core.learnedVersion = version
	w.outcome.Chosen++
	return version, true
}
