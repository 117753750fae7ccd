package plan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShares(t *testing.T) {
	Convey("Shares", t, func() {
		input := Input{State: stateOf(70, 30), Servers: fleet(0)}
		Convey("follow the weights whatever the number of servers, from every region", func() {
			delete(input.Servers, "m2")
			result := Compute(input)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldAlmostEqual, 0.7)
			So(shareOf(result, "chat", "abeokuta", "lagos"), ShouldAlmostEqual, 0.7)
		})
		Convey("spread what exceeds a region's capacity over the others", func() {
			for _, s := range input.Servers {
				s.Running = 14
			}
			result := Compute(input)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldBeLessThan, 0.7)
			So(shareOf(result, "chat", "lagos", "lagos"), ShouldBeGreaterThan, 0.5)
		})
		Convey("give nothing to a region without servers", func() {
			input.Servers["m0"].State, input.Servers["m2"].Reachable = leaving, false
			So(shareOf(Compute(input), "chat", "lagos", "abeokuta"), ShouldEqual, 1)
		})
		Convey("are absent for a service that no region has capacity for", func() {
			input.State.Evacuated = map[string]uint64{"lagos": 1, "abeokuta/a": 1, "abeokuta/b": 2}
			result := Compute(input)
			So(result.Shares, ShouldBeEmpty)
			So(result.Caps, ShouldBeEmpty)
		})
	})
}
