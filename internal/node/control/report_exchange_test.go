package control_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/wire"
)

func TestServerReportsOnTheFeed(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A watcher's report to one core reaches the feeds of other cores, a drain immediately and a change of load alone within LoadInterval", t, func() {
			last := f.follow("c3", nil, time.Second)
			f.submitReport("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Server, ShouldEqual, "m1")

			startedAt := time.Now()
			f.submitReport("f1", 2, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY, Running: 3})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetLoad().Running, ShouldEqual, 3)
			So(time.Since(startedAt), ShouldBeLessThanOrEqualTo, 1100*time.Millisecond)

			startedAt = time.Now()
			f.submitReport("f1", 3, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_DRAINING})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Status.State, ShouldEqual, wire.ServerState_SERVER_STATE_DRAINING)
			So(time.Since(startedAt), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
		})
		Convey("A snapshot contains the newest report, and an older report changes nothing", t, func() {
			last := f.follow("c1", nil, time.Second)
			So(last.Snapshot.Reports, ShouldHaveLength, 1)
			So(last.Snapshot.Reports[0].Status.State, ShouldEqual, wire.ServerState_SERVER_STATE_DRAINING)
			f.submitReport("f1", 2, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			So(f.follow("c1", last, 2*time.Second).Changes, ShouldBeEmpty)
		})
	})
}

func TestUnchangedReports(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A watcher's statement that its reports are unchanged outlasts another watcher's older report at every core, and a core requests the reports if it does not have them", t, func() {
			ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
			f.submitReport("f1/list", 1, &wire.ServerStatus{Name: "m1", State: ready})
			f.submitReport("f2/list", 1, &wire.ServerStatus{Name: "m1", State: draining})
			last := f.follow("c3", nil, time.Second)
			f.advance(time.Second)
			var digest serverstatus.Digest
			digest.AddReport(&wire.Report{Server: "m1", Counter: 1})
			submitUnchanged := func(digest uint64) []string {
				resp, err := f.cores["c1"].Submit(f.ctx, &wire.SubmitRequest{From: "f1", Unchanged: []*wire.Unchanged{
					{Watcher: "f1/list", Incarnation: 1, Digest: digest, AtMs: time.Now().UnixMilli()}}})
				So(err, ShouldBeNil)
				return resp.Unknown
			}
			So(submitUnchanged(uint64(digest)+1), ShouldResemble, []string{"f1/list"})
			for range 5 {
				So(submitUnchanged(uint64(digest)), ShouldBeEmpty)
				f.advance(time.Second)
			}
			state := wire.ServerState_SERVER_STATE_UNSPECIFIED
			for state != ready {
				last = f.follow("c3", last, time.Second)
				So(last.Changes, ShouldNotBeEmpty)
				for _, change := range last.Changes {
					if report := change.GetReport(); report != nil {
						state = report.Status.State
					}
				}
			}
		})
	})
}
