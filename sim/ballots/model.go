// Package ballots explores internal/core/ballot: exhaustively in a small world
// of one slot, and at random over many slots, seeds and faults. The decisions
// are those that run in production; only calls, disks and time are the model's.
//
//	go test ./sim/ballots                                             as CI does
//	go test ./sim/ballots -run ExhaustiveLong -long -v -timeout 30m   further
//	go test ./sim/ballots -run 'Random$' -seeds 3000 -seed 1001 -v    more seeds
package ballots

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/core/ballot"
	"stepwick/internal/wire"
)

// Flaw is a rule left out on purpose, to show that the judge sees it.
type Flaw int

// Flaws.
const (
	Sound             Flaw = iota
	LivesHidden            // answers never tell of a later disk life
	LifeForgotten          // an answerer does not keep the life it was told
	PromiseTwice           // a ballot may be promised to two openings
	PartialRebuild         // a wiped core takes the first answer for all
	RebuildWithout         // a wiped core votes at once
	RebuildFromTooFew      // a wiped core takes one answer fewer than a rebuild quorum for enough
	SharedLife             // two processes of one name may announce the same disk life
)

// Bounds of an exploration.
type Bounds struct {
	Ballots    []int  // by core, how many each may open
	Wipes      int    // never of the last disk
	Wiped      string // which cores may be; empty is all
	Crashes    int
	Rebuilds   int // attempts of wiped cores to recover; 0 is one for each wipe and crash
	Duplicates int
	Eager      bool // an answer is taken at once or lost; else it may come at any time
	States     int  // stop after so many; 0 is none
	Flaw       Flaw
}

// Report of an exploration. Trace leads to the violation, if there is one.
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

// world is one state of the model. It is a value: transitions copy it.
type world struct {
	cores   [3]node
	network []*letter // sorted by hash
	bounds  Bounds    // what is left of them
	decided []byte    // the first value that any core took for chosen
	memory  *memory
}

// memory keeps what a node does with a letter: it recurs in many worlds.
type memory struct {
	handed map[[2]uint64]handed
	taken  map[[2]uint64]taken
}

type handed struct {
	node    node
	answer  *letter
	changed bool
}

type taken struct {
	node    node
	letters []*letter
	decided []byte
}

type node struct {
	state     ballot.State
	life      int // incarnation of the process: answers to an earlier one are lost
	run       int // of the proposer
	proposer  *ballot.Proposer
	rebuild   *rebuild
	proposals int
	hash      uint64
}

type rebuild struct {
	life    uint64
	answers map[string]*wire.RecoverResponse
}

// letter is a message under way. Answers name the life and run that asked.
type letter struct {
	hash          uint64
	from, to      int
	life, run     int
	prepare       *wire.PrepareRequest
	prepared      *wire.PrepareResponse
	accept        *wire.AcceptRequest
	accepted      *wire.AcceptResponse
	recover       *wire.RecoverRequest
	recovered     *wire.RecoverResponse
	deliveredOnce bool
}

// step is one transition; it is put into words only when it is shown.
type step struct {
	what   string
	core   int
	letter *letter
}

func (s step) String() string {
	if s.letter != nil {
		return strings.TrimSpace(s.letter.String() + " " + s.what)
	}
	return s.what + " " + names[s.core]
}

// Explore walks every reachable state within the bounds, depth first, and
// stops at the first violation.
func Explore(b Bounds) Report {
	if b.Rebuilds == 0 {
		b.Rebuilds = b.Wipes + b.Crashes
	}
	w := world{bounds: b, memory: &memory{handed: map[[2]uint64]handed{}, taken: map[[2]uint64]taken{}}}
	for i, name := range names {
		state := ballot.Joined{Formation: "f", Voters: names}.Fold(ballot.Blank(name))
		state = ballot.Entered{Lives: map[string]uint64{"a": 1, "b": 1, "c": 1}}.Fold(state)
		w.cores[i] = node{state: state, proposals: b.Ballots[i]}.hashed()
	}
	e := explorer{limit: b.States, seen: map[uint64]struct{}{}}
	e.report.Complete = true
	e.walk(w, 0)
	return e.report
}

