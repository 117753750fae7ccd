package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestConfirmUnchanged(t *testing.T) {
	now := time.UnixMilli(100_000)
	report := func(server string, counter uint64, state wire.ServerState) *wire.Report {
		return &wire.Report{Watcher: "n1/list", Server: server, Incarnation: 3, Counter: counter, AtMs: 90_000,
			Status: &wire.ServerStatus{Name: server, Address: server, State: state}}
	}
	ready, gone := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_GONE
	reports := []*wire.Report{report("m1", 1, ready), report("m2", 2, ready), report("m3", 3, gone)}
	digest := func(all ...*wire.Report) uint64 {
		var d Digest
		for _, r := range all {
			d.Add(r)
		}
		return uint64(d)
	}
	storeOf := func(all ...*wire.Report) *ReportStore {
		store := NewReportStore(Config{})
		for _, report := range all {
			store.Add(report, now)
		}
		return store
	}
	unchanged := &wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: digest(reports[1], reports[0], reports[2]), AtMs: 99_000}

	Convey("A watcher's statement that its reports are unchanged renews their instant, except on servers that are gone", t, func() {
		store := storeOf(reports...)
		servers, known := store.ConfirmUnchanged(unchanged, now)
		So(known, ShouldBeTrue)
		So(len(servers), ShouldEqual, 2)
		So(store.servers["m1"].reports["n1/list"].atMS, ShouldEqual, 99_000)
		So(store.servers["m3"].reports["n1/list"].atMS, ShouldEqual, 90_000)
	})
	Convey("It is unknown where a report is missing, additional, of another incarnation or outdated", t, func() {
		for _, other := range []*ReportStore{storeOf(reports[0]), storeOf(), storeOf(append(reports, report("m4", 4, ready))...), storeOf(reports[0], report("m2", 9, ready))} {
			_, known := other.ConfirmUnchanged(unchanged, now)
			So(known, ShouldBeFalse)
		}
		_, known := storeOf(reports...).ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 4, Digest: unchanged.Digest, AtMs: 99_000}, now)
		So(known, ShouldBeFalse)
	})
	Convey("An instant in the future counts as now", t, func() {
		store := storeOf(reports...)
		_, known := store.ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: unchanged.Digest, AtMs: 150_000}, now)
		So(known, ShouldBeTrue)
		So(store.servers["m1"].reports["n1/list"].atMS, ShouldEqual, 100_000)
	})
}
