package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/wire"
)

// SlotState is an acceptor's state in a slot whose chosen value is not learned yet.
// Promised is never less than Accepted.
type SlotState struct {
	Promised Ballot // lower ballots are no longer accepted
	Accepted Ballot // the highest ballot in which a value was accepted, or zero
	Value    []byte // the value accepted in ballot Accepted
}

func slotStateFromWire(message *wire.SlotVote) SlotState {
	return SlotState{
		Promised: BallotFromWire(message.Promised),
		Accepted: BallotFromWire(message.Accepted),
		Value:    message.Value,
	}
}

func (slot SlotState) toWire(slotNumber uint64) *wire.SlotVote {
	return &wire.SlotVote{
		Slot:     slotNumber,
		Promised: slot.Promised.ToWire(),
		Accepted: slot.Accepted.ToWire(),
		Value:    slot.Value,
	}
}

// merge returns the higher promise of the two states, and the value accepted in
// the higher ballot.
func (slot SlotState) merge(other SlotState) SlotState {
	if slot.Accepted.Less(other.Accepted) {
		slot.Accepted = other.Accepted
		slot.Value = other.Value
	}
	slot.Promised = maxBallot(maxBallot(slot.Promised, other.Promised), slot.Accepted)
	return slot
}

// openSlotsFromWire returns the slot states of a message by slot number.
func openSlotsFromWire(messages []*wire.SlotVote) map[uint64]SlotState {
	openSlots := make(map[uint64]SlotState, len(messages))
	for _, message := range messages {
		openSlots[message.Slot] = slotStateFromWire(message)
	}
	return openSlots
}

// openSlotsToWire returns the messages of the slots in ascending order.
func openSlotsToWire(openSlots map[uint64]SlotState) []*wire.SlotVote {
	messages := make([]*wire.SlotVote, 0, len(openSlots))
	for _, slotNumber := range slices.Sorted(maps.Keys(openSlots)) {
		messages = append(messages, openSlots[slotNumber].toWire(slotNumber))
	}
	return messages
}
