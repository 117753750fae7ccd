package paxos

import (
	"bytes"
	"maps"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// nonVoteAnswer is the answer about a slot in which the core may not vote, or for
// which it has already learned the chosen value.
type nonVoteAnswer struct {
	code   apierror.Code // why the core may not vote, or OK
	chosen bool
	value  []byte // set if chosen
}

// answerWithoutVote returns the final answer about a slot in which this core does
// not vote, because it is not a voting member of the formation or has learned the
// slot. The code is VersionBehind if the value is already compacted.
func (s State) answerWithoutVote(formation string, slot uint64) (answer nonVoteAnswer, final bool) {
	if code := s.checkVoting(formation); code != apierror.OK {
		return nonVoteAnswer{code: code}, true
	}
	if slot > s.HighestLearnedSlot() {
		return nonVoteAnswer{}, false
	}
	value, found := s.LearnedValue(slot)
	if !found {
		return nonVoteAnswer{code: apierror.VersionBehind}, true
	}
	return nonVoteAnswer{chosen: true, value: value}, true
}

// Prepare handles the phase 1a message of a ballot. A ballot is promised only once:
// the same one is refused the second time, so that a core that lost its own unsynced
// ballot in a crash can't open it again.
func (s State) Prepare(req *wire.PrepareRequest) ([]Record, *wire.PrepareResponse) {
	resp := &wire.PrepareResponse{Core: s.Self, Learned: s.HighestLearnedSlot(), Lives: maps.Clone(s.Incarnations)}
	if answer, final := s.answerWithoutVote(req.Formation, req.Slot); final {
		resp.Refusal = uint32(answer.code)
		resp.Chosen = answer.chosen
		resp.ChosenValue = answer.value
		return nil, resp
	}
	slot := s.OpenSlots[req.Slot]
	ballot := BallotFromWire(req.Ballot)
	if !slot.Promised.Less(ballot) {
		resp.PromisedBallot = slot.Promised.ToWire()
		return nil, resp
	}
	resp.Promised = true
	resp.PromisedBallot = ballot.ToWire()
	resp.AcceptedBallot = slot.Accepted.ToWire()
	resp.AcceptedValue = slot.Value
	return []Record{Promised{Slot: req.Slot, Ballot: ballot}}, resp
}

// Accept handles the phase 2a message of a ballot. The value is refused if a higher
// ballot is promised, or if the proposal depends on the promise of a core that is
// known to have lost its disk since.
func (s State) Accept(req *wire.AcceptRequest) ([]Record, *wire.AcceptResponse) {
	resp := &wire.AcceptResponse{Core: s.Self, Learned: s.HighestLearnedSlot(), Lives: maps.Clone(s.Incarnations)}
	if answer, final := s.answerWithoutVote(req.Formation, req.Slot); final {
		resp.Refusal = uint32(answer.code)
		resp.Chosen = answer.chosen
		resp.ChosenValue = answer.value
		return nil, resp
	}
	if s.anyOutdated(req.PromisedLives) {
		resp.Refusal = uint32(apierror.CoreRecovering)
		return nil, resp
	}
	slot := s.OpenSlots[req.Slot]
	ballot := BallotFromWire(req.Ballot)
	resp.PromisedBallot = slot.Promised.ToWire()
	switch {
	case ballot.Less(slot.Promised):
		return nil, resp
	case ballot == slot.Accepted && !bytes.Equal(slot.Value, req.Value):
		resp.Refusal = uint32(apierror.Internal)
		return nil, resp
	case ballot == slot.Accepted:
		resp.Accepted = true
		return nil, resp
	}
	resp.Accepted = true
	resp.PromisedBallot = ballot.ToWire()
	return []Record{Accepted{Slot: req.Slot, Ballot: ballot, Value: req.Value}}, resp
}

// anyOutdated reports whether any of the incarnations is lower than the one that
// this core knows.
func (s State) anyOutdated(incarnations map[string]uint64) bool {
	for core, incarnation := range incarnations {
		if s.Incarnations[core] > incarnation {
			return true
		}
	}
	return false
}
