package node

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestNearestAddresses(t *testing.T) {
	fronts := []*wire.Process{
		{CallerAddress: "n1", Region: "north", Ready: true}, {CallerAddress: "n2", Region: "north", Ready: true},
		{CallerAddress: "s1", Region: "south", Ready: true}, {CallerAddress: "n3", Region: "north"},
		{
			CallerAddress: "n4",
			Region:        "north",
			Ready:         true,
			Leaving:       true,
		}, {Region: "north", Ready: true},
	}
	named := func(region string, most int) []string {
		got := nearestAddresses(fronts, region, most)
		slices.Sort(got)
		return got
	}
	Convey("Clients get the ready fronts of their region that are not leaving, and all others where it has none", t, func() {
		So(named("north", 64), ShouldResemble, []string{"n1", "n2"})
		So(named("west", 64), ShouldResemble, []string{"n1", "n2", "s1"})
		So(named("west", 2), ShouldHaveLength, 2)
		So(nearestAddresses(nil, "north", 64), ShouldBeEmpty)
	})
}
