package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/wire"
)

func TestServerReportsAfterStart(t *testing.T) {
	report := func(watcher string, counter uint64, state wire.ServerState, running uint32) *wire.Report {
		return &wire.Report{Watcher: watcher, Server: "m1", Incarnation: 1, Counter: counter, AtMs: 1000 + int64(counter),
			Status: &wire.ServerStatus{Name: "m1", Address: "127.0.0.1:1", State: state, Reachable: true, Running: running, Incarnation: 7}}
	}
	ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
	now := time.UnixMilli(2000)
	allChanges := reportScope{includeLoad: true, allWatchersReported: true}

	Convey("No server is published as ready while a report that keeps requests away may still be missing", t, func() {
		reports := newServerReports("c1", 5, serverstatus.Config{})
		reports.addReport(report("f1/own", 1, ready, 0), now)
		So(reports.takeChanges(reportScope{includeLoad: true}, now), ShouldBeEmpty)
		So(reports.snapshot(), ShouldBeEmpty)

		reports.addReport(report("f2/list", 2, draining, 0), now)
		changes := reports.takeChanges(reportScope{}, now)
		So(changes, ShouldHaveLength, 1)
		So(changes[0].GetReport().Status.State, ShouldEqual, draining)

		Convey("After all watchers have reported, a change of load is published without the rest of the status", func() {
			reports.addReport(report("f1/own", 3, ready, 4), now)
			So(reports.takeChanges(reportScope{allWatchersReported: true}, now), ShouldBeEmpty)
			changes := reports.takeChanges(allChanges, now.Add(time.Second))
			So(changes, ShouldHaveLength, 1)
			So(changes[0].GetLoad().Running, ShouldEqual, 4)
			So(reports.takeChanges(allChanges, now.Add(2*time.Second)), ShouldBeEmpty)
			So(reports.snapshot()[0].Status.Running, ShouldEqual, 4)
			So(reports.snapshot()[0].Status.State, ShouldEqual, draining)
		})
	})
}