type explorer struct {
	report Report
	limit  int
	seen   map[uint64]struct{}
	trace  []step
	buffer []byte
}

func (e *explorer) walk(w world, depth int) bool {
	e.buffer = w.key(e.buffer[:0])
	hash := xxhash.Sum64(e.buffer)
	if _, seen := e.seen[hash]; seen {
		return false
	}
	if e.limit > 0 && len(e.seen) >= e.limit {
		e.report.Complete = false
		return false
	}
	e.seen[hash] = struct{}{}
	e.report.States++
	e.report.Deepest = max(e.report.Deepest, depth)
	if what := w.judge(); what != "" {
		e.report.Violation, e.report.Complete = what, false
		for _, step := range e.trace {
			e.report.Trace = append(e.report.Trace, step.String())
		}
		return true
	}
	return w.each(func(step step, next world) bool {
		e.report.Transitions++
		e.trace = append(e.trace, step)
		found := e.walk(next, depth+1)
		e.trace = e.trace[:len(e.trace)-1]
		return found
	})
}

// judge finds a broken rule: a second value decided, or a decided value that a
// ballot opened now by some majority would not find.
func (w world) judge() string {
	if w.decided == nil {
		return ""
	}
	for _, n := range w.cores {
		if value, learned := n.state.Command(slot); learned && !bytes.Equal(value, w.decided) {
			return fmt.Sprintf("%s took %q for chosen after %q", n.state.Self, value, w.decided)
		}
	}
	for i := range w.cores {
		for j := i + 1; j < len(w.cores); j++ {
			if value, open := found(w.cores[i].state, w.cores[j].state); open && !bytes.Equal(value, w.decided) {
				return fmt.Sprintf("%s and %s would choose %q after %q was chosen", names[i], names[j], value, w.decided)
			}
		}
	}
	return ""
}

// found returns the value that a ballot would take up from two voting cores.
func found(a, b ballot.State) (value []byte, open bool) {
	var top ballot.Ballot
	for _, s := range []ballot.State{a, b} {
		if s.Life() == 0 {
			return nil, false
		}
		if command, learned := s.Command(slot); learned {
			return command, true
		}
		if vote := s.Votes[slot]; top.Below(vote.Accepted) {
			top, value = vote.Accepted, vote.Value
		}
	}
	return value, true
}

// each calls visit with every next state until it returns true.
func (w world) each(visit func(step, world) bool) bool {
	for i, l := range w.network {
		if w.deliver(i, l, visit) {
			return true
		}
	}
	for i := range w.cores {
		if w.open(i, visit) || w.startRebuild(i, visit) || w.wipe(i, visit) || w.crash(i, visit) {
			return true
		}
	}
	return false
}

func (w world) open(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if n.proposals == 0 || n.state.Life() == 0 || n.state.Learned() >= slot {
		return false
	}
	p, req := ballot.Propose(n.state, slot, n.state.NextNumber(slot), fmt.Appendf(nil, "%s%d", names[i], n.run+1))
	n.proposer, n.proposals = &p, n.proposals-1
	n.run++
	w.cores[i] = n.hashed()
	for to := range w.cores {
		w = w.send(letter{from: i, to: to, life: n.life, run: n.run, prepare: req}.summed())
	}
	return visit(step{what: fmt.Sprintf("ballot %d opened by", p.Ballot.Number), core: i}, w)
}

func (w world) startRebuild(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if n.state.Life() != 0 || n.rebuild != nil || w.bounds.Rebuilds == 0 {
		return false
	}
	probes := map[string]*wire.RecoverResponse{}
	for j, other := range w.cores {
		if j != i {
			_, probes[names[j]] = other.state.Recover(&wire.RecoverRequest{Core: names[i], Probe: true})
		}
	}
	life, waiting := n.state.NextLife(probes, 0)
	if waiting != "" {
		return false
	}
	w.bounds.Rebuilds--
	n.rebuild = &rebuild{life: life}
	n.state = ballot.Lived{Core: names[i], Life: life}.Fold(n.state)
	w.cores[i] = n.hashed()
	for to := range w.cores {
		if to != i {
			w = w.send(letter{from: i, to: to, life: n.life, recover: &wire.RecoverRequest{Formation: "f", Core: names[i], Life: life}}.summed())
		}
	}
	return visit(step{what: fmt.Sprintf("life %d announced by", life), core: i}, w)
}

