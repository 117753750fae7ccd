package paxos

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// message is a request or an answer in flight. An answer names the incarnation
// and run of the process that sent the request.
type message struct {
	hash          uint64
	from, to      int
	incarnation   int
	run           int
	prepare       *wire.PrepareRequest
	prepared      *wire.PrepareResponse
	accept        *wire.AcceptRequest
	accepted      *wire.AcceptResponse
	recover       *wire.RecoverRequest
	recovered     *wire.RecoverResponse
	deliveredOnce bool
}

// refusal reports whether an answer changes nothing at its receiver. Such an
// answer need not be delivered: whatever can happen after it can happen while it
// is in flight.
func (msg *message) refusal() bool {
	switch {
	case msg.prepared != nil:
		return !msg.prepared.Promised && !msg.prepared.Chosen
	case msg.accepted != nil:
		return !msg.accepted.Accepted && !msg.accepted.Chosen
	}
	return !msg.recovered.Ok
}

func (msg *message) answer() bool {
	return msg.prepared != nil || msg.accepted != nil || msg.recovered != nil
}

func (msg *message) String() string {
	head := fmt.Sprintf("%s to %s (life %d, run %d) ", names[msg.from], names[msg.to], msg.incarnation, msg.run)
	switch {
	case msg.prepare != nil:
		return head + fmt.Sprintf("prepare %d", msg.prepare.Ballot.Number)
	case msg.prepared != nil:
		m := msg.prepared
		return head + fmt.Sprintf("promised %v %v accepted %v %q chosen %v %q lives %v", m.Promised, paxos.BallotFromWire(m.PromisedBallot),
			paxos.BallotFromWire(m.AcceptedBallot), m.AcceptedValue, m.Chosen, m.ChosenValue, m.Lives)
	case msg.accept != nil:
		return head + fmt.Sprintf("accept %d %q on lives %v", msg.accept.Ballot.Number, msg.accept.Value, msg.accept.PromisedLives)
	case msg.accepted != nil:
		m := msg.accepted
		return head + fmt.Sprintf("accepted %v of %v lives %v chosen %v %q", m.Accepted, paxos.BallotFromWire(m.PromisedBallot), m.Lives, m.Chosen, m.ChosenValue)
	case msg.recover != nil:
		return head + fmt.Sprintf("recover life %d", msg.recover.Life)
	}
	m := msg.recovered
	return head + fmt.Sprintf("recovered %v votes %v chosen %v lives %v", m.Ok, m.Votes, m.Chosen, m.Lives)
}

func (msg message) summed() *message {
	msg.hash = msg.sum()
	return &msg
}

func (msg *message) sum() uint64 {
	to := append(make([]byte, 0, 256), byte(msg.from), byte(msg.to), byte(msg.incarnation), byte(msg.run))
	switch {
	case msg.prepare != nil:
		to = binary.AppendUvarint(append(to, 1), msg.prepare.Ballot.Number)
	case msg.prepared != nil:
		m := msg.prepared
		to = appendBallots(append(to, 2, bit(m.Promised), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot, m.AcceptedBallot)
		to = appendLives(append(append(to, m.AcceptedValue...), m.ChosenValue...), m.Lives)
	case msg.accept != nil:
		to = append(binary.AppendUvarint(append(to, 3), msg.accept.Ballot.Number), msg.accept.Value...)
		to = appendLives(to, msg.accept.PromisedLives)
	case msg.accepted != nil:
		m := msg.accepted
		to = appendBallots(append(to, 4, bit(m.Accepted), bit(m.Chosen), byte(m.Refusal)), m.PromisedBallot)
		to = appendLives(append(to, m.ChosenValue...), m.Lives)
	case msg.recover != nil:
		to = append(to, 5, byte(msg.recover.Life))
	case msg.recovered != nil:
		to = appendRecovered(append(to, 6), msg.recovered)
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
