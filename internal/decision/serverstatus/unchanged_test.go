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
			d.AddReport(r)
		}
		return uint64(d)
	}
	newStore := func(all ...*wire.Report) *ReportStore {
		store := NewReportStore(Config{})
		for _, report := range all {
			store.Add(report, now)
		}
		return store
	}
	unchanged := &wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: digest(reports[1], reports[0], reports[2]), AtMs: 99_000}

	Convey("A watcher's confirmation that its reports are unchanged renews their timestamps, except for servers that are gone", t, func() {
		store := newStore(reports...)
		servers, matches := store.ConfirmUnchanged(unchanged, now)
		So(matches, ShouldBeTrue)
		So(len(servers), ShouldEqual, 2)
		So(store.servers["m1"].reports["n1/list"].timestampMS, ShouldEqual, 99_000)
		So(store.servers["m3"].reports["n1/list"].timestampMS, ShouldEqual, 90_000)
	})
	Convey("The confirmation does not match if a report is missing, additional, of another incarnation or outdated", t, func() {
		for _, other := range []*ReportStore{newStore(reports[0]), newStore(), newStore(append(reports, report("m4", 4, ready))...), newStore(reports[0], report("m2", 9, ready))} {
			_, matches := other.ConfirmUnchanged(unchanged, now)
			So(matches, ShouldBeFalse)
		}
		_, matches := newStore(reports...).ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 4, Digest: unchanged.Digest, AtMs: 99_000}, now)
		So(matches, ShouldBeFalse)
	})
	Convey("A timestamp too far in the future is replaced with the current time", t, func() {
		store := newStore(reports...)
		_, matches := store.ConfirmUnchanged(&wire.Unchanged{Watcher: "n1/list", Incarnation: 3, Digest: unchanged.Digest, AtMs: 150_000}, now)
		So(matches, ShouldBeTrue)
		So(store.servers["m1"].reports["n1/list"].timestampMS, ShouldEqual, 100_000)
	})
}
