package paxos

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Encode encodes the state of a voting core for the snapshot of its log. It panics
// if the state holds a string that is not valid UTF-8; protobuf rejects such strings
// in received messages.
func (s State) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.recoverResponse())
	if err != nil {
		panic(errors.Wrap(err, "marshal Paxos state"))
	}
	return data
}

// DecodeState decodes the result of State.Encode. It returns a *SlotGapError or a
// protobuf error.
func DecodeState(data []byte) (State, error) {
	var message wire.RecoverResponse
	if err := proto.Unmarshal(data, &message); err != nil {
		return State{}, errors.Wrap(err, "unmarshal Paxos state")
	}
	if err := checkContiguous(message.SnapshotEpoch, message.Chosen); err != nil {
		return State{}, err
	}
	return State{
		Self:         message.Core,
		Formation:    message.Formation,
		Voters:       message.Voters,
		Incarnations: message.Lives,
		SnapshotSlot: message.SnapshotEpoch,
		Snapshot:     message.Snapshot,
		Chosen:       message.Chosen,
		OpenSlots:    openSlotsFromWire(message.Votes),
	}, nil
}

// recoverResponse returns the state as the message that is sent to a recovering
// core and stored in the snapshot of the log.
func (s State) recoverResponse() *wire.RecoverResponse {
	return &wire.RecoverResponse{
		Ok:            true,
		Core:          s.Self,
		Formation:     s.Formation,
		Voters:        s.Voters,
		Lives:         s.reportedIncarnations(),
		Voting:        s.Incarnation() != 0,
		SnapshotEpoch: s.SnapshotSlot,
		Snapshot:      s.Snapshot,
		Chosen:        s.Chosen,
		Votes:         openSlotsToWire(s.OpenSlots),
	}
}

// checkContiguous returns a *SlotGapError unless the slots of the values are
// consecutive and start right after precedingSlot.
func checkContiguous(precedingSlot uint64, chosen []*wire.Chosen) error {
	for i, value := range chosen {
		expected := precedingSlot + uint64(i) + 1
		if value.Epoch != expected {
			return &SlotGapError{Slot: value.Epoch, Expected: expected}
		}
	}
	return nil
}
