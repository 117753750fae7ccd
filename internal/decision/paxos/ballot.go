package paxos

import (
	"cmp"

	"stepwick/internal/wire"
)

// Ballot identifies an attempt to have a value chosen in a slot. Ballots are
// ordered by number, then by the name of the core that opened them. "The Part-Time
// Parliament" calls this a ballot number, "Paxos Made Simple" a proposal number.
// The zero Ballot means no ballot and is less than all others.
type Ballot struct {
	Number uint64
	Core   string
}

// BallotFromWire converts a message to a Ballot; nil becomes the zero Ballot.
func BallotFromWire(message *wire.Ballot) Ballot {
	if message == nil {
		return Ballot{}
	}
	return Ballot{Number: message.Number, Core: message.Core}
}

// ToWire converts the ballot to a message; the zero Ballot becomes nil.
func (b Ballot) ToWire() *wire.Ballot {
	if b.IsZero() {
		return nil
	}
	return &wire.Ballot{Number: b.Number, Core: b.Core}
}

// IsZero reports whether b is the zero Ballot, which means no ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Compare returns a negative number if b is less than other, zero if they are
// equal, and a positive number otherwise.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), cmp.Compare(b.Core, other.Core))
}

// Less reports whether b is less than other.
func (b Ballot) Less(other Ballot) bool { return b.Compare(other) < 0 }

func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}
