package paxos

import (
	"bytes"
	"maps"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// slotAnswer is how a core answers about a slot in which it no longer takes
// part in ballots, or may not vote.
type slotAnswer struct {
	code   apierror.Code
	chosen bool
	value  []byte // when chosen
}

// answerWithoutVote returns the answer about a slot in which this core can't
// vote: it is not a voter of the formation now, or has learned the slot. The
// code is VersionBehind when the value was already compacted.
func (s State) answerWithoutVote(formation string, slot uint64) (answer slotAnswer, final bool) {
	if code := s.checkVoting(formation); code != apierror.OK {
		return slotAnswer{code: code}, true
	}
	if slot > s.Learned() {
		return slotAnswer{}, false
	}
	value, found := s.Command(slot)
	if !found {
		return slotAnswer{code: apierror.VersionBehind}, true
	}
	return slotAnswer{chosen: true, value: value}, true
}

// Prepare answers phase 1a of a ballot. A ballot is promised once: the same one
// is refused the second time, so that a core that forgot its own unsynced
// ballot in a crash can't open it twice.
func (s State) Prepare(req *wire.PrepareRequest) ([]Record, *wire.PrepareResponse) {
	resp := &wire.PrepareResponse{Core: s.Self, Learned: s.Learned(), Lives: maps.Clone(s.Incarnations)}
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

// Accept answers phase 2a of a ballot. The value is refused when a higher
// ballot is promised, and when it rests on the promise of a core that is known
// to have lost its disk since.
func (s State) Accept(req *wire.AcceptRequest) ([]Record, *wire.AcceptResponse) {
	resp := &wire.AcceptResponse{Core: s.Self, Learned: s.Learned(), Lives: maps.Clone(s.Incarnations)}
	if answer, final := s.answerWithoutVote(req.Formation, req.Slot); final {
		resp.Refusal = uint32(answer.code)
		resp.Chosen = answer.chosen
		resp.ChosenValue = answer.value
		return nil, resp
	}
	if s.outdated(req.PromisedLives) {
		resp.Refusal = uint32(apierror.CoreAmnesiac)
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

// outdated reports whether one of the incarnations is earlier than the one
// known here.
func (s State) outdated(incarnations map[string]uint64) bool {
	for core, incarnation := range incarnations {
		if s.Incarnations[core] > incarnation {
			return true
		}
	}
	return false
}
