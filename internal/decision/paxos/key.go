package paxos

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Tags separate the parts of a key, so that no two states share one.
const (
	promiseTag byte = 1 + iota
	acceptTag
	incarnationTag
	answeredTag
	chosenTag
	openSlotTag
)

// AppendKey appends a canonical form of the proposer, by which a model checker
// recognizes one that it has visited: two with the same key behave alike from
// here on. Incarnations are reduced to one byte: a checked model stays below 256.
func (p Proposer) AppendKey(to []byte) []byte {
	to = append(to, byte(p.Phase))
	if p.Phase == Ended {
		return to
	}
	to = append(p.Ballot.appendKey(to), p.value...)
	for _, core := range p.Voters {
		if promise, promised := p.promises[core]; promised {
			to = append(to, promiseTag, byte(promise.incarnation))
			to = promise.accepted.appendKey(to)
			to = append(to, promise.value...)
		}
		if incarnation, accepted := p.acceptedBy[core]; accepted {
			to = append(to, acceptTag, byte(incarnation))
		}
		to = append(to, incarnationTag, byte(p.incarnations[core]))
		if p.answered[core] {
			to = append(to, answeredTag)
		}
	}
	return to
}

// AppendKey appends a canonical form of the state, as Proposer.AppendKey does
// of a proposer.
func (s State) AppendKey(to []byte) []byte {
	to = append(to, s.Formation...)
	for _, core := range s.Voters {
		to = binary.AppendUvarint(to, s.Incarnations[core])
	}
	to = binary.AppendUvarint(to, s.AnnouncedIncarnation)
	to = binary.AppendUvarint(to, s.SnapshotSlot)
	for _, chosen := range s.Chosen {
		to = append(to, chosenTag)
		to = append(to, chosen.Command...)
	}
	for _, number := range slices.Sorted(maps.Keys(s.OpenSlots)) {
		slot := s.OpenSlots[number]
		to = append(to, openSlotTag)
		to = binary.AppendUvarint(to, number)
		to = slot.Promised.appendKey(to)
		to = slot.Accepted.appendKey(to)
		to = append(to, slot.Value...)
	}
	return to
}

func (b Ballot) appendKey(to []byte) []byte {
	to = binary.AppendUvarint(to, b.Number)
	to = append(to, b.Core...)
	return append(to, 0)
}