func (w world) wipe(i int, visit func(step, world) bool) bool {
	if w.bounds.Wipes == 0 || w.bounds.Wiped != "" && !strings.Contains(w.bounds.Wiped, names[i]) {
		return false
	}
	if w.cores[(i+1)%3].state.Life() == 0 && w.cores[(i+2)%3].state.Life() == 0 {
		return false
	}
	w.bounds.Wipes--
	n := w.cores[i]
	state := ballot.Joined{Formation: "f", Voters: names}.Fold(ballot.Blank(names[i]))
	if w.bounds.Flaw == RebuildWithout {
		state = ballot.Entered{Lives: n.state.Lives}.Fold(state)
	}
	w.cores[i] = node{state: state, life: n.life + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "wipe", core: i}, w)
}

func (w world) crash(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if w.bounds.Crashes == 0 || n.proposer == nil && n.rebuild == nil {
		return false
	}
	w.bounds.Crashes--
	w.cores[i] = node{state: n.state, life: n.life + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "crash", core: i}, w)
}

// deliver hands letter i over: once, or leaving a duplicate under way.
func (w world) deliver(i int, l *letter, visit func(step, world) bool) bool {
	if w.bounds.Duplicates > 0 && !l.answer() && !l.deliveredOnce {
		again := w
		again.bounds.Duplicates--
		once := *l
		once.deliveredOnce = true
		again.network = slices.Clone(w.network)
		again.network[i] = &once
		if again.hand(l, visit) {
			return true
		}
	}
	w.network = slices.Delete(slices.Clone(w.network), i, i+1)
	return w.hand(l, visit)
}

func (w world) hand(l *letter, visit func(step, world) bool) bool {
	if l.answer() {
		return visit(step{letter: l}, w.take(l))
	}
	key := [2]uint64{w.cores[l.to].hash, l.hash}
	given, known := w.memory.handed[key]
	if !known {
		given = w.decide(l)
		w.memory.handed[key] = given
	}
	w.cores[l.to] = given.node
	if given.answer == nil {
		return given.changed && visit(step{letter: l}, w)
	}
	if !w.bounds.Eager {
		return visit(step{letter: l}, w.send(given.answer))
	}
	return visit(step{letter: l}, w.take(given.answer)) || given.changed && visit(step{letter: l, what: "(answer lost)"}, w)
}

// decide has a core answer a letter; an answer that nobody needs is left out.
func (w world) decide(l *letter) handed {
	answer := &letter{from: l.to, to: l.from, life: l.life, run: l.run}
	n := w.cores[l.to]
	var records []ballot.Record
	switch {
	case l.prepare != nil:
		records, answer.prepared = n.state.Prepare(l.prepare)
		w.bendPrepared(n.state, l.prepare, answer.prepared)
	case l.accept != nil:
		records, answer.accepted = n.state.Accept(l.accept)
		if w.bounds.Flaw == LivesHidden {
			answer.accepted.Lives = firstLives
		}
	case l.recover != nil:
		records, answer.recovered = n.state.Recover(l.recover)
		if w.bounds.Flaw == LifeForgotten {
			records = nil
		}
	}
	for _, record := range records {
		n.state = record.Fold(n.state)
	}
	given := handed{node: n.hashed(), changed: len(records) > 0}
	if !answer.refusal() {
		answer.hash = answer.sum()
		given.answer = answer
	}
	return given
}

var firstLives = map[string]uint64{"a": 1, "b": 1, "c": 1}

func (w world) bendPrepared(s ballot.State, req *wire.PrepareRequest, resp *wire.PrepareResponse) {
	switch w.bounds.Flaw {
	case LivesHidden:
		resp.Lives = firstLives
	case PromiseTwice:
		if vote := s.Votes[req.Slot]; !resp.Promised && resp.Refusal == 0 && !resp.Chosen && vote.Promised == ballot.Of(req.Ballot) {
			resp.Promised, resp.AcceptedBallot, resp.AcceptedValue = true, vote.Accepted.Wire(), vote.Value
		}
	}
}

