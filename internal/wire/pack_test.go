package wire

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestUnpackRestoresPackedSlices(t *testing.T) {
	tokens := rapid.OneOf(rapid.Just(0.0), rapid.Map(rapid.Uint32(), func(n uint32) float64 { return float64(n) }), rapid.Float64())
	rapid.Check(t, func(t *rapid.T) {
		first, second := rapid.SliceOf(tokens).Draw(t, "first"), rapid.SliceOf(tokens).Draw(t, "second")
		count := &Count{Tenant: "press", Slices: slices.Clone(first), LearnedSlices: slices.Clone(second)}
		total := &Total{Tenant: "press", Slices: slices.Clone(first), AckedSlices: slices.Clone(second)}
		PackCounts([]*Count{count})
		PackTotals([]*Total{total})
		UnpackCounts([]*Count{count})
		UnpackTotals([]*Total{total})
		if !slices.Equal(count.Slices, first) || !slices.Equal(count.LearnedSlices, second) || len(count.WholeSlices)+len(count.WholeLearned) > 0 {
			t.Fatalf("slices %v and %v, packed and unpacked, became %v", first, second, count)
		}
		if !slices.Equal(total.Slices, first) || !slices.Equal(total.AckedSlices, second) || len(total.WholeSlices)+len(total.WholeAcked) > 0 {
			t.Fatalf("slices %v and %v, packed and unpacked, became %v", first, second, total)
		}
	})
}

func TestPackedSlicesAreSmallerThanDoubles(t *testing.T) {
	Convey("A window of integer slices, most of them zero, takes less than a quarter of its size as doubles", t, func() {
		values := make([]float64, 50)
		for i := 0; i < len(values); i += 5 {
			values[i] = 12_000
		}
		unpacked := &Count{Tenant: "press", Slices: values}
		packed := &Count{Tenant: "press", Slices: values}
		PackCounts([]*Count{packed})
		So(4*proto.Size(packed), ShouldBeLessThan, proto.Size(unpacked))
	})
}
