package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestRepeatedPlansArePublishedWithoutShares(t *testing.T) {
	plan := func(term, number uint64, inFlight uint32) *wire.Plan {
		return &wire.Plan{Term: term, Number: number, Caps: []*wire.Cap{{Server: "m1", InFlight: inFlight}}}
	}
	Convey("A plan with the shares and caps of the prior plan is published without them and gives the number of the first plan that had them", t, func() {
		first, published := omitRepeatedParts(nil, plan(1, 1, 4))
		So(published, ShouldEqual, first)
		second, published := omitRepeatedParts(first, plan(1, 2, 4))
		So(published.Caps, ShouldBeEmpty)
		So(published.Repeats, ShouldEqual, 1)
		So(second.Caps, ShouldHaveLength, 1)
		third, published := omitRepeatedParts(second, plan(1, 3, 4))
		So(published.Repeats, ShouldEqual, 1)
		fourth, published := omitRepeatedParts(third, plan(1, 4, 5))
		So(published.Repeats, ShouldEqual, 0)
		So(published.Caps, ShouldHaveLength, 1)
		_, published = omitRepeatedParts(fourth, plan(2, 5, 5))
		So(published.Caps, ShouldHaveLength, 1)
	})
	Convey("A plan without shares and caps is never published as a repetition", t, func() {
		first, _ := omitRepeatedParts(nil, &wire.Plan{Term: 1, Number: 1})
		_, published := omitRepeatedParts(first, &wire.Plan{Term: 1, Number: 2})
		So(published.Repeats, ShouldEqual, 0)
	})
}
