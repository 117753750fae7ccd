// Package paxos explores internal/decision/paxos: exhaustively in a small world
// of one slot, and at random over many slots, seeds and faults. The decisions
// are those that run in production; only calls, disks and time are the model's.
//
//	go test ./sim/paxos                                             as CI does
//	go test ./sim/paxos -run ExhaustiveLong -long -v -timeout 30m   further
//	go test ./sim/paxos -run 'Random$' -seeds 3000 -seed 1001 -v    more seeds
package paxos

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// Flaw is a rule left out on purpose, to show that the checker finds the violation.
type Flaw int

// Flaws.
const (
	Sound                Flaw = iota
	IncarnationsHidden        // answers omit later disk incarnations
	IncarnationForgotten      // an acceptor does not record the disk incarnation that is announced
	PromiseTwice              // a ballot may be promised twice
	PartialRecovery           // a wiped core takes the first answer for a recovery quorum
	VoteWithoutRecovery       // a wiped core votes without a recovery
	SharedIncarnation         // two processes of one name may announce the same disk incarnation
)

// Bounds limit an exploration.
type Bounds struct {
	Ballots    []int  // by core, how many each may open
	Wipes      int    // never of the last disk
	Wiped      string // which cores may be; empty is all
	Crashes    int
	Recoveries int // attempts of wiped cores to recover; 0 is one for each wipe and crash
	Duplicates int
	Eager      bool // an answer arrives at once or is lost; else it may arrive at any time
	States     int  // stop after so many; 0 is none
	Flaw       Flaw
}

// Report is the result of an exploration. Trace leads to the violation, if there is one.
type Report struct {
	States      int
	Transitions int
	Deepest     int
	Complete    bool // every reachable state was seen
	Violation   string
	Trace       []string
}

const slot = 1

var names = []string{"a", "b", "c"}

// world is one state of the model. It is a value: transitions copy it, and share
// the cache.
type world struct {
	cores   [3]node
	network []*message // sorted by hash
	bounds  Bounds     // what is left of them
	decided []byte     // the first value that any core took for chosen
	cache   *handlerCache
}

// handling identifies the handling of a message by the hashes of the node and
// the message.
type handling struct {
	node    uint64
	message uint64
}

// handlerCache keeps what a node does with a message, which recurs in many worlds.
type handlerCache struct {
	requests map[handling]requestResult
	answers  map[handling]answerResult
}

type requestResult struct {
	node    node
	answer  *message
	changed bool
}

type answerResult struct {
	node     node
	messages []*message
	decided  []byte
}

type node struct {
	state              paxos.State
	processIncarnation int // answers to an earlier process are lost
	run                int // of the proposer
	proposer           *paxos.Proposer
	recovery           *recovery
	proposals          int
	hash               uint64
}

type recovery struct {
	incarnation uint64
	answers     map[string]*wire.RecoverResponse
}

// step is one transition; it is formatted only when it is printed.
type step struct {
	description string
	core        int
	message     *message
}

func (s step) String() string {
	if s.message != nil {
		return strings.TrimSpace(s.message.String() + " " + s.description)
	}
	return s.description + " " + names[s.core]
}

// Explore visits every reachable state within the bounds, depth first, and
// stops at the first violation.
func Explore(b Bounds) Report {
	if b.Recoveries == 0 {
		b.Recoveries = b.Wipes + b.Crashes
	}
	cache := &handlerCache{requests: map[handling]requestResult{}, answers: map[handling]answerResult{}}
	w := world{bounds: b, cache: cache}
	for i, name := range names {
		state := paxos.FormationJoined{Formation: modelFormation, Voters: names}.Apply(paxos.BlankState(name))
		state = paxos.RecoveryCompleted{Incarnations: firstIncarnations}.Apply(state)
		w.cores[i] = node{state: state, proposals: b.Ballots[i]}.hashed()
	}
	e := explorer{limit: b.States, visited: map[uint64]struct{}{}}
	e.report.Complete = true
	e.explore(w, 0)
	return e.report
}

type explorer struct {
	report  Report
	limit   int
	visited map[uint64]struct{}
	trace   []step
	buffer  []byte
}

