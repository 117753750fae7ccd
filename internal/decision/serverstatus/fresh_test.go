package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestOutdatedTimeouts(t *testing.T) {
	timedOut, answers := &wire.ServerStatus{Name: "m1"}, &wire.ServerStatus{Name: "m1", Reachable: true}
	Convey("One watcher's time-out counts while it is repeated, and no longer than the list is seen without it", t, func() {
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeFalse)
		So(mergedStatus(listReport("n1", 2, ready, 2900*time.Millisecond), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeFalse)
		So(mergedStatus(listReport("n1", 2, ready, 3100*time.Millisecond), serverReport("n2", 1, timedOut, 0)).Reachable, ShouldBeTrue)
	})
	Convey("Another watcher's answer counts against it", t, func() {
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0), serverReport("n3", 1, answers, 0)).Reachable, ShouldBeTrue)
		So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n2", 1, timedOut, 0), serverReport("n3", 1, answers, 0), serverReport("n4", 1, timedOut, 0)).Reachable, ShouldBeFalse)
	})
	Convey("A server is in slow start for as long as any fresh list report states", t, func() {
		warm, still := listReport("n1", 1, ready, 0), listReport("n2", 1, ready, 0)
		still.Status.ColdUntilMs = 5000
		So(mergedStatus(warm, still).ColdUntilMs, ShouldEqual, 5000)
	})
}
