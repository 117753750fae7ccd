package paxos

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Tags separate the parts of a key, so that different states have different keys.
const (
	promiseTag byte = 1 + iota
	acceptTag
	incarnationTag
	answeredTag
	chosenTag
	openSlotTag
)

// AppendKey appends a canonical encoding of the proposer, by which a model checker
// recognizes states that it has already visited: proposers with equal keys behave
// identically from here on. Incarnations are truncated to one byte; a checked
// model stays below 256.
func (p Proposer) AppendKey(buffer []byte) []byte {
	buffer = append(buffer, byte(p.Phase))
	if p.Phase == Ended {
		return buffer
	}
	buffer = append(p.Ballot.appendKey(buffer), p.value...)
	for _, core := range p.Voters {
		if promise, promised := p.promises[core]; promised {
			buffer = append(buffer, promiseTag, byte(promise.incarnation))
			buffer = promise.accepted.appendKey(buffer)
			buffer = append(buffer, promise.value...)
		}
		if incarnation, accepted := p.acceptances[core]; accepted {
			buffer = append(buffer, acceptTag, byte(incarnation))
		}
		buffer = append(buffer, incarnationTag, byte(p.incarnations[core]))
		if p.answered[core] {
			buffer = append(buffer, answeredTag)
		}
	}
	return buffer
}

// AppendKey appends a canonical encoding of the state, for the same use as
// Proposer.AppendKey.
func (s State) AppendKey(buffer []byte) []byte {
	buffer = append(buffer, s.Formation...)
	for _, core := range s.Voters {
		buffer = binary.AppendUvarint(buffer, s.Incarnations[core])
	}
	buffer = binary.AppendUvarint(buffer, s.AnnouncedIncarnation)
	buffer = binary.AppendUvarint(buffer, s.SnapshotSlot)
	for _, chosen := range s.Chosen {
		buffer = append(buffer, chosenTag)
		buffer = append(buffer, chosen.Command...)
	}
	for _, slotNumber := range slices.Sorted(maps.Keys(s.OpenSlots)) {
		slot := s.OpenSlots[slotNumber]
		buffer = append(buffer, openSlotTag)
		buffer = binary.AppendUvarint(buffer, slotNumber)
		buffer = slot.Promised.appendKey(buffer)
		buffer = slot.Accepted.appendKey(buffer)
		buffer = append(buffer, slot.Value...)
	}
	return buffer
}

func (b Ballot) appendKey(buffer []byte) []byte {
	buffer = binary.AppendUvarint(buffer, b.Number)
	buffer = append(buffer, b.Core...)
	return append(buffer, 0)
}
