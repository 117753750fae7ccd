package quota

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRelays(t *testing.T) {
	fronts := []string{"a", "b", "c", "d", "e", "f"}
	others := []string{"c", "d", "e", "f"}
	start := time.Unix(1_800_000_000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	unresponsive := []string{"b"}

	Convey("Without a front that doesn't answer there are no probes", t, func() {
		So(NewRelays("a", Config{}).Probes(fronts, nil, start), ShouldBeEmpty)
	})
	Convey("For an unresponsive front three others are asked, none of them unresponsive, and once a second", t, func() {
		relays := NewRelays("a", Config{})
		first := relays.Probes(fronts, unresponsive, start)
		So(first, ShouldHaveLength, 3)
		for _, probe := range first {
			So(probe.Front, ShouldEqual, "b")
			So(others, ShouldContain, probe.Relay)
		}
		So(relays.Probes(fronts, unresponsive, at(900)), ShouldBeEmpty)
		Convey("and the one left out is among the next three", func() {
			asked := relays.Probes(fronts, unresponsive, at(1000))
			for _, name := range others {
				probe := Way{Front: "b", Relay: name}
				So(slices.Contains(first, probe) || slices.Contains(asked, probe), ShouldBeTrue)
			}
		})
		Convey("and the first that answers is the relay, until it fails or its answer is old", func() {
			relays.Answered(first[1], at(100))
			relays.Answered(first[0], at(110))
			routes := relays.Routes(at(200))
			So(routes, ShouldResemble, map[string]string{"b": first[1].Relay})
			So(WithoutRoutes(unresponsive, routes), ShouldBeEmpty)
			So(relays.Probes(fronts, unresponsive, at(1000)), ShouldResemble, []Way{first[1]})
			So(relays.Routes(at(2200)), ShouldBeEmpty)
			relays.Failed(first[0])
			So(relays.Routes(at(1100)), ShouldNotBeEmpty)
			relays.Failed(first[1])
			So(relays.Routes(at(1100)), ShouldBeEmpty)
			So(relays.Probes(fronts, unresponsive, at(1100)), ShouldHaveLength, 3)
		})
		Convey("and it has no relay once it is responsive again", func() {
			relays.Answered(first[1], at(100))
			So(relays.Probes(fronts, nil, at(200)), ShouldBeEmpty)
			So(relays.Routes(at(200)), ShouldBeEmpty)
		})
	})
	Convey("A suspected front is also asked directly, and is not sought further once it answers that", t, func() {
		relays := NewRelays("a", Config{})
		relays.Suspect("b")
		probes := relays.Probes(fronts, nil, start)
		So(probes, ShouldHaveLength, 4)
		So(probes, ShouldContain, Way{Front: "b"})
		relays.Answered(Way{Front: "b"}, at(10))
		So(relays.Probes(fronts, nil, at(2000)), ShouldBeEmpty)
	})
	Convey("This front is never sought, nor is one that left the roster", t, func() {
		relays := NewRelays("a", Config{})
		relays.Suspect("a")
		relays.Suspect("gone")
		So(relays.Probes(fronts, nil, start), ShouldBeEmpty)
	})
	Convey("Ways are sought to a bounded number of fronts", t, func() {
		relays := NewRelays("a", Config{})
		So(relays.Probes(fronts, []string{"b", "c", "d", "e", "f"}, start), ShouldBeEmpty)
		So(relays.sought, ShouldHaveLength, maxSoughtFronts)
	})
	Convey("A front relays to members that are responsive to it, and to no other", t, func() {
		So(MayRelayTo("c", fronts, unresponsive), ShouldBeTrue)
		So(MayRelayTo("b", fronts, unresponsive), ShouldBeFalse)
		So(MayRelayTo("gone", fronts, unresponsive), ShouldBeFalse)
	})
}
