package paxos

import (
	"errors"
	"reflect"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"stepwick/internal/wire"
)

func drawRecord(t *rapid.T) Record {
	ballot := Ballot{rapid.Uint64().Draw(t, "number"), rapid.SampledFrom(voters).Draw(t, "core")}
	slot, value := rapid.Uint64Range(1, 1<<40).Draw(t, "slot"), rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "value")
	incarnations := map[string]uint64{"a": rapid.Uint64().Draw(t, "incarnation")}
	return rapid.SampledFrom([]Record{
		FormationJoined{Formation: "f", Voters: voters, SnapshotSlot: slot, Snapshot: value},
		IncarnationRecorded{Core: "b", Incarnation: slot}, Promised{Slot: slot, Ballot: ballot}, Accepted{Slot: slot, Ballot: ballot, Value: value},
		Learned{Slot: slot, Value: value}, Learned{Slot: slot, AsAccepted: true}, SnapshotInstalled{Slot: slot, Snapshot: value},
		RecoveryCompleted{Incarnations: incarnations, SnapshotSlot: slot, Snapshot: value, Chosen: []*wire.Chosen{{Epoch: slot + 1, Command: value}},
			OpenSlots: map[uint64]SlotState{slot + 2: {Promised: ballot, Accepted: ballot, Value: value}}},
	}).Draw(t, "record")
}

func TestDecodedRecordsEqualEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t)
		data := EncodeRecord(record)
		decoded, err := DecodeRecord(data)
		if err != nil {
			t.Fatal(err)
		}
		if reencoded := EncodeRecord(decoded); !reflect.DeepEqual(reencoded, data) {
			t.Fatalf("record %#v is decoded as %#v", record, decoded)
		}
		s := votingCore("a")
		if !proto.Equal(record.Apply(s).recoverResponse(), decoded.Apply(s).recoverResponse()) {
			t.Fatalf("record %#v has a different effect after decoding", record)
		}
		decodedState, err := DecodeState(record.Apply(s).Encode())
		if err != nil || !proto.Equal(decodedState.recoverResponse(), record.Apply(s).recoverResponse()) {
			t.Fatalf("state after %#v is not decoded as encoded: error %v", record, err)
		}
		for length := range data {
			_, _ = DecodeRecord(data[:length])
		}
	})
}

func TestDecodeErrorsAreTyped(t *testing.T) {
	Convey("Each kind of decoding failure has its own error", t, func() {
		_, err := DecodeRecord(nil)
		So(errors.Is(err, ErrEmptyRecord), ShouldBeTrue)

		var unknown *UnknownRecordKindError
		_, err = Replay(BlankState("a"), [][]byte{{99}})
		So(errors.As(err, &unknown), ShouldBeTrue)
		So(unknown.Kind, ShouldEqual, 99)

		var count *LearnedValueCountError
		_, err = DecodeRecord([]byte{kindLearned})
		So(errors.As(err, &count), ShouldBeTrue)
		So(count.Count, ShouldEqual, 0)

		var gap *SlotGapError
		_, err = DecodeState(State{Chosen: []*wire.Chosen{{Epoch: 1}, {Epoch: 3}}}.Encode())
		So(errors.As(err, &gap), ShouldBeTrue)
		So(*gap, ShouldResemble, SlotGapError{Slot: 3, Expected: 2})
	})
}
