package paxos

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Encode returns the state of a core that votes, for the snapshot of its log. It
// panics when the state holds a string that is not UTF-8, which no message can
// have brought here.
func (s State) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.recoverResponse())
	if err != nil {
		panic(errors.Wrap(err, "a ballot state holds no value that cannot be encoded"))
	}
	return data
}

// DecodeState reads what Encode returned. Its errors are a *SlotGapError or
// protobuf's.
func DecodeState(data []byte) (State, error) {
	var message wire.RecoverResponse
	if err := proto.Unmarshal(data, &message); err != nil {
		return State{}, errors.Wrap(err, "ballot state")
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

// recoverResponse is the message in which a state is sent to a recovering core
// and stored in a snapshot.
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

// checkContiguous returns a *SlotGapError unless the values are those of the
// slots that follow one another after the given one.
func checkContiguous(after uint64, chosen []*wire.Chosen) error {
	for i, value := range chosen {
		expected := after + uint64(i) + 1
		if value.Epoch != expected {
			return &SlotGapError{Slot: value.Epoch, Expected: expected}
		}
	}
	return nil
}
