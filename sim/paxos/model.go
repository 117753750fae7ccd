// Package paxos model-checks internal/decision/paxos. Explore visits every
// reachable state of a small model with three cores and one slot; Run simulates
// many slots in virtual time under random faults that a seed determines. Both call
// the production package; only calls, disks and time are simulated.
//
//	go test ./sim/paxos                                             the runs of CI
//	go test ./sim/paxos -run ExhaustiveLong -long -v -timeout 30m   larger models
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

// Flaw is a deliberate defect of the protocol. Each shows that the checker detects
// the violation that the disabled rule prevents.
type Flaw int

// Flaws. NoFlaw is the protocol as implemented.
const (
	NoFlaw               Flaw = iota
	IncarnationsOmitted       // answers report no disk incarnation after the first
	IncarnationForgotten      // an acceptor does not record an announced disk incarnation
	PromiseTwice              // an acceptor may promise the same ballot twice
	PartialRecovery           // a core that lost its disk treats the first answer as a recovery quorum
	VoteWithoutRecovery       // a core that lost its disk votes without recovery
	SharedIncarnation         // two processes with the same name may announce the same disk incarnation
)

// Bounds limits an exploration.
type Bounds struct {
	Ballots          []int  // number of ballots that each core may open
	Wipes            int    // number of disk losses; at least one disk always survives
	WipeableCores    string // names of the cores that may lose their disk; empty means all
	Crashes          int
	Recoveries       int // number of recovery attempts; 0 means one for each wipe and crash
	Duplicates       int
	ImmediateAnswers bool // an answer arrives immediately or is lost; otherwise it may arrive at any time
	MaxStates        int  // maximum number of visited states; 0 means unlimited
	Flaw             Flaw
}

// Report is the result of an exploration. Trace holds the transitions that lead to
// the violation, if one was found.
type Report struct {
	States      int
	Transitions int
	MaxDepth    int
	Complete    bool // every reachable state was visited
	Violation   string
	Trace       []string
}

const modelSlot = 1

var modelCoreNames = []string{"a", "b", "c"}

// world is one state of the model. It is an immutable value: a transition returns a
// modified copy. All copies share the cache.
type world struct {
	cores       [3]modelCore
	network     []*message // sorted by hash
	bounds      Bounds     // remaining bounds
	chosenValue []byte     // the first value that a proposer found to be chosen; nil if none
	cache       *handlerCache
}

// handlerKey identifies the handling of a message by a core.
type handlerKey struct {
	coreHash    uint64
	messageHash uint64
}

// handlerCache caches the result of handling a message, which recurs in many worlds.
type handlerCache struct {
	requests map[handlerKey]requestResult
	answers  map[handlerKey]answerResult
}

type requestResult struct {
	core    modelCore
	answer  *message
	changed bool
}

type answerResult struct {
	core        modelCore
	messages    []*message
	chosenValue []byte
}

// modelCore is the state of one core. hash covers all fields that affect its later
// behaviour.
type modelCore struct {
	state              paxos.State
	processIncarnation int // answers to an earlier process are dropped
	proposalNumber     int // number of ballots that the core has opened
	proposer           *paxos.Proposer
	recovery           *recovery
	remainingProposals int
	hash               uint64
}

type recovery struct {
	incarnation uint64
	answers     map[string]*wire.RecoverResponse
}

// step describes one transition. It is formatted only when a trace is printed.
type step struct {
	description string
	core        int
	message     *message
}

func (s step) String() string {
	if s.message != nil {
		return strings.TrimSpace(s.message.String() + " " + s.description)
	}
	return s.description + " " + modelCoreNames[s.core]
}

// Explore visits every state that is reachable within the bounds, depth first. It
// stops at the first violation.
func Explore(b Bounds) Report {
	if b.Recoveries == 0 {
		b.Recoveries = b.Wipes + b.Crashes
	}
	cache := &handlerCache{requests: map[handlerKey]requestResult{}, answers: map[handlerKey]answerResult{}}
	w := world{bounds: b, cache: cache}
	for i, name := range modelCoreNames {
		state := paxos.FormationJoined{Formation: modelFormation, Voters: modelCoreNames}.Apply(paxos.BlankState(name))
		state = paxos.RecoveryCompleted{Incarnations: firstIncarnations}.Apply(state)
		w.cores[i] = modelCore{state: state, remainingProposals: b.Ballots[i]}.withHash()
	}
	e := explorer{maxStates: b.MaxStates, visited: map[uint64]struct{}{}}
	e.report.Complete = true
	e.explore(w, 0)
	return e.report
}

