package wire

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestPackedSlicesReadBack(t *testing.T) {
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
			t.Fatalf("%v and %v came back as %v", first, second, count)
		}
		if !slices.Equal(total.Slices, first) || !slices.Equal(total.AckedSlices, second) || len(total.WholeSlices)+len(total.WholeAcked) > 0 {
			t.Fatalf("%v and %v came back as %v", first, second, total)
		}
	})
}

func TestPackedSlicesAreShort(t *testing.T) {
	Convey("A window's slices of whole tokens, most of them empty, take under a quarter of their doubles", t, func() {
		values := make([]float64, 50)
		for i := 0; i < len(values); i += 5 {
			values[i] = 12_000
		}
		long := &Count{Tenant: "press", Slices: values}
		short := &Count{Tenant: "press", Slices: values}
		PackCounts([]*Count{short})
		So(4*proto.Size(short), ShouldBeLessThan, proto.Size(long))
	})
}
