package paxos

import (
	"encoding/binary"
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Phase of a proposer.
type Phase int

// Phases.
const (
	Preparing Phase = iota
	Accepting
	Ended
)

// Step tells the runtime what to do after an answer. At most one of its parts
// is set; the zero Step is to wait for more answers.
type Step struct {
	Accept *wire.AcceptRequest // send it to every voter
	Chosen bool                // Value is chosen in the slot
	Value  []byte
	Behind string // this core knows the slot as learned, but no longer its value: fetch from it
	Lost   bool   // no majority in this ballot: try a higher one
}

type promise struct {
	life     uint64
	accepted Ballot
	value    []byte
}

// Proposer is one ballot in one slot. It is a value: each answer gives the next
// one. Answers of earlier phases still bring news of disk lives.
type Proposer struct {
	Formation string
	Slot      uint64
	Ballot    Ballot
	Own       []byte // proposed if no accepted value is found
	Voters    []string
	Phase     Phase
	Seen      Ballot // highest ballot met
	Learned   uint64 // highest learned version met
	Tip       string // the core that learned it

	value    []byte
	promises map[string]promise
	accepts  map[string]uint64
	answered map[string]bool // of the present phase, failures included
	lives    map[string]uint64
}

// Propose opens a ballot in a slot and returns the request for every voter.
func Propose(s State, slot, number uint64, own []byte) (Proposer, *wire.PrepareRequest) {
	b := Ballot{Number: number, Core: s.Self}
	p := Proposer{Formation: s.Formation, Slot: slot, Ballot: b, Own: own, Voters: s.Voters, Seen: b, lives: maps.Clone(s.Lives)}
	return p, &wire.PrepareRequest{Formation: s.Formation, Slot: slot, Ballot: b.Wire(), From: s.Self}
}

// Promise takes an answer to the Prepare.
func (p Proposer) Promise(resp *wire.PrepareResponse) (Proposer, Step) {
	p = p.heard(resp.Lives, Of(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase == Ended {
		return p, Step{}
	}
	if resp.Chosen {
		return p.end(Step{Chosen: true, Value: resp.ChosenValue})
	}
	if apierror.Code(resp.Refusal) == apierror.VersionBehind {
		return p.end(Step{Behind: resp.Core})
	}
	if p.Phase != Preparing {
		return p, Step{}
	}
	p.answered = with(p.answered, resp.Core, true)
	if resp.Promised && Of(resp.PromisedBallot) == p.Ballot && slices.Contains(p.Voters, resp.Core) {
		p.promises = with(p.promises, resp.Core,
			promise{life: resp.Lives[resp.Core], accepted: Of(resp.AcceptedBallot), value: resp.AcceptedValue})
	}
	counted := p.counted()
	if len(counted) < p.majority() {
		return p.hopeless(len(counted))
	}
	var best promise
	promised := make(map[string]uint64, len(counted))
	for core, given := range counted {
		promised[core] = given.life
		if best.accepted.Below(given.accepted) {
			best = given
		}
	}
	p.Phase, p.answered, p.value = Accepting, nil, p.Own
	if !best.accepted.Zero() {
		p.value = best.value
	}
	return p, Step{Accept: &wire.AcceptRequest{Formation: p.Formation, Slot: p.Slot, Ballot: p.Ballot.Wire(), Value: p.value,
		From: p.Ballot.Core, PromisedLives: promised}}
}

// Accepted takes an answer to the Accept.
func (p Proposer) Accepted(resp *wire.AcceptResponse) (Proposer, Step) {
	p = p.heard(resp.Lives, Of(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase != Accepting {
		return p, Step{}
	}
	if resp.Chosen {
		return p.end(Step{Chosen: true, Value: resp.ChosenValue})
	}
	if apierror.Code(resp.Refusal) == apierror.VersionBehind {
		return p.end(Step{Behind: resp.Core})
	}
	p.answered = with(p.answered, resp.Core, true)
	if resp.Accepted && slices.Contains(p.Voters, resp.Core) {
		p.accepts = with(p.accepts, resp.Core, resp.Lives[resp.Core])
	}
	if counted := p.countedAccepts(); counted < p.majority() {
		return p.hopeless(counted)
	}
	return p.end(Step{Chosen: true, Value: p.value})
}

// Failed takes note that a voter gave no answer in the present phase.
func (p Proposer) Failed(core string) (Proposer, Step) {
	if p.Phase == Ended {
		return p, Step{}
	}
	p.answered = with(p.answered, core, true)
	if p.Phase == Preparing {
		return p.hopeless(len(p.counted()))
	}
	return p.hopeless(p.countedAccepts())
}

func (p Proposer) countedAccepts() int {
	counted := 0
	for core, life := range p.accepts {
		if life >= p.lives[core] {
			counted++
		}
	}
	return counted
}

// counted returns the promises that no later disk life takes back.
func (p Proposer) counted() map[string]promise {
	counted := make(map[string]promise, len(p.promises))
	for core, given := range p.promises {
		if given.life >= p.lives[core] {
			counted[core] = given
		}
	}
	return counted
}

func (p Proposer) majority() int { return len(p.Voters)/2 + 1 }

func (p Proposer) hopeless(counted int) (Proposer, Step) {
	if counted+len(p.Voters)-len(p.answered) < p.majority() {
		return p.end(Step{Lost: true})
	}
	return p, Step{}
}

func (p Proposer) end(step Step) (Proposer, Step) {
	p.Phase = Ended
	return p, step
}

func (p Proposer) heard(lives map[string]uint64, promised Ballot, learned uint64, core string) Proposer {
	p.Seen = highest(p.Seen, promised)
	if learned > p.Learned {
		p.Learned, p.Tip = learned, core
	}
	known := make(map[string]uint64, len(p.lives)+len(lives))
	maps.Copy(known, p.lives)
	raise(known, lives)
	p.lives = known
	return p
}

func with[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

// Key appends a canonical form of the proposer: two that behave alike from here
// on have the same.
func (p Proposer) Key(to []byte) []byte {
	to = append(to, byte(p.Phase))
	if p.Phase == Ended {
		return to
	}
	to = append(p.Ballot.key(to), p.value...)
	for _, core := range p.Voters {
		given, promised := p.promises[core]
		if promised {
			to = append(given.accepted.key(append(to, 1, byte(given.life))), given.value...)
		}
		life, accepted := p.accepts[core]
		if accepted {
			to = append(to, 2, byte(life))
		}
		to = append(to, 3, byte(p.lives[core]))
		if p.answered[core] {
			to = append(to, 4)
		}
	}
	return to
}

func (b Ballot) key(to []byte) []byte {
	return append(append(binary.AppendUvarint(to, b.Number), b.Core...), 0)
}

// Key appends a canonical form of the state.
func (s State) Key(to []byte) []byte {
	to = append(to, s.Formation...)
	for _, core := range s.Voters {
		to = binary.AppendUvarint(to, s.Lives[core])
	}
	to = binary.AppendUvarint(binary.AppendUvarint(to, s.Announced), s.SnapshotSlot)
	for _, chosen := range s.Chosen {
		to = append(append(to, 5), chosen.Command...)
	}
	for _, slot := range slices.Sorted(maps.Keys(s.Votes)) {
		vote := s.Votes[slot]
		to = vote.Accepted.key(vote.Promised.key(binary.AppendUvarint(append(to, 6), slot)))
		to = append(to, vote.Value...)
	}
	return to
}