// refusal tells whether an answer gives its asker nothing to go on. A letter
// that only brings one is never worth delivering: whatever can happen after it
// can happen while it is still under way.
func (l *letter) refusal() bool {
	switch {
	case l.prepared != nil:
		return !l.prepared.Promised && !l.prepared.Chosen
	case l.accepted != nil:
		return !l.accepted.Accepted && !l.accepted.Chosen
	}
	return !l.recovered.Ok
}

// take gives an answer to whom it was meant for, if that one still waits.
func (w world) take(l *letter) world {
	n := w.cores[l.to]
	if n.life != l.life {
		return w
	}
	key := [2]uint64{n.hash, l.hash}
	got, known := w.memory.taken[key]
	if !known {
		switch {
		case l.recovered != nil:
			got = taken{node: w.rebuilt(n, l)}
		case n.proposer == nil || n.run != l.run:
			got = taken{node: n}
		default:
			got = w.proposed(n, l)
		}
		w.memory.taken[key] = got
	}
	w.cores[l.to] = got.node
	if got.decided != nil && w.decided == nil {
		w.decided = got.decided
	}
	for _, letter := range got.letters {
		w = w.send(letter)
	}
	return w
}

func (w world) proposed(n node, l *letter) taken {
	var p ballot.Proposer
	var next ballot.Step
	if l.prepared != nil {
		p, next = n.proposer.Promise(l.prepared)
	} else {
		p, next = n.proposer.Accepted(l.accepted)
	}
	n.proposer = &p
	if p.Phase == ballot.Ended {
		n.proposer = nil
	}
	got := taken{}
	if next.Chosen {
		records, _, _ := n.state.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: slot, Command: next.Value}}})
		for _, record := range records {
			n.state = record.Fold(n.state)
		}
		got.decided = next.Value
	}
	if next.Accept != nil {
		if w.bounds.Flaw == LivesHidden {
			next.Accept.PromisedLives = nil
		}
		for to := range w.cores {
			got.letters = append(got.letters, letter{from: l.to, to: to, life: n.life, run: n.run, accept: next.Accept}.summed())
		}
	}
	got.node = n.hashed()
	return got
}

func (w world) rebuilt(n node, l *letter) node {
	if n.rebuild == nil || n.state.Life() != 0 || !l.recovered.Ok {
		return n
	}
	answers := maps.Clone(n.rebuild.answers)
	if answers == nil {
		answers = map[string]*wire.RecoverResponse{}
	}
	answers[names[l.from]] = l.recovered
	n.rebuild = &rebuild{life: n.rebuild.life, answers: answers}
	if w.bounds.Flaw == PartialRebuild {
		for _, other := range n.state.Others() {
			if answers[other] == nil {
				answers[other] = &wire.RecoverResponse{Ok: true, Formation: "f", Lives: l.recovered.Lives}
			}
		}
	}
	if record, waiting := n.state.Enter(n.rebuild.life, answers); waiting == "" {
		n.state = record.Fold(n.state)
		n.rebuild = nil
	}
	return n.hashed()
}

func (l *letter) answer() bool {
	return l.prepared != nil || l.accepted != nil || l.recovered != nil
}

func (l *letter) String() string {
	head := fmt.Sprintf("%s to %s (life %d, run %d) ", names[l.from], names[l.to], l.life, l.run)
	switch {
	case l.prepare != nil:
		return head + fmt.Sprintf("prepare %d", l.prepare.Ballot.Number)
	case l.prepared != nil:
		m := l.prepared
		return head + fmt.Sprintf("promised %v %v accepted %v %q chosen %v %q lives %v", m.Promised, ballot.Of(m.PromisedBallot),
			ballot.Of(m.AcceptedBallot), m.AcceptedValue, m.Chosen, m.ChosenValue, m.Lives)
	case l.accept != nil:
		return head + fmt.Sprintf("accept %d %q on lives %v", l.accept.Ballot.Number, l.accept.Value, l.accept.PromisedLives)
	case l.accepted != nil:
		m := l.accepted
		return head + fmt.Sprintf("accepted %v of %v lives %v chosen %v %q", m.Accepted, ballot.Of(m.PromisedBallot), m.Lives, m.Chosen, m.ChosenValue)
	case l.recover != nil:
		return head + fmt.Sprintf("recover life %d", l.recover.Life)
	}
	m := l.recovered
	return head + fmt.Sprintf("recovered %v votes %v chosen %v lives %v", m.Ok, m.Votes, m.Chosen, m.Lives)
}

