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
	atMillisecond := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	unresponsive := []string{"b"}

	Convey("No probes are sent if all fronts are responsive", t, func() {
		So(NewRelays("a", Config{}).Probes(fronts, nil, start), ShouldBeEmpty)
	})
	Convey("An unresponsive front is probed through three responsive ones once a second", t, func() {
		relays := NewRelays("a", Config{})
		first := relays.Probes(fronts, unresponsive, start)
		So(first, ShouldHaveLength, 3)
		for _, probe := range first {
			So(probe.Front, ShouldEqual, "b")
			So(others, ShouldContain, probe.Relay)
		}
		So(relays.Probes(fronts, unresponsive, atMillisecond(900)), ShouldBeEmpty)
		Convey("and the remaining candidate is among the next three", func() {
			next := relays.Probes(fronts, unresponsive, atMillisecond(1000))
			for _, name := range others {
				probe := Path{Front: "b", Relay: name}
				So(slices.Contains(first, probe) || slices.Contains(next, probe), ShouldBeTrue)
			}
		})
		Convey("and the first to answer is used as the relay until it fails or its last answer expires", func() {
			relays.Answered(first[1], atMillisecond(100))
			relays.Answered(first[0], atMillisecond(110))
			routes := relays.ActiveRelays(atMillisecond(200))
			So(routes, ShouldResemble, map[string]string{"b": first[1].Relay})
			So(WithoutRelay(unresponsive, routes), ShouldBeEmpty)
			So(relays.Probes(fronts, unresponsive, atMillisecond(1000)), ShouldResemble, []Path{first[1]})
			So(relays.ActiveRelays(atMillisecond(2200)), ShouldBeEmpty)
			relays.Failed(first[0])
			So(relays.ActiveRelays(atMillisecond(1100)), ShouldNotBeEmpty)
			relays.Failed(first[1])
			So(relays.ActiveRelays(atMillisecond(1100)), ShouldBeEmpty)
			So(relays.Probes(fronts, unresponsive, atMillisecond(1100)), ShouldHaveLength, 3)
		})
		Convey("and no relay is used once the front is responsive again", func() {
			relays.Answered(first[1], atMillisecond(100))
			So(relays.Probes(fronts, nil, atMillisecond(200)), ShouldBeEmpty)
			So(relays.ActiveRelays(atMillisecond(200)), ShouldBeEmpty)
		})
	})
	Convey("A suspected front is also probed directly, and no longer once it answers directly", t, func() {
		relays := NewRelays("a", Config{})
		relays.Suspect("b")
		probes := relays.Probes(fronts, nil, start)
		So(probes, ShouldHaveLength, 4)
		So(probes, ShouldContain, Path{Front: "b"})
		relays.Answered(Path{Front: "b"}, atMillisecond(10))
		So(relays.Probes(fronts, nil, atMillisecond(2000)), ShouldBeEmpty)
	})
	Convey("Neither this front nor one that left the roster is probed", t, func() {
		relays := NewRelays("a", Config{})
		relays.Suspect("a")
		relays.Suspect("gone")
		So(relays.Probes(fronts, nil, start), ShouldBeEmpty)
	})
	Convey("The number of fronts that are probed is bounded", t, func() {
		relays := NewRelays("a", Config{})
		So(relays.Probes(fronts, []string{"b", "c", "d", "e", "f"}, start), ShouldBeEmpty)
		So(relays.targets, ShouldHaveLength, maxProbeTargets)
	})
	Convey("A front relays only to members that are responsive to it", t, func() {
		So(MayRelayTo("c", fronts, unresponsive), ShouldBeTrue)
		So(MayRelayTo("b", fronts, unresponsive), ShouldBeFalse)
		So(MayRelayTo("gone", fronts, unresponsive), ShouldBeFalse)
	})
}
