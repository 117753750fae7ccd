package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestOutdatedTimeouts(t *testing.T) {
	timedOut, reachable := &wire.ServerStatus{Name: "m1"}, &wire.ServerStatus{Name: "m1", Reachable: true}
	Convey("A time-out reported by one watcher expires when reports from the list are newer by more than FreshFor", t, func() {
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeFalse)
		So(mergedStatus(listReport("n1", 2, ready, 2900*time.Millisecond), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeFalse)
		So(mergedStatus(listReport("n1", 2, ready, 3100*time.Millisecond), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeTrue)
	})
	Convey("An answer to another watcher outweighs a single time-out, but not a majority of time-outs", t, func() {
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0), serverReport("n3", 1, reachable, 0)).Reachable, ShouldBeTrue)
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0), serverReport("n3", 1, reachable, 0), serverReport("n4", 1, timedOut, 0)).Reachable, ShouldBeFalse)
	})
	Convey("Slow start lasts as long as the longest of the fresh reports from the list", t, func() {
		warm, slowStarting := listReport("n1", 1, ready, 0), listReport("n2", 1, ready, 0)
		slowStarting.Status.ColdUntilMs = 5000
		So(mergedStatus(warm, slowStarting).ColdUntilMs, ShouldEqual, 5000)
	})
}
