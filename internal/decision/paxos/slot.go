package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/wire"
)

// SlotState is an acceptor's state in a slot of which no value is learned yet.
// Promised is never less than Accepted.
type SlotState struct {
	Promised Ballot // no ballot less than this one is accepted any more
	Accepted Ballot // zero when no value is accepted
	Value    []byte // the value accepted in Accepted
}

func slotStateFromWire(message *wire.SlotVote) SlotState {
	return SlotState{
		Promised: BallotFromWire(message.Promised),
		Accepted: BallotFromWire(message.Accepted),
		Value:    message.Value,
	}
}

func (slot SlotState) toWire(number uint64) *wire.SlotVote {
	return &wire.SlotVote{
		Slot:     number,
		Promised: slot.Promised.ToWire(),
		Accepted: slot.Accepted.ToWire(),
		Value:    slot.Value,
	}
}

// merge returns the highest promise and the highest accepted value of both.
func (slot SlotState) merge(other SlotState) SlotState {
	if slot.Accepted.Less(other.Accepted) {
		slot.Accepted = other.Accepted
		slot.Value = other.Value
	}
	slot.Promised = maxBallot(maxBallot(slot.Promised, other.Promised), slot.Accepted)
	return slot
}

// openSlotsFromWire returns the slots of a message by their numbers.
func openSlotsFromWire(messages []*wire.SlotVote) map[uint64]SlotState {
	openSlots := make(map[uint64]SlotState, len(messages))
	for _, message := range messages {
		openSlots[message.Slot] = slotStateFromWire(message)
	}
	return openSlots
}

// openSlotsToWire returns the slots' messages in the order of their numbers.
func openSlotsToWire(openSlots map[uint64]SlotState) []*wire.SlotVote {
	messages := make([]*wire.SlotVote, 0, len(openSlots))
	for _, number := range slices.Sorted(maps.Keys(openSlots)) {
		messages = append(messages, openSlots[number].toWire(number))
	}
	return messages
}
