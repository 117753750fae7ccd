package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Phase is the phase of a proposer's ballot.
type Phase int

// Phases of a ballot, in order.
const (
	Preparing Phase = iota // phase 1: collects promises
	Accepting              // phase 2: collects acceptances
	Ended                  // the outcome was returned
)

// Action is what the caller of a proposer must do after a response.
type Action int

// Actions of a proposer.
const (
	AwaitAnswers Action = iota // nothing until the next response
	SendAccept                 // send Step.Accept to every voter
	ValueChosen                // Step.Value is chosen in the slot
	FetchChosen                // the slot's value is compacted at core Step.LearnedBy: fetch a snapshot from it
	BallotLost                 // this ballot can't reach a quorum: open a higher one
)

// Step is the result of handling a response. The zero Step awaits more responses.
type Step struct {
	Action    Action
	Accept    *wire.AcceptRequest // set with SendAccept
	Value     []byte              // set with ValueChosen
	LearnedBy string              // set with FetchChosen
}

// receivedPromise is a voter's promise, with the value that it had accepted in an
// earlier ballot, if any.
type receivedPromise struct {
	incarnation uint64
	accepted    Ballot
	value       []byte
}

// Proposer runs one ballot in one slot. It is an immutable value: handling a
// response returns the next Proposer. Late responses of an earlier phase still
// contribute the disk incarnations, ballots and learned slots that they report.
//
// A promise or acceptance counts only as long as no response reports a later
// incarnation of the core that sent it.
type Proposer struct {
	Formation              string
	Slot                   uint64
	Ballot                 Ballot
	InitialValue           []byte // proposed if no promise reports an accepted value
	Voters                 []string
	Phase                  Phase
	HighestBallot          Ballot // the highest ballot observed
	HighestLearnedSlot     uint64 // the highest learned slot reported
	HighestLearnedSlotCore string // the core that reported HighestLearnedSlot

	value        []byte                     // proposed in phase 2
	promises     map[string]receivedPromise // by core
	acceptances  map[string]uint64          // incarnation in which each core accepted
	answered     map[string]bool            // by core, in the current phase; includes failed calls
	incarnations map[string]uint64          // the highest known incarnation, by core
}

// NewProposer opens a ballot in a slot and returns the request to send to every
// voter.
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

// HandlePrepare handles a response to the PrepareRequest. Once a quorum has promised,
// it proposes the value accepted in the highest ballot that the promises report, or
// InitialValue if they report none.
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
		p.promises = withEntry(p.promises, resp.Core, receivedPromise{
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

// beginAccepting starts phase 2 with the promises of a quorum.
func (p Proposer) beginAccepting(promises map[string]receivedPromise) (Proposer, Step) {
	var highest receivedPromise
	promisedIncarnations := make(map[string]uint64, len(promises))
	for core, promise := range promises {
		promisedIncarnations[core] = promise.incarnation
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
		PromisedLives: promisedIncarnations,
	}}
}

// HandleAccept handles a response to the AcceptRequest.
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
		p.acceptances = withEntry(p.acceptances, resp.Core, resp.Lives[resp.Core])
	}
	if validAcceptances := p.countValidAcceptances(); validAcceptances < p.quorum() {
		return p.awaitQuorum(validAcceptances)
	}
	return p.end(Step{Action: ValueChosen, Value: p.value})
}

// HandleFailure records that the call to a voter failed in the current phase.
func (p Proposer) HandleFailure(core string) (Proposer, Step) {
	if p.Phase == Ended {
		return p, Step{}
	}
	p.answered = withEntry(p.answered, core, true)
	if p.Phase == Preparing {
		return p.awaitQuorum(len(p.validPromises()))
	}
	return p.awaitQuorum(p.countValidAcceptances())
}

// learnedStep returns the final step if the responding core has already learned the
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

// validPromises returns the promises of cores of which no later incarnation is
// known.
func (p Proposer) validPromises() map[string]receivedPromise {
	valid := make(map[string]receivedPromise, len(p.promises))
	for core, promise := range p.promises {
		if promise.incarnation >= p.incarnations[core] {
			valid[core] = promise
		}
	}
	return valid
}

// countValidAcceptances counts the acceptances of cores of which no later
// incarnation is known.
func (p Proposer) countValidAcceptances() int {
	valid := 0
	for core, incarnation := range p.acceptances {
		if incarnation >= p.incarnations[core] {
			valid++
		}
	}
	return valid
}

func (p Proposer) quorum() int { return quorumOf(len(p.Voters)) }

// awaitQuorum awaits more responses, or ends the ballot if the outstanding ones
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

// observe records what every response reports, whether or not its vote counts.
func (p Proposer) observe(incarnations map[string]uint64, promised Ballot, learned uint64, core string) Proposer {
	p.HighestBallot = maxBallot(p.HighestBallot, promised)
	if learned > p.HighestLearnedSlot {
		p.HighestLearnedSlot = learned
		p.HighestLearnedSlotCore = core
	}
	merged := make(map[string]uint64, len(p.incarnations)+len(incarnations))
	maps.Copy(merged, p.incarnations)
	mergeIncarnations(merged, incarnations)
	p.incarnations = merged
	return p
}

// withEntry returns a copy of the map with one entry added or replaced.
func withEntry[V any](entries map[string]V, key string, value V) map[string]V {
	updated := make(map[string]V, len(entries)+1)
	maps.Copy(updated, entries)
	updated[key] = value
	return updated
}
