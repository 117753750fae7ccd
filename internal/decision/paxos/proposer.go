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
	Accept    *wire.AcceptRequest // send it to every voter
	Chosen    bool                // Value is chosen in the slot
	Value     []byte
	LearnedBy string // this core knows the slot as learned, but no longer its value: fetch from it
	Lost      bool   // no majority in this ballot: try a higher one
}

type countedPromise struct {
	incarnation uint64
	accepted    Ballot
	value       []byte
}

// Proposer is one ballot in one slot. It is a value: each answer gives the next
// one. Answers of earlier phases still bring news of disk lives.
type Proposer struct {
	Formation        string
	Slot             uint64
	Ballot           Ballot
	InitialValue     []byte // proposed if no accepted value is found
	Voters           []string
	Phase            Phase
	HighestBallot    Ballot // maxBallot ballot met
	HighestLearned   uint64 // maxBallot learned version met
	HighestLearnedBy string // the core that learned it

	value        []byte
	promises     map[string]countedPromise
	acceptedBy   map[string]uint64
	answered     map[string]bool // of the present phase, failures included
	incarnations map[string]uint64
}

// NewProposer opens a ballot in a slot and returns the request for every voter.
func NewProposer(s State, slot, number uint64, own []byte) (Proposer, *wire.PrepareRequest) {
	b := Ballot{Number: number, Core: s.Self}
	p := Proposer{Formation: s.Formation, Slot: slot, Ballot: b, InitialValue: own, Voters: s.Voters, HighestBallot: b, incarnations: maps.Clone(s.Incarnations)}
	return p, &wire.PrepareRequest{Formation: s.Formation, Slot: slot, Ballot: b.ToWire(), From: s.Self}
}

