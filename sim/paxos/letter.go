package paxos

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// letter is a message under way. Answers name the life and run that asked.
type letter struct {
	hash          uint64
	from, to      int
	life, run     int
	prepare       *wire.PrepareRequest
	prepared      *wire.PrepareResponse
	accept        *wire.AcceptRequest
	accepted      *wire.AcceptResponse
	recover       *wire.RecoverRequest
	recovered     *wire.RecoverResponse
	deliveredOnce bool
}

// refusal tells whether an answer gives its asker nothing to go on. A letter
// that only brings one is never worth delivering: whatever can happen after it
// can happen while it is still under way.
func (l *letter) refusal() bool {
	switch {
	case l.prepared != nil:
		return !l.prepared.Promised && !l.prepared.Chosen
	case l.accepted != nil:
		return !l.accepted.Accepted && !l.accepted.Chosen
	}
	return !l.recovered.Ok
}

func (l *letter) answer() bool {
	return l.prepared != nil || l.accepted != nil || l.recovered != nil
}

func (l *letter) String() string {
	head := fmt.Sprintf("%s to %s (life %d, run %d) ", names[l.from], names[l.to], l.life, l.run)
	switch {
	case l.prepare != nil:
		return head + fmt.Sprintf("prepare %d", l.prepare.Ballot.Number)
	case l.prepared != nil:
		m := l.prepared
		return head + fmt.Sprintf("promised %v %v accepted %v %q chosen %v %q lives %v", m.Promised, paxos.BallotFromWire(m.PromisedBallot),
			paxos.BallotFromWire(m.AcceptedBallot), m.AcceptedValue, m.Chosen, m.ChosenValue, m.Lives)
	case l.accept != nil:
		return head + fmt.Sprintf("accept %d %q on lives %v", l.accept.Ballot.Number, l.accept.Value, l.accept.PromisedLives)
	case l.accepted != nil:
		m := l.accepted
		return head + fmt.Sprintf("accepted %v of %v lives %v chosen %v %q", m.Accepted, paxos.BallotFromWire(m.PromisedBallot), m.Lives, m.Chosen, m.ChosenValue)
	case l.recover != nil:
		return head + fmt.Sprintf("recover life %d", l.recover.Life)
	}
	m := l.recovered
	return head + fmt.Sprintf("recovered %v votes %v chosen %v lives %v", m.Ok, m.Votes, m.Chosen, m.Lives)
}

func (l letter) summed() *letter {
	l.hash = l.sum()
	return &l
}

func (l *letter) sum() uint64 {
	to := append(make([]byte, 0, 256), byte(l.from), byte(l.to), byte(l.life), byte(l.run))
	switch {
	case l.prepare != nil:
		to = binary.AppendUvarint(append(to, 1), l.prepare.Ballot.Number)
	case l.prepared != nil:
		m := l.prepared
		to = appendBallots(append(to, 2, bit(m.Promised), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot, m.AcceptedBallot)
		to = appendLives(append(append(to, m.AcceptedValue...), m.ChosenValue...), m.Lives)
	case l.accept != nil:
		to = append(binary.AppendUvarint(append(to, 3), l.accept.Ballot.Number), l.accept.Value...)
		to = appendLives(to, l.accept.PromisedLives)
	case l.accepted != nil:
		m := l.accepted
		to = appendBallots(append(to, 4, bit(m.Accepted), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot)
		to = appendLives(append(to, m.ChosenValue...), m.Lives)
	case l.recover != nil:
		to = append(to, 5, byte(l.recover.Life))
	case l.recovered != nil:
		to = appendRecovered(append(to, 6), l.recovered)
	}
	return xxhash.Sum64(to)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendLives(to []byte, lives map[string]uint64) []byte {
	for _, name := range names {
		to = append(to, byte(lives[name]))
	}
	return to
}

func appendBallots(to []byte, ballots ...*wire.Ballot) []byte {
	for _, b := range ballots {
		to = append(append(to, byte(b.GetNumber())), b.GetCore()...)
	}
	return append(to, 0)
}

func appendRecovered(to []byte, m *wire.RecoverResponse) []byte {
	to = appendLives(append(to, bit(m.Ok), byte(len(m.Votes)), byte(len(m.Chosen))), m.Lives)
	for _, vote := range m.Votes {
		to = append(appendBallots(to, vote.Promised, vote.Accepted), vote.Value...)
	}
	for _, chosen := range m.Chosen {
		to = append(to, chosen.Command...)
	}
	return to
}
