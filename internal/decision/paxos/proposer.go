package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Phase of a proposer.
type Phase int

// Phases of a proposer, in their order.
const (
	Preparing Phase = iota // phase 1: collects promises
	Accepting              // phase 2: collects acceptances
	Ended
)

// Action is what a proposer requires of its caller after an answer.
type Action int

// Actions of a proposer.
const (
	AwaitAnswers Action = iota // nothing until the next answer
	SendAccept                 // send Step.Accept to every voter
	ValueChosen                // Step.Value is chosen in the slot
	FetchChosen                // the slot's value is compacted at Step.LearnedBy: fetch a snapshot from there
	BallotLost                 // no quorum is possible in this ballot: open a higher one
)

// Step is the result of an answer. The zero Step is to await more answers.
type Step struct {
	Action    Action
	Accept    *wire.AcceptRequest // set with SendAccept
	Value     []byte              // set with ValueChosen
	LearnedBy string              // set with FetchChosen
}

// countedPromise is a voter's promise, with what it had accepted before.
type countedPromise struct {
	incarnation uint64
	accepted    Ballot
	value       []byte
}

// Proposer runs one ballot in one slot. It is a value: each answer returns the
// next one. Answers that come late, of an earlier phase, are still observed for
// the disk incarnations, ballots and learned slots that they report.
//
// A promise or acceptance counts only while no other answer reports a later
// incarnation of the core that gave it.
type Proposer struct {
	Formation        string
	Slot             uint64
	Ballot           Ballot
	InitialValue     []byte // proposed when no voter has accepted a value
	Voters           []string
	Phase            Phase
	HighestBallot    Ballot // the highest ballot observed
	HighestLearned   uint64 // the highest learned slot observed
	HighestLearnedBy string // the core that reported it

	value        []byte                    // proposed in phase 2
	promises     map[string]countedPromise // by core
	acceptedBy   map[string]uint64         // incarnation by core
	answered     map[string]bool           // by core, in the present phase; failures included
	incarnations map[string]uint64         // the highest known, by core
}

// NewProposer opens a ballot in a slot and returns the request for every voter.
func NewProposer(state State, slot, number uint64, initialValue []byte) (Proposer, *wire.PrepareRequest) {
	ballot := Ballot{Number: number, Core: state.Self}
	proposer := Proposer{
		Formation:     state.Formation,
		Slot:          slot,
		Ballot:        ballot,
		InitialValue:  initialValue,
		Voters:        state.Voters,
		HighestBallot: ballot,
		incarnations:  maps.Clone(state.Incarnations),
	}
	request := &wire.PrepareRequest{Formation: state.Formation, Slot: slot, Ballot: ballot.ToWire(), From: state.Self}
	return proposer, request
}