// HandlePrepare takes an answer to the Prepare.
func (p Proposer) HandlePrepare(resp *wire.PrepareResponse) (Proposer, Step) {
	p = p.observe(resp.Lives, BallotFromWire(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase == Ended {
		return p, Step{}
	}
	if resp.Chosen {
		return p.end(Step{Chosen: true, Value: resp.ChosenValue})
	}
	if apierror.Code(resp.Refusal) == apierror.VersionBehind {
		return p.end(Step{LearnedBy: resp.Core})
	}
	if p.Phase != Preparing {
		return p, Step{}
	}
	p.answered = withEntry(p.answered, resp.Core, true)
	if resp.Promised && BallotFromWire(resp.PromisedBallot) == p.Ballot && slices.Contains(p.Voters, resp.Core) {
		p.promises = withEntry(p.promises, resp.Core,
			countedPromise{incarnation: resp.Lives[resp.Core], accepted: BallotFromWire(resp.AcceptedBallot), value: resp.AcceptedValue})
	}
	counted := p.validPromises()
	if len(counted) < p.quorum() {
		return p.awaitQuorum(len(counted))
	}
	var best countedPromise
	promised := make(map[string]uint64, len(counted))
	for core, given := range counted {
		promised[core] = given.incarnation
		if best.accepted.Less(given.accepted) {
			best = given
		}
	}
	p.Phase, p.answered, p.value = Accepting, nil, p.InitialValue
	if !best.accepted.IsZero() {
		p.value = best.value
	}
	return p, Step{Accept: &wire.AcceptRequest{Formation: p.Formation, Slot: p.Slot, Ballot: p.Ballot.ToWire(), Value: p.value,
		From: p.Ballot.Core, PromisedLives: promised}}
}

// HandleAccept takes an answer to the Accept.
func (p Proposer) HandleAccept(resp *wire.AcceptResponse) (Proposer, Step) {
	p = p.observe(resp.Lives, BallotFromWire(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase != Accepting {
		return p, Step{}
	}
	if resp.Chosen {
		return p.end(Step{Chosen: true, Value: resp.ChosenValue})
	}
	if apierror.Code(resp.Refusal) == apierror.VersionBehind {
		return p.end(Step{LearnedBy: resp.Core})
	}
	p.answered = withEntry(p.answered, resp.Core, true)
	if resp.Accepted && slices.Contains(p.Voters, resp.Core) {
		p.acceptedBy = withEntry(p.acceptedBy, resp.Core, resp.Lives[resp.Core])
	}
	if counted := p.validAccepts(); counted < p.quorum() {
		return p.awaitQuorum(counted)
	}
	return p.end(Step{Chosen: true, Value: p.value})
}

// HandleFailure takes note that a voter gave no answer in the present phase.
func (p Proposer) HandleFailure(core string) (Proposer, Step) {
	if p.Phase == Ended {
		return p, Step{}
	}
	p.answered = withEntry(p.answered, core, true)
	if p.Phase == Preparing {
		return p.awaitQuorum(len(p.validPromises()))
	}
	return p.awaitQuorum(p.validAccepts())
}

func (p Proposer) validAccepts() int {
	counted := 0
	for core, life := range p.acceptedBy {
		if life >= p.incarnations[core] {
			counted++
		}
	}
	return counted
}

// validPromises returns the promises that no later disk life takes back.
func (p Proposer) validPromises() map[string]countedPromise {
	counted := make(map[string]countedPromise, len(p.promises))
	for core, given := range p.promises {
		if given.incarnation >= p.incarnations[core] {
			counted[core] = given
		}
	}
	return counted
}

func (p Proposer) quorum() int { return len(p.Voters)/2 + 1 }

func (p Proposer) awaitQuorum(counted int) (Proposer, Step) {
	if counted+len(p.Voters)-len(p.answered) < p.quorum() {
		return p.end(Step{Lost: true})
	}
	return p, Step{}
}

func (p Proposer) end(step Step) (Proposer, Step) {
	p.Phase = Ended
	return p, step
}

func (p Proposer) observe(lives map[string]uint64, promised Ballot, learned uint64, core string) Proposer {
	p.HighestBallot = maxBallot(p.HighestBallot, promised)
	if learned > p.HighestLearned {
		p.HighestLearned, p.HighestLearnedBy = learned, core
	}
	known := make(map[string]uint64, len(p.incarnations)+len(lives))
	maps.Copy(known, p.incarnations)
	raiseIncarnations(known, lives)
	p.incarnations = known
	return p
}

func withEntry[V any](m map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(m)+1)
	maps.Copy(next, m)
	next[key] = value
	return next
}

// AppendKey appends a canonical form of the proposer: two that behave alike from here
// on have the same.
func (p Proposer) AppendKey(to []byte) []byte {
	to = append(to, byte(p.Phase))
	if p.Phase == Ended {
		return to
	}
	to = append(p.Ballot.appendKey(to), p.value...)
	for _, core := range p.Voters {
		given, promised := p.promises[core]
		if promised {
			to = append(given.accepted.appendKey(append(to, 1, byte(given.incarnation))), given.value...)
		}
		life, accepted := p.acceptedBy[core]
		if accepted {
			to = append(to, 2, byte(life))
		}
		to = append(to, 3, byte(p.incarnations[core]))
		if p.answered[core] {
			to = append(to, 4)
		}
	}
	return to
}

func (b Ballot) appendKey(to []byte) []byte {
	return append(append(binary.AppendUvarint(to, b.Number), b.Core...), 0)
}

// AppendKey appends a canonical form of the state.
func (s State) AppendKey(to []byte) []byte {
	to = append(to, s.Formation...)
	for _, core := range s.Voters {
		to = binary.AppendUvarint(to, s.Incarnations[core])
	}
	to = binary.AppendUvarint(binary.AppendUvarint(to, s.AnnouncedIncarnation), s.SnapshotSlot)
	for _, chosen := range s.Chosen {
		to = append(append(to, 5), chosen.Command...)
	}
	for _, slot := range slices.Sorted(maps.Keys(s.OpenSlots)) {
		vote := s.OpenSlots[slot]
		to = vote.Accepted.appendKey(vote.Promised.appendKey(binary.AppendUvarint(append(to, 6), slot)))
		to = append(to, vote.Value...)
	}
	return to
}
