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
	sortedAddresses := func(region string, limit int) []string {
		got := nearestAddresses(fronts, region, limit)
		slices.Sort(got)
		return got
	}
	Convey("The addresses are those of ready fronts in the region that are not leaving, or in any region if it has none", t, func() {
		So(sortedAddresses("north", 64), ShouldResemble, []string{"n1", "n2"})
		So(sortedAddresses("west", 64), ShouldResemble, []string{"n1", "n2", "s1"})
		So(sortedAddresses("west", 2), ShouldHaveLength, 2)
		So(nearestAddresses(nil, "north", 64), ShouldBeEmpty)
	})
}
