package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestPlansThatRepeat(t *testing.T) {
	plan := func(term, number uint64, inFlight uint32) *wire.Plan {
		return &wire.Plan{Term: term, Number: number, Caps: []*wire.Cap{{Server: "m1", InFlight: inFlight}}}
	}
	Convey("A plan with the shares and caps of the one before is fed without them, and names the first that had them", t, func() {
		first, fed := repeating(nil, plan(1, 1, 4))
		So(fed, ShouldEqual, first)
		second, fed := repeating(first, plan(1, 2, 4))
		So(fed.Caps, ShouldBeEmpty)
		So(fed.Repeats, ShouldEqual, 1)
		So(second.Caps, ShouldHaveLength, 1)
		third, fed := repeating(second, plan(1, 3, 4))
		So(fed.Repeats, ShouldEqual, 1)
		fourth, fed := repeating(third, plan(1, 4, 5))
		So(fed.Repeats, ShouldEqual, 0)
		So(fed.Caps, ShouldHaveLength, 1)
		_, fed = repeating(fourth, plan(2, 5, 5))
		So(fed.Caps, ShouldHaveLength, 1)
	})
	Convey("An empty plan never claims to repeat one", t, func() {
		first, _ := repeating(nil, &wire.Plan{Term: 1, Number: 1})
		_, fed := repeating(first, &wire.Plan{Term: 1, Number: 2})
		So(fed.Repeats, ShouldEqual, 0)
	})
}