type explorer struct {
	report    Report
	maxStates int
	visited   map[uint64]struct{}
	trace     []step
	buffer    []byte
}

// explore visits a world and all its successors. It reports whether it found a
// violation.
func (e *explorer) explore(w world, depth int) bool {
	e.buffer = w.appendKey(e.buffer[:0])
	hash := xxhash.Sum64(e.buffer)
	if _, seen := e.visited[hash]; seen {
		return false
	}
	if e.maxStates > 0 && len(e.visited) >= e.maxStates {
		e.report.Complete = false
		return false
	}
	e.visited[hash] = struct{}{}
	e.report.States++
	e.report.MaxDepth = max(e.report.MaxDepth, depth)
	if violation := w.findViolation(); violation != "" {
		e.report.Violation = violation
		e.report.Complete = false
		for _, step := range e.trace {
			e.report.Trace = append(e.report.Trace, step.String())
		}
		return true
	}
	return w.forEachSuccessor(func(step step, next world) bool {
		e.report.Transitions++
		e.trace = append(e.trace, step)
		violationFound := e.explore(next, depth+1)
		e.trace = e.trace[:len(e.trace)-1]
		return violationFound
	})
}

// findViolation returns a description of the violated rule, or "". Once a value is
// chosen, no core may learn another one, and a ballot promised by any majority must
// propose the chosen value.
func (w world) findViolation() string {
	if w.chosenValue == nil {
		return ""
	}
	for _, c := range w.cores {
		if value, learned := c.state.LearnedValue(modelSlot); learned && !bytes.Equal(value, w.chosenValue) {
			return fmt.Sprintf("%s learned %q as chosen after %q was chosen", c.state.Self, value, w.chosenValue)
		}
	}
	for i := range w.cores {
		for j := i + 1; j < len(w.cores); j++ {
			if value, bothVote := valueToPropose(w.cores[i].state, w.cores[j].state); bothVote && !bytes.Equal(value, w.chosenValue) {
				return fmt.Sprintf("a ballot promised by %s and %s would propose %q after %q was chosen", modelCoreNames[i], modelCoreNames[j], value, w.chosenValue)
			}
		}
	}
	return ""
}

// valueToPropose returns the value that a ballot would have to propose if both cores
// promised it. bothVote is false if one of them does not vote.
func valueToPropose(a, b paxos.State) (value []byte, bothVote bool) {
	var highest paxos.Ballot
	for _, state := range []paxos.State{a, b} {
		if state.Incarnation() == 0 {
			return nil, false
		}
		if learnedValue, learned := state.LearnedValue(modelSlot); learned {
			return learnedValue, true
		}
		if accepted := state.OpenSlots[modelSlot]; highest.Less(accepted.Accepted) {
			highest = accepted.Accepted
			value = accepted.Value
		}
	}
	return value, true
}

// forEachSuccessor calls visit with every successor until visit returns true, and
// reports whether it did.
func (w world) forEachSuccessor(visit func(step, world) bool) bool {
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

// Tags separate the parts of the hash keys of cores and worlds.
const (
	proposerTag      byte = 0xf0
	recoveryTag      byte = 0xf1
	deliveredOnceTag byte = 0xf3
	boundsTag        byte = 0xf4
)

// nodeBufferSize is the initial capacity, in bytes, of the hash key of a core.
const nodeBufferSize = 512

// withHash returns the core with its hash updated.
func (c modelCore) withHash() modelCore {
	key := make([]byte, 0, nodeBufferSize)
	key = append(key, c.state.Self...)
	key = append(key, byte(c.processIncarnation), byte(c.proposalNumber), byte(c.remainingProposals))
	key = c.state.AppendKey(key)
	if c.proposer != nil {
		key = c.proposer.AppendKey(append(key, proposerTag))
	}
	if c.recovery != nil {
		key = append(key, recoveryTag, byte(c.recovery.incarnation))
		for _, name := range modelCoreNames {
			if answer := c.recovery.answers[name]; answer != nil {
				key = appendRecoverResponse(append(key, name...), answer)
			}
		}
	}
	c.hash = xxhash.Sum64(key)
	return c
}

// appendKey appends a canonical encoding of the world. Worlds with equal encodings
// have the same successors.
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
	return append(key, w.chosenValue...)
}
