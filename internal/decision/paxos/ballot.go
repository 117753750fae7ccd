// Package paxos holds the decisions of agreement among cores: an acceptor, a
// proposer, first formation and recovery of a wiped disk. Each slot (a version)
// is a single-decree Paxos instance. Everything here is a value: a decision
// takes a State and a message and returns records and an answer; a record
// folds into the next State, in the running core as in the replay of its log.
// The answer may leave only once the records are synced.
package paxos

import (
	"cmp"

	"stepwick/internal/wire"
)

// Ballot orders the attempts in a slot, by number, then by core. The zero
// Ballot is below all others and means none.
type Ballot struct {
	Number uint64
	Core   string
}

// BallotFromWire returns the ballot of a message; nil is the zero Ballot.
func BallotFromWire(b *wire.Ballot) Ballot {
	if b == nil {
		return Ballot{}
	}
	return Ballot{Number: b.Number, Core: b.Core}
}

// ToWire returns the message form; the zero Ballot is nil.
func (b Ballot) ToWire() *wire.Ballot {
	if b.IsZero() {
		return nil
	}
	return &wire.Ballot{Number: b.Number, Core: b.Core}
}

// IsZero tells whether this is no ballot at all.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Compare is below zero when b is the lower one.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Core, o.Core))
}

// Less tells whether b is lower than o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

// SlotState is what an acceptor holds of an open slot.
type SlotState struct {
	Promised Ballot
	Accepted Ballot // zero when nothing is accepted
	Value    []byte
}

func (v SlotState) toWire(slot uint64) *wire.SlotVote {
	return &wire.SlotVote{Slot: slot, Promised: v.Promised.ToWire(), Accepted: v.Accepted.ToWire(), Value: v.Value}
}

func slotStateFromWire(v *wire.SlotVote) SlotState {
	return SlotState{Promised: BallotFromWire(v.Promised), Accepted: BallotFromWire(v.Accepted), Value: v.Value}
}

// merge keeps the highest promise and the highest accepted value of both.
func (v SlotState) merge(o SlotState) SlotState {
	if v.Accepted.Less(o.Accepted) {
		v.Accepted, v.Value = o.Accepted, o.Value
	}
	v.Promised = maxBallot(maxBallot(v.Promised, o.Promised), v.Accepted)
	return v
}
