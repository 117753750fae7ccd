package paxos

import (
	"cmp"

	"stepwick/internal/wire"
)

// Ballot orders the attempts to have a value chosen in a slot, by number, then
// by the name of the core that opened it. "The Part-Time Parliament" calls it a
// ballot number, "Paxos Made Simple" a proposal number. The zero Ballot is less
// than all others and means none.
type Ballot struct {
	Number uint64
	Core   string
}

// BallotFromWire returns the ballot of a message; nil is the zero Ballot.
func BallotFromWire(message *wire.Ballot) Ballot {
	if message == nil {
		return Ballot{}
	}
	return Ballot{Number: message.Number, Core: message.Core}
}

// ToWire returns the message form; the zero Ballot is nil.
func (b Ballot) ToWire() *wire.Ballot {
	if b.IsZero() {
		return nil
	}
	return &wire.Ballot{Number: b.Number, Core: b.Core}
}

// IsZero reports whether b is the zero Ballot, which means none.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Compare returns a negative number when b is less than other, zero when they
// are equal, and a positive number otherwise.
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
