package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestReportsThatStand(t *testing.T) {
	now := time.UnixMilli(100_000)
	report := func(server string, counter uint64, state wire.ServerState) *wire.Report {
		return &wire.Report{Watcher: "n1/list", Server: server, Incarnation: 3, Counter: counter, AtMs: 90_000,
			Status: &wire.ServerStatus{Name: server, Address: server, State: state}}
	}
	ready, gone := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_GONE
	told := []*wire.Report{report("m1", 1, ready), report("m2", 2, ready), report("m3", 3, gone)}
	digest := func(reports ...*wire.Report) uint64 {
		var d Digest
		for _, r := range reports {
			d.Add(r)
		}
		return uint64(d)
	}
	held := func(reports ...*wire.Report) *ReportStore {
		r := NewReportStore(Config{})
		for _, report := range reports {
			r.Add(report, now)
		}
		return r
	}
	stands := &wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: digest(told[1], told[0], told[2]), AtMs: 99_000}

	Convey("A watcher's word that its reports stand dates them anew, those of servers that are gone excepted", t, func() {
		r := held(told...)
		servers, known := r.ConfirmUnchanged(stands, now)
		So(known, ShouldBeTrue)
		So(len(servers), ShouldEqual, 2)
		So(r.servers["m1"].sightings["n1/list"].at, ShouldEqual, 99_000)
		So(r.servers["m3"].sightings["n1/list"].at, ShouldEqual, 90_000)
	})
	Convey("It is not known where a report is missing, too many, of another process or of another time", t, func() {
		for _, other := range []*ReportStore{held(told[0]), held(), held(append(told, report("m4", 4, ready))...), held(told[0], report("m2", 9, ready))} {
			_, known := other.ConfirmUnchanged(stands, now)
			So(known, ShouldBeFalse)
		}
		_, known := held(told...).ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 4, Digest: stands.Digest, AtMs: 99_000}, now)
		So(known, ShouldBeFalse)
	})
	Convey("A time that lies ahead counts as now", t, func() {
		r := held(told...)
		_, known := r.ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: stands.Digest, AtMs: 150_000}, now)
		So(known, ShouldBeTrue)
		So(r.servers["m1"].sightings["n1/list"].at, ShouldEqual, 100_000)
	})
}
