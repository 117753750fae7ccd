package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestSilenceOutlived(t *testing.T) {
	silent, answers := &wire.ServerStatus{Name: "m1"}, &wire.ServerStatus{Name: "m1", Reachable: true}
	Convey("One node's word that a server is silent holds while it is repeated, and no longer than the list is seen without it", t, func() {
		So(folded(listed("n1", 1, ready, 0), own("n2", 1, silent, 0)).Reachable, ShouldBeFalse)
		So(folded(listed("n1", 2, ready, 2900*time.Millisecond), own("n2", 1, silent, 0)).Reachable, ShouldBeFalse)
		So(folded(listed("n1", 2, ready, 3100*time.Millisecond), own("n2", 1, silent, 0)).Reachable, ShouldBeTrue)
	})
	Convey("Another node's word that it answers stands against it", t, func() {
		So(folded(listed("n1", 1, ready, 0), own("n2", 1, silent, 0), own("n3", 1, answers, 0)).Reachable, ShouldBeTrue)
		So(folded(listed("n1", 1, ready, 0), own("n2", 1, silent, 0), own("n3", 1, answers, 0), own("n4", 1, silent, 0)).Reachable, ShouldBeFalse)
	})
	Convey("A server is cold for as long as any fresh list says", t, func() {
		warm, still := listed("n1", 1, ready, 0), listed("n2", 1, ready, 0)
		still.Status.ColdUntilMs = 5000
		So(folded(warm, still).ColdUntilMs, ShouldEqual, 5000)
	})
}