// HandlePrepare takes in an answer to the Prepare. With the last promise of a
// quorum it proposes the value accepted in the highest ballot among them, or
// InitialValue when there is none.
func (p Proposer) HandlePrepare(resp *wire.PrepareResponse) (Proposer, Step) {
	p = p.observe(resp.Lives, BallotFromWire(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase == Ended {
		return p, Step{}
	}
	if step, final := learnedStep(resp.Chosen, resp.ChosenValue, resp.Refusal, resp.Core); final {
		return p.end(step)
	}
	if p.Phase != Preparing {
		return p, Step{}
	}
	p.answered = withEntry(p.answered, resp.Core, true)
	if resp.Promised && BallotFromWire(resp.PromisedBallot) == p.Ballot && slices.Contains(p.Voters, resp.Core) {
		p.promises = withEntry(p.promises, resp.Core, countedPromise{
			incarnation: resp.Lives[resp.Core],
			accepted:    BallotFromWire(resp.AcceptedBallot),
			value:       resp.AcceptedValue,
		})
	}
	promises := p.validPromises()
	if len(promises) < p.quorum() {
		return p.awaitQuorum(len(promises))
	}
	return p.beginAccepting(promises)
}

// beginAccepting enters phase 2 on the promises of a quorum.
func (p Proposer) beginAccepting(promises map[string]countedPromise) (Proposer, Step) {
	var highest countedPromise
	promised := make(map[string]uint64, len(promises))
	for core, promise := range promises {
		promised[core] = promise.incarnation
		if highest.accepted.Less(promise.accepted) {
			highest = promise
		}
	}
	p.Phase = Accepting
	p.answered = nil
	p.value = p.InitialValue
	if !highest.accepted.IsZero() {
		p.value = highest.value
	}
	return p, Step{Action: SendAccept, Accept: &wire.AcceptRequest{
		Formation:     p.Formation,
		Slot:          p.Slot,
		Ballot:        p.Ballot.ToWire(),
		Value:         p.value,
		From:          p.Ballot.Core,
		PromisedLives: promised,
	}}
}

// HandleAccept takes in an answer to the Accept.
func (p Proposer) HandleAccept(resp *wire.AcceptResponse) (Proposer, Step) {
	p = p.observe(resp.Lives, BallotFromWire(resp.PromisedBallot), resp.Learned, resp.Core)
	if p.Phase != Accepting {
		return p, Step{}
	}
	if step, final := learnedStep(resp.Chosen, resp.ChosenValue, resp.Refusal, resp.Core); final {
		return p.end(step)
	}
	p.answered = withEntry(p.answered, resp.Core, true)
	if resp.Accepted && slices.Contains(p.Voters, resp.Core) {
		p.acceptedBy = withEntry(p.acceptedBy, resp.Core, resp.Lives[resp.Core])
	}
	if accepts := p.validAccepts(); accepts < p.quorum() {
		return p.awaitQuorum(accepts)
	}
	return p.end(Step{Action: ValueChosen, Value: p.value})
}

// HandleFailure records that a voter gave no answer in the present phase.
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

// learnedStep returns the final step when the answering core has learned the
// slot.
func learnedStep(chosen bool, value []byte, refusal uint32, core string) (step Step, final bool) {
	if chosen {
		return Step{Action: ValueChosen, Value: value}, true
	}
	if apierror.Code(refusal) == apierror.VersionBehind {
		return Step{Action: FetchChosen, LearnedBy: core}, true
	}
	return Step{}, false
}

// validPromises returns the promises that no later incarnation invalidates.
func (p Proposer) validPromises() map[string]countedPromise {
	valid := make(map[string]countedPromise, len(p.promises))
	for core, promise := range p.promises {
		if promise.incarnation >= p.incarnations[core] {
			valid[core] = promise
		}
	}
	return valid
}

// validAccepts counts the acceptances that no later incarnation invalidates.
func (p Proposer) validAccepts() int {
	valid := 0
	for core, incarnation := range p.acceptedBy {
		if incarnation >= p.incarnations[core] {
			valid++
		}
	}
	return valid
}

func (p Proposer) quorum() int { return quorumOf(len(p.Voters)) }

// awaitQuorum awaits more answers, or ends the ballot when those outstanding
// can't complete a quorum.
func (p Proposer) awaitQuorum(valid int) (Proposer, Step) {
	outstanding := len(p.Voters) - len(p.answered)
	if valid+outstanding < p.quorum() {
		return p.end(Step{Action: BallotLost})
	}
	return p, Step{}
}

func (p Proposer) end(step Step) (Proposer, Step) {
	p.Phase = Ended
	return p, step
}

// observe takes in what every answer reports, whether or not it counts.
func (p Proposer) observe(incarnations map[string]uint64, promised Ballot, learned uint64, core string) Proposer {
	p.HighestBallot = maxBallot(p.HighestBallot, promised)
	if learned > p.HighestLearned {
		p.HighestLearned = learned
		p.HighestLearnedBy = core
	}
	known := make(map[string]uint64, len(p.incarnations)+len(incarnations))
	maps.Copy(known, p.incarnations)
	raiseIncarnations(known, incarnations)
	p.incarnations = known
	return p
}

// withEntry returns a copy of the map with one entry set.
func withEntry[V any](entries map[string]V, key string, value V) map[string]V {
	next := make(map[string]V, len(entries)+1)
	maps.Copy(next, entries)
	next[key] = value
	return next
}
