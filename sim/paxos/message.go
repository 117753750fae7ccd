package paxos

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// message is a request or an answer in flight. Exactly one of the fields from
// prepareRequest to recoverAnswer is set. An answer carries the process incarnation
// and the proposal number of its request.
type message struct {
	hash               uint64
	from               int
	to                 int
	processIncarnation int
	proposalNumber     int
	prepareRequest     *wire.PrepareRequest
	prepareAnswer      *wire.PrepareResponse
	acceptRequest      *wire.AcceptRequest
	acceptAnswer       *wire.AcceptResponse
	recoverRequest     *wire.RecoverRequest
	recoverAnswer      *wire.RecoverResponse
	deliveredOnce      bool
}

// Tags separate the kinds of messages in their hashes.
const (
	prepareRequestTag byte = 1 + iota
	prepareAnswerTag
	acceptRequestTag
	acceptAnswerTag
	recoverRequestTag
	recoverAnswerTag
)

// hashBufferSize is the initial capacity, in bytes, of the hash key of a message.
const hashBufferSize = 256

// isRefusal reports whether an answer changes nothing at its receiver. Such an answer
// need not be delivered: every transition that is possible after its delivery is also
// possible without it.
func (msg *message) isRefusal() bool {
	switch {
	case msg.prepareAnswer != nil:
		return !msg.prepareAnswer.Promised && !msg.prepareAnswer.Chosen
	case msg.acceptAnswer != nil:
		return !msg.acceptAnswer.Accepted && !msg.acceptAnswer.Chosen
	}
	return !msg.recoverAnswer.Ok
}

func (msg *message) isAnswer() bool {
	return msg.prepareAnswer != nil || msg.acceptAnswer != nil || msg.recoverAnswer != nil
}

func (msg *message) String() string {
	return fmt.Sprintf("%s to %s (process %d, proposal %d) ", modelCoreNames[msg.from], modelCoreNames[msg.to], msg.processIncarnation, msg.proposalNumber) + msg.body()
}

func (msg *message) body() string {
	switch {
	case msg.prepareRequest != nil:
		return fmt.Sprintf("prepare %d", msg.prepareRequest.Ballot.Number)
	case msg.prepareAnswer != nil:
		resp := msg.prepareAnswer
		return fmt.Sprintf("promised %v %v accepted %v %q chosen %v %q incarnations %v", resp.Promised, paxos.BallotFromWire(resp.PromisedBallot),
			paxos.BallotFromWire(resp.AcceptedBallot), resp.AcceptedValue, resp.Chosen, resp.ChosenValue, resp.Lives)
	case msg.acceptRequest != nil:
		return fmt.Sprintf("accept %d %q with promises of incarnations %v", msg.acceptRequest.Ballot.Number, msg.acceptRequest.Value, msg.acceptRequest.PromisedLives)
	case msg.acceptAnswer != nil:
		resp := msg.acceptAnswer
		return fmt.Sprintf("accepted %v promised %v incarnations %v chosen %v %q", resp.Accepted, paxos.BallotFromWire(resp.PromisedBallot),
			resp.Lives, resp.Chosen, resp.ChosenValue)
	case msg.recoverRequest != nil:
		return fmt.Sprintf("recover incarnation %d", msg.recoverRequest.Life)
	}
	resp := msg.recoverAnswer
	return fmt.Sprintf("recovered %v votes %v chosen %v incarnations %v", resp.Ok, resp.Votes, resp.Chosen, resp.Lives)
}

// withHash returns the message with its hash, which identifies equal messages.
func (msg message) withHash() *message {
	msg.hash = msg.computeHash()
	return &msg
}

func (msg *message) computeHash() uint64 {
	key := make([]byte, 0, hashBufferSize)
	key = append(key, byte(msg.from), byte(msg.to), byte(msg.processIncarnation), byte(msg.proposalNumber))
	return xxhash.Sum64(msg.appendBody(key))
}

func (msg *message) appendBody(key []byte) []byte {
	switch {
	case msg.prepareRequest != nil:
		return binary.AppendUvarint(append(key, prepareRequestTag), msg.prepareRequest.Ballot.Number)
	case msg.prepareAnswer != nil:
		resp := msg.prepareAnswer
		key = append(key, prepareAnswerTag, boolByte(resp.Promised), boolByte(resp.Chosen), byte(resp.Refusal))
		key = appendBallots(key, resp.PromisedBallot, resp.AcceptedBallot)
		key = append(key, resp.AcceptedValue...)
		key = append(key, resp.ChosenValue...)
		return appendIncarnations(key, resp.Lives)
	case msg.acceptRequest != nil:
		key = binary.AppendUvarint(append(key, acceptRequestTag), msg.acceptRequest.Ballot.Number)
		key = append(key, msg.acceptRequest.Value...)
		return appendIncarnations(key, msg.acceptRequest.PromisedLives)
	case msg.acceptAnswer != nil:
		resp := msg.acceptAnswer
		key = append(key, acceptAnswerTag, boolByte(resp.Accepted), boolByte(resp.Chosen), byte(resp.Refusal))
		key = appendBallots(key, resp.PromisedBallot)
		key = append(key, resp.ChosenValue...)
		return appendIncarnations(key, resp.Lives)
	case msg.recoverRequest != nil:
		return append(key, recoverRequestTag, byte(msg.recoverRequest.Life))
	case msg.recoverAnswer != nil:
		return appendRecoverResponse(append(key, recoverAnswerTag), msg.recoverAnswer)
	}
	return key
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendIncarnations(key []byte, incarnations map[string]uint64) []byte {
	for _, name := range modelCoreNames {
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

func appendRecoverResponse(key []byte, resp *wire.RecoverResponse) []byte {
	key = append(key, boolByte(resp.Ok), byte(len(resp.Votes)), byte(len(resp.Chosen)))
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
