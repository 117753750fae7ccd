package paxos

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Record kinds, the first byte of an encoded record. The values are stored in logs
// and must not change.
const (
	kindFormationJoined byte = 1 + iota
	kindIncarnationRecorded
	kindPromised
	kindAccepted
	kindLearned
	kindSnapshotInstalled
	kindRecoveryCompleted
)

// asAcceptedMark in the From field of a stored Learned record sets AsAccepted.
const asAcceptedMark = "accepted"

// EncodeRecord encodes a record for the log: its kind, then a message in
// deterministic protobuf. It panics if the record holds a string that is not valid
// UTF-8; protobuf rejects such strings in received messages.
func EncodeRecord(record Record) []byte {
	kind, body := record.message()
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{kind}, body)
	if err != nil {
		panic(errors.Wrapf(err, "marshal record of kind %d", kind))
	}
	return data
}

// DecodeRecord decodes the result of EncodeRecord. It returns ErrEmptyRecord, an
// *UnknownRecordKindError, a *LearnedValueCountError, a *SlotGapError or a protobuf
// error.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) == 0 {
		return nil, ErrEmptyRecord
	}
	kind, body := data[0], data[1:]
	switch kind {
	case kindFormationJoined:
		return decodeFormationJoined(body)
	case kindIncarnationRecorded:
		return decodeIncarnationRecorded(body)
	case kindPromised:
		return decodePromised(body)
	case kindAccepted:
		return decodeAccepted(body)
	case kindLearned:
		return decodeLearned(body)
	case kindSnapshotInstalled:
		return decodeSnapshotInstalled(body)
	case kindRecoveryCompleted:
		return decodeRecoveryCompleted(body)
	}
	return nil, &UnknownRecordKindError{Kind: kind}
}

// Replay decodes records and applies them to a state in order. It returns the
// errors of DecodeRecord, and with them the state before the failed record.
func Replay(s State, records [][]byte) (State, error) {
	for i, data := range records {
		record, err := DecodeRecord(data)
		if err != nil {
			return s, errors.Wrapf(err, "replay record %d", i)
		}
		s = record.Apply(s)
	}
	return s, nil
}

func unmarshal(kind byte, body []byte, message proto.Message) error {
	return errors.Wrapf(proto.Unmarshal(body, message), "unmarshal record of kind %d", kind)
}

func (r FormationJoined) message() (byte, proto.Message) {
	return kindFormationJoined, &wire.RecoverResponse{
		Formation:     r.Formation,
		Voters:        r.Voters,
		SnapshotEpoch: r.SnapshotSlot,
		Snapshot:      r.Snapshot,
	}
}

func decodeFormationJoined(body []byte) (Record, error) {
	var message wire.RecoverResponse
	err := unmarshal(kindFormationJoined, body, &message)
	return FormationJoined{
		Formation:    message.Formation,
		Voters:       message.Voters,
		SnapshotSlot: message.SnapshotEpoch,
		Snapshot:     message.Snapshot,
	}, err
}

func (r IncarnationRecorded) message() (byte, proto.Message) {
	return kindIncarnationRecorded, &wire.RecoverRequest{Core: r.Core, Life: r.Incarnation}
}

func decodeIncarnationRecorded(body []byte) (Record, error) {
	var message wire.RecoverRequest
	err := unmarshal(kindIncarnationRecorded, body, &message)
	return IncarnationRecorded{Core: message.Core, Incarnation: message.Life}, err
}

func (r Promised) message() (byte, proto.Message) {
	return kindPromised, &wire.SlotVote{Slot: r.Slot, Promised: r.Ballot.ToWire()}
}

func decodePromised(body []byte) (Record, error) {
	var message wire.SlotVote
	err := unmarshal(kindPromised, body, &message)
	return Promised{Slot: message.Slot, Ballot: BallotFromWire(message.Promised)}, err
}

func (r Accepted) message() (byte, proto.Message) {
	return kindAccepted, &wire.SlotVote{Slot: r.Slot, Accepted: r.Ballot.ToWire(), Value: r.Value}
}

func decodeAccepted(body []byte) (Record, error) {
	var message wire.SlotVote
	err := unmarshal(kindAccepted, body, &message)
	return Accepted{Slot: message.Slot, Ballot: BallotFromWire(message.Accepted), Value: message.Value}, err
}

func (r Learned) message() (byte, proto.Message) {
	if r.AsAccepted {
		return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot}}, From: asAcceptedMark}
	}
	return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot, Command: r.Value}}}
}

func decodeLearned(body []byte) (Record, error) {
	var message wire.LearnRequest
	if err := unmarshal(kindLearned, body, &message); err != nil {
		return nil, err
	}
	if len(message.Chosen) != 1 {
		return nil, &LearnedValueCountError{Count: len(message.Chosen)}
	}
	chosen := message.Chosen[0]
	return Learned{Slot: chosen.Epoch, Value: chosen.Command, AsAccepted: message.From != ""}, nil
}

func (r SnapshotInstalled) message() (byte, proto.Message) {
	return kindSnapshotInstalled, &wire.FetchResponse{SnapshotEpoch: r.Slot, Snapshot: r.Snapshot}
}

func decodeSnapshotInstalled(body []byte) (Record, error) {
	var message wire.FetchResponse
	err := unmarshal(kindSnapshotInstalled, body, &message)
	return SnapshotInstalled{Slot: message.SnapshotEpoch, Snapshot: message.Snapshot}, err
}

func (r RecoveryCompleted) message() (byte, proto.Message) {
	return kindRecoveryCompleted, &wire.RecoverResponse{
		Lives:         r.Incarnations,
		SnapshotEpoch: r.SnapshotSlot,
		Snapshot:      r.Snapshot,
		Chosen:        r.Chosen,
		Votes:         openSlotsToWire(r.OpenSlots),
	}
}

func decodeRecoveryCompleted(body []byte) (Record, error) {
	var message wire.RecoverResponse
	if err := unmarshal(kindRecoveryCompleted, body, &message); err != nil {
		return nil, err
	}
	return RecoveryCompleted{
		Incarnations: message.Lives,
		SnapshotSlot: message.SnapshotEpoch,
		Snapshot:     message.Snapshot,
		Chosen:       message.Chosen,
		OpenSlots:    openSlotsFromWire(message.Votes),
	}, checkContiguous(message.SnapshotEpoch, message.Chosen)
}
