package paxos

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// message is a request or an answer in flight, in the one field that is set of
// prepare to recovered. An answer names the process and the run of its proposer
// that sent the request.
type message struct {
	hash               uint64
	from               int
	to                 int
	processIncarnation int
	run                int
	prepare            *wire.PrepareRequest
	prepared           *wire.PrepareResponse
	accept             *wire.AcceptRequest
	accepted           *wire.AcceptResponse
	recover            *wire.RecoverRequest
	recovered          *wire.RecoverResponse
	deliveredOnce      bool
}

// Tags separate the kinds of messages in their hashes.
const (
	prepareTag byte = 1 + iota
	preparedTag
	acceptTag
	acceptedTag
	recoverTag
	recoveredTag
)

// hashBufferSize is enough for the messages of small worlds.
const hashBufferSize = 256

// isRefusal reports whether an answer changes nothing at its receiver. Such an
// answer need not be delivered: whatever can happen after it can happen while it
// is in flight.
func (msg *message) isRefusal() bool {
	switch {
	case msg.prepared != nil:
		return !msg.prepared.Promised && !msg.prepared.Chosen
	case msg.accepted != nil:
		return !msg.accepted.Accepted && !msg.accepted.Chosen
	}
	return !msg.recovered.Ok
}

func (msg *message) isAnswer() bool {
	return msg.prepared != nil || msg.accepted != nil || msg.recovered != nil
}

func (msg *message) String() string {
	return fmt.Sprintf("%s to %s (life %d, run %d) ", names[msg.from], names[msg.to], msg.processIncarnation, msg.run) + msg.body()
}

func (msg *message) body() string {
	switch {
	case msg.prepare != nil:
		return fmt.Sprintf("prepare %d", msg.prepare.Ballot.Number)
	case msg.prepared != nil:
		resp := msg.prepared
		return fmt.Sprintf("promised %v %v accepted %v %q chosen %v %q lives %v", resp.Promised, paxos.BallotFromWire(resp.PromisedBallot),
			paxos.BallotFromWire(resp.AcceptedBallot), resp.AcceptedValue, resp.Chosen, resp.ChosenValue, resp.Lives)
	case msg.accept != nil:
		return fmt.Sprintf("accept %d %q on lives %v", msg.accept.Ballot.Number, msg.accept.Value, msg.accept.PromisedLives)
	case msg.accepted != nil:
		resp := msg.accepted
		return fmt.Sprintf("accepted %v of %v lives %v chosen %v %q", resp.Accepted, paxos.BallotFromWire(resp.PromisedBallot),
			resp.Lives, resp.Chosen, resp.ChosenValue)
	case msg.recover != nil:
		return fmt.Sprintf("recover life %d", msg.recover.Life)
	}
	resp := msg.recovered
	return fmt.Sprintf("recovered %v votes %v chosen %v lives %v", resp.Ok, resp.Votes, resp.Chosen, resp.Lives)
}

// withHash returns the message with the hash by which equal ones are recognized.
func (msg message) withHash() *message {
	msg.hash = msg.computeHash()
	return &msg
}

func (msg *message) computeHash() uint64 {
	key := make([]byte, 0, hashBufferSize)
	key = append(key, byte(msg.from), byte(msg.to), byte(msg.processIncarnation), byte(msg.run))
	return xxhash.Sum64(msg.appendBody(key))
}

func (msg *message) appendBody(key []byte) []byte {
	switch {
	case msg.prepare != nil:
		return binary.AppendUvarint(append(key, prepareTag), msg.prepare.Ballot.Number)
	case msg.prepared != nil:
		resp := msg.prepared
		key = append(key, preparedTag, bit(resp.Promised), bit(resp.Chosen), byte(resp.Refusal))
		key = appendBallots(key, resp.PromisedBallot, resp.AcceptedBallot)
		key = append(key, resp.AcceptedValue...)
		key = append(key, resp.ChosenValue...)
		return appendIncarnations(key, resp.Lives)
	case msg.accept != nil:
		key = binary.AppendUvarint(append(key, acceptTag), msg.accept.Ballot.Number)
		key = append(key, msg.accept.Value...)
		return appendIncarnations(key, msg.accept.PromisedLives)
	case msg.accepted != nil:
		resp := msg.accepted
		key = append(key, acceptedTag, bit(resp.Accepted), bit(resp.Chosen), byte(resp.Refusal))
		key = appendBallots(key, resp.PromisedBallot)
		key = append(key, resp.ChosenValue...)
		return appendIncarnations(key, resp.Lives)
	case msg.recover != nil:
		return append(key, recoverTag, byte(msg.recover.Life))
	case msg.recovered != nil:
		return appendRecovered(append(key, recoveredTag), msg.recovered)
	}
	return key
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendIncarnations(key []byte, incarnations map[string]uint64) []byte {
	for _, name := range names {
		key = append(key, byte(incarnations[name]))
	}
	return key
}

func appendBallots(key []byte, ballots ...*wire.Ballot) []byte {
	for _, ballot := range ballots {
		key = append(key, byte(ballot.GetNumber()))
		key = append(key, ballot.GetCore()...)
	}
	return append(key, 0)
}

func appendRecovered(key []byte, resp *wire.RecoverResponse) []byte {
	key = append(key, bit(resp.Ok), byte(len(resp.Votes)), byte(len(resp.Chosen)))
	key = appendIncarnations(key, resp.Lives)
	for _, vote := range resp.Votes {
		key = appendBallots(key, vote.Promised, vote.Accepted)
		key = append(key, vote.Value...)
	}
	for _, chosen := range resp.Chosen {
		key = append(key, chosen.Command...)
	}
	return key
}
