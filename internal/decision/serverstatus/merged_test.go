package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestMergedReportsFromTheFeed(t *testing.T) {
	now := time.UnixMilli(100_000)
	report := func(watcher string, counter uint64, timestampMS int64, state wire.ServerState, running uint32) *wire.Report {
		return &wire.Report{Watcher: watcher, Server: "m1", Incarnation: 1, Counter: counter, AtMs: timestampMS,
			Status: &wire.ServerStatus{Name: "m1", Address: "127.0.0.1:1", State: state, Reachable: true, Running: running, Incarnation: 7}}
	}
	ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
	state := func(store *ReportStore) wire.ServerState { return store.Servers()["m1"].State }

	Convey("A core's merged report is valid without repeats; a later report of this front can make the state more severe immediately", t, func() {
		store := NewReportStore(Config{})
		So(store.Add(report("c1/fold", 1, 50_000, ready, 2), now), ShouldBeTrue)
		store.Prune(now)
		So(state(store), ShouldEqual, ready)

		store.Add(report("f1/list", 1, 99_000, draining, 0), now)
		So(state(store), ShouldEqual, draining)

		Convey("until a newer merged report arrives, from any core", func() {
			store.Add(report("c2/fold", 1, 99_500, ready, 0), now)
			So(state(store), ShouldEqual, ready)
		})
		Convey("but a report of the front that is older than the merged one is ignored", func() {
			store.Add(report("c1/fold", 2, 99_600, ready, 0), now)
			store.Add(report("f1/list", 2, 99_400, draining, 0), now)
			So(state(store), ShouldEqual, ready)
		})
	})

	Convey("Load is applied to the merged report of the same incarnation, and only if it is newer", t, func() {
		store := NewReportStore(Config{})
		load := func(incarnation uint64, running uint32, timestampMS int64) bool {
			return store.AddLoad(&wire.Load{Server: "m1", Incarnation: incarnation, Running: running, AtMs: timestampMS})
		}
		So(load(7, 1, 60_000), ShouldBeFalse)
		store.Add(report("c1/fold", 1, 50_000, ready, 2), now)
		So(load(7, 9, 60_000), ShouldBeTrue)
		So(load(7, 3, 55_000), ShouldBeFalse)
		So(load(6, 4, 70_000), ShouldBeFalse)
		So(store.Servers()["m1"].Running, ShouldEqual, 9)
		store.Add(report("c1/fold", 2, 80_000, ready, 5), now)
		So(store.Servers()["m1"].Running, ShouldEqual, 5)
	})
}
