package lease

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestStatusTrackerPublishesOnlyChanges(t *testing.T) {
	Convey("Given a core that published the status of a listed process and of one that is not", t, func() {
		table := NewTable("c1", ttl, at(0))
		tracker := NewStatusTracker()
		members := roster("a", "b")
		table.Renew(renewal("a", 1, 5), 5, at(100))
		table.Renew(renewal("z", 1, 5), 5, at(100))
		So(tracker.UpdateAll(table, members, at(100)), ShouldHaveLength, 2)
		Convey("an unchanged status is not published again, whatever the counter", func() {
			again := renewal("a", 1, 5)
			again.Self.Counter = 9
			table.Renew(again, 5, at(600))
			So(tracker.UpdateAll(table, members, at(600)), ShouldBeEmpty)
		})
		Convey("readiness, a later incarnation, a time-out and a refusal are each published once", func() {
			ready := renewal("a", 1, 5)
			ready.Self.Ready = true
			table.Renew(ready, 5, at(600))
			So(tracker.Update(table, "a", members, at(600)).Process.Ready, ShouldBeTrue)
			table.Renew(renewal("a", 2, 5), 5, at(700))
			So(tracker.Update(table, "a", members, at(700)).Process.Incarnation, ShouldEqual, 2)
			So(tracker.Update(table, "a", members, at(2700)).Silent, ShouldBeTrue)
			So(tracker.Update(table, "a", members, at(2800)), ShouldBeNil)
			table.RecordRefusal(MemberID{"a", 2}, at(2900))
			So(tracker.Update(table, "a", members, at(2900)).Gone, ShouldBeTrue)
			So(tracker.Update(table, "a", members, at(2900)), ShouldBeNil)
		})
		Convey("an older record that arrives late doesn't replace a newer one", func() {
			late := renewal("a", 1, 5)
			late.Self.Counter = 1
			late.Self.Zone = "old"
			ready := renewal("a", 1, 5)
			ready.Self.Counter = 2
			ready.Self.Ready = true
			table.Renew(ready, 5, at(600))
			table.Renew(late, 5, at(700))
			So(tracker.Update(table, "a", members, at(700)).Process.Ready, ShouldBeTrue)
		})
		Convey("a member that never renewed is unresponsive once the core's startup grace is over", func() {
			So(tracker.Update(table, "b", members, at(2000)), ShouldBeNil)
			So(tracker.Update(table, "b", members, at(2001)).Silent, ShouldBeTrue)
		})
		Convey("one that released its lease and is not listed is published as gone, then removed", func() {
			table.Release("z", 1, at(200))
			So(tracker.Update(table, "z", members, at(200)).Gone, ShouldBeTrue)
			table.Prune(at(61_000))
			So(tracker.Update(table, "z", members, at(61_000)), ShouldBeNil)
			for _, status := range tracker.Published() {
				So(status.Process.Name, ShouldNotEqual, "z")
			}
		})
	})
}

func TestSameProcess(t *testing.T) {
	Convey("Two records are the same only if every field but the counter is equal", t, func() {
		full := func() *wire.Process {
			return &wire.Process{Name: "a", Address: "b", CallerAddress: "c", Region: "d", Zone: "e", Core: true, Front: true, Incarnation: 1,
				Counter: 2, Standing: wire.Standing_STANDING_VOTING, Formation: "f", Ready: true, Leaving: true, Voters: []string{"g"}, DiskLife: 3}
		}
		fields := full().ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			other := full()
			other.ProtoReflect().Clear(fields.Get(i))
			So(SameProcess(full(), other), ShouldEqual, fields.Get(i).Name() == "counter")
		}
		So(SameProcess(full(), nil), ShouldBeFalse)
	})
}
