package plan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShares(t *testing.T) {
	Convey("Shares", t, func() {
		in := Input{State: stateOf(70, 30), Servers: fleet(0)}
		Convey("follow the weights whatever the number of servers, from every region", func() {
			delete(in.Servers, "m2")
			p := Compute(in)
			So(shareOf(p, "chat", "lagos", "lagos"), ShouldAlmostEqual, 0.7)
			So(shareOf(p, "chat", "abeokuta", "lagos"), ShouldAlmostEqual, 0.7)
		})
		Convey("spread what exceeds a region's capacity over the others", func() {
			for _, s := range in.Servers {
				s.Running = 14
			}
			p := Compute(in)
			So(shareOf(p, "chat", "lagos", "lagos"), ShouldBeLessThan, 0.7)
			So(shareOf(p, "chat", "lagos", "lagos"), ShouldBeGreaterThan, 0.5)
		})
		Convey("give nothing to a region without servers", func() {
			in.Servers["m0"].State, in.Servers["m2"].Reachable = leaving, false
			So(shareOf(Compute(in), "chat", "lagos", "abeokuta"), ShouldEqual, 1)
		})
		Convey("are absent for a service that no region has capacity for", func() {
			in.State.Evacuated = map[string]uint64{"lagos": 1, "abeokuta/a": 1, "abeokuta/b": 2}
			p := Compute(in)
			So(p.Shares, ShouldBeEmpty)
			So(p.Caps, ShouldBeEmpty)
		})
	})
}