// send puts a letter under way; an equal one already there stands for both.
// An answer to a process or proposer that is gone is lost at once.
func (w world) send(l *letter) world {
	if l.answer() {
		n := w.cores[l.to]
		if n.life != l.life || l.recovered == nil && (n.proposer == nil || n.run != l.run) || l.recovered != nil && n.rebuild == nil {
			return w
		}
	}
	at, there := slices.BinarySearchFunc(w.network, l.hash, func(l *letter, hash uint64) int { return cmp.Compare(l.hash, hash) })
	if !there {
		w.network = slices.Insert(slices.Clone(w.network), at, l)
	}
	return w
}

func (l letter) summed() *letter {
	l.hash = l.sum()
	return &l
}

func (l *letter) sum() uint64 {
	to := append(make([]byte, 0, 256), byte(l.from), byte(l.to), byte(l.life), byte(l.run))
	switch {
	case l.prepare != nil:
		to = binary.AppendUvarint(append(to, 1), l.prepare.Ballot.Number)
	case l.prepared != nil:
		m := l.prepared
		to = appendBallots(append(to, 2, bit(m.Promised), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot, m.AcceptedBallot)
		to = appendLives(append(append(to, m.AcceptedValue...), m.ChosenValue...), m.Lives)
	case l.accept != nil:
		to = append(binary.AppendUvarint(append(to, 3), l.accept.Ballot.Number), l.accept.Value...)
		to = appendLives(to, l.accept.PromisedLives)
	case l.accepted != nil:
		m := l.accepted
		to = appendBallots(append(to, 4, bit(m.Accepted), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot)
		to = appendLives(append(to, m.ChosenValue...), m.Lives)
	case l.recover != nil:
		to = append(to, 5, byte(l.recover.Life))
	case l.recovered != nil:
		to = appendRecovered(append(to, 6), l.recovered)
	}
	return xxhash.Sum64(to)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendLives(to []byte, lives map[string]uint64) []byte {
	for _, name := range names {
		to = append(to, byte(lives[name]))
	}
	return to
}

func appendBallots(to []byte, ballots ...*wire.Ballot) []byte {
	for _, b := range ballots {
		to = append(append(to, byte(b.GetNumber())), b.GetCore()...)
	}
	return append(to, 0)
}

func appendRecovered(to []byte, m *wire.RecoverResponse) []byte {
	to = appendLives(append(to, bit(m.Ok), byte(len(m.Votes)), byte(len(m.Chosen))), m.Lives)
	for _, vote := range m.Votes {
		to = append(appendBallots(to, vote.Promised, vote.Accepted), vote.Value...)
	}
	for _, chosen := range m.Chosen {
		to = append(to, chosen.Command...)
	}
	return to
}

// hashed returns the node with the hash of all that makes a difference later.
func (n node) hashed() node {
	to := n.state.Key(append(append(make([]byte, 0, 512), n.state.Self...), byte(n.life), byte(n.run), byte(n.proposals)))
	if n.proposer != nil {
		to = n.proposer.Key(append(to, 0xf0))
	}
	if n.rebuild != nil {
		to = append(to, 0xf1, byte(n.rebuild.life))
		for _, name := range names {
			if answer := n.rebuild.answers[name]; answer != nil {
				to = appendRecovered(append(to, name...), answer)
			}
		}
	}
	n.hash = xxhash.Sum64(to)
	return n
}

func (w world) key(to []byte) []byte {
	for _, n := range w.cores {
		to = binary.LittleEndian.AppendUint64(to, n.hash)
	}
	for _, l := range w.network {
		to = binary.LittleEndian.AppendUint64(to, l.hash)
		if l.deliveredOnce {
			to = append(to, 0xf3)
		}
	}
	to = append(to, 0xf4, byte(w.bounds.Wipes), byte(w.bounds.Crashes), byte(w.bounds.Rebuilds), byte(w.bounds.Duplicates))
	return append(to, w.decided...)
}
