package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/wire"
)

func TestFoldsOfACoreThatHasJustBegun(t *testing.T) {
	sight := func(watcher string, counter uint64, state wire.ServerState, running uint32) *wire.Report {
		return &wire.Report{Watcher: watcher, Server: "m1", Incarnation: 1, Counter: counter, AtMs: 1000 + int64(counter),
			Status: &wire.ServerStatus{Name: "m1", Address: "127.0.0.1:1", State: state, Reachable: true, Running: running, Incarnation: 7}}
	}
	ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
	at := time.UnixMilli(2000)

	Convey("It tells no server free while it may not have heard the sight that keeps requests away", t, func() {
		r := newReports("c1", 5, serverstatus.Config{})
		r.merge(sight("f1/own", 1, ready, 0), at)
		So(r.due(true, false, at), ShouldBeEmpty)
		So(r.snapshot(), ShouldBeEmpty)

		r.merge(sight("f2/list", 2, draining, 0), at)
		due := r.due(false, false, at)
		So(due, ShouldHaveLength, 1)
		So(due[0].GetReport().Status.State, ShouldEqual, draining)

		Convey("and once it has heard all, mere load follows on the fold without the rest of it", func() {
			r.merge(sight("f1/own", 3, ready, 4), at)
			So(r.due(false, true, at), ShouldBeEmpty)
			due := r.due(true, true, at.Add(time.Second))
			So(due, ShouldHaveLength, 1)
			So(due[0].GetLoad().Running, ShouldEqual, 4)
			So(r.due(true, true, at.Add(2*time.Second)), ShouldBeEmpty)
			So(r.snapshot()[0].Status.Running, ShouldEqual, 4)
			So(r.snapshot()[0].Status.State, ShouldEqual, draining)
		})
	})
}
