package plan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShares(t *testing.T) {
	Convey("Shares", t, func() {
		input := Input{State: newState(70, 30), Servers: newFleet(0)}
		Convey("follow the weights for every region of origin, regardless of the number of servers", func() {
			delete(input.Servers, "m2")
			result := Compute(input)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldAlmostEqual, 0.7)
			So(shareOf(result, "chat", "abeokuta", "lagos"), ShouldAlmostEqual, 0.7)
		})
		Convey("distribute demand above a region's capacity over the other regions", func() {
			for _, s := range input.Servers {
				s.Running = 14
			}
			result := Compute(input)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldBeLessThan, 0.7)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldBeGreaterThan, 0.5)
		})
		Convey("exclude a region without usable servers", func() {
			input.Servers["m0"].State, input.Servers["m2"].Reachable = leaving, false
			So(shareOf(Compute(input), "chat", "lagos", "abeokuta"), ShouldEqual, 1)
		})
		Convey("are absent for a service without capacity in any region", func() {
			input.State.Evacuated = map[string]uint64{"lagos": 1, "abeokuta/a": 1, "abeokuta/b": 2}
			result := Compute(input)
			So(result.Shares, ShouldBeEmpty)
			So(result.Caps, ShouldBeEmpty)
		})
	})
}