func (e *explorer) explore(w world, depth int) bool {
	e.buffer = w.appendKey(e.buffer[:0])
	hash := xxhash.Sum64(e.buffer)
	if _, seen := e.visited[hash]; seen {
		return false
	}
	if e.limit > 0 && len(e.visited) >= e.limit {
		e.report.Complete = false
		return false
	}
	e.visited[hash] = struct{}{}
	e.report.States++
	e.report.Deepest = max(e.report.Deepest, depth)
	if violation := w.check(); violation != "" {
		e.report.Violation = violation
		e.report.Complete = false
		for _, step := range e.trace {
			e.report.Trace = append(e.report.Trace, step.String())
		}
		return true
	}
	return w.each(func(step step, next world) bool {
		e.report.Transitions++
		e.trace = append(e.trace, step)
		found := e.explore(next, depth+1)
		e.trace = e.trace[:len(e.trace)-1]
		return found
	})
}

// check finds a broken rule: a second value decided, or a decided value that a
// ballot opened now by some majority would not find.
func (w world) check() string {
	if w.decided == nil {
		return ""
	}
	for _, n := range w.cores {
		if value, learned := n.state.LearnedValue(slot); learned && !bytes.Equal(value, w.decided) {
			return fmt.Sprintf("%s took %q for chosen after %q", n.state.Self, value, w.decided)
		}
	}
	for i := range w.cores {
		for j := i + 1; j < len(w.cores); j++ {
			if value, open := acceptedValue(w.cores[i].state, w.cores[j].state); open && !bytes.Equal(value, w.decided) {
				return fmt.Sprintf("%s and %s would choose %q after %q was chosen", names[i], names[j], value, w.decided)
			}
		}
	}
	return ""
}

// acceptedValue returns the value that a ballot would take up from two voting cores.
func acceptedValue(a, b paxos.State) (value []byte, open bool) {
	var highest paxos.Ballot
	for _, state := range []paxos.State{a, b} {
		if state.Incarnation() == 0 {
			return nil, false
		}
		if command, learned := state.LearnedValue(slot); learned {
			return command, true
		}
		if accepted := state.OpenSlots[slot]; highest.Less(accepted.Accepted) {
			highest = accepted.Accepted
			value = accepted.Value
		}
	}
	return value, true
}

// each calls visit with every next state until it returns true.
func (w world) each(visit func(step, world) bool) bool {
	for i, msg := range w.network {
		if w.deliver(i, msg, visit) {
			return true
		}
	}
	for i := range w.cores {
		if w.openBallot(i, visit) || w.startRecovery(i, visit) || w.wipe(i, visit) || w.crash(i, visit) {
			return true
		}
	}
	return false
}

// firstIncarnations are the disk incarnations before any wipe.
var firstIncarnations = map[string]uint64{"a": 1, "b": 1, "c": 1}

// Tags separate the parts of the keys of nodes and worlds.
const (
	proposerTag      byte = 0xf0
	recoveryTag      byte = 0xf1
	deliveredOnceTag byte = 0xf3
	boundsTag        byte = 0xf4
)

// nodeBufferSize is enough for the nodes of small worlds.
const nodeBufferSize = 512

// hashed returns the node with the hash of all that makes a difference later.
func (n node) hashed() node {
	key := make([]byte, 0, nodeBufferSize)
	key = append(key, n.state.Self...)
	key = append(key, byte(n.processIncarnation), byte(n.run), byte(n.proposals))
	key = n.state.AppendKey(key)
	if n.proposer != nil {
		key = n.proposer.AppendKey(append(key, proposerTag))
	}
	if n.recovery != nil {
		key = append(key, recoveryTag, byte(n.recovery.incarnation))
		for _, name := range names {
			if answer := n.recovery.answers[name]; answer != nil {
				key = appendRecovered(append(key, name...), answer)
			}
		}
	}
	n.hash = xxhash.Sum64(key)
	return n
}

// appendKey appends a canonical form of the world: two with the same have the
// same future.
func (w world) appendKey(key []byte) []byte {
	for _, core := range w.cores {
		key = binary.LittleEndian.AppendUint64(key, core.hash)
	}
	for _, msg := range w.network {
		key = binary.LittleEndian.AppendUint64(key, msg.hash)
		if msg.deliveredOnce {
			key = append(key, deliveredOnceTag)
		}
	}
	key = append(key, boundsTag, byte(w.bounds.Wipes), byte(w.bounds.Crashes), byte(w.bounds.Recoveries), byte(w.bounds.Duplicates))
	return append(key, w.decided...)
}
