package serverstatus

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"stepwick/internal/wire"
)

const (
	ready    = wire.ServerState_SERVER_STATE_READY
	cold     = wire.ServerState_SERVER_STATE_COLD
	draining = wire.ServerState_SERVER_STATE_DRAINING
	leaving  = wire.ServerState_SERVER_STATE_LEAVING
	gone     = wire.ServerState_SERVER_STATE_GONE
)

var start = time.UnixMilli(1_000_000)

func listReport(watcher string, counter uint64, state wire.ServerState, offset time.Duration) *wire.Report {
	return &wire.Report{Watcher: WatcherID(watcher, SourceList), Server: "m1", Incarnation: 1, Counter: counter, AtMs: start.Add(offset).UnixMilli(),
		Status: &wire.ServerStatus{Name: "m1", Address: "127.0.0.1:1", Kind: "model", Services: []string{"chat"}, Region: "lagos", Zone: "a", State: state}}
}

func serverReport(watcher string, counter uint64, status *wire.ServerStatus, offset time.Duration) *wire.Report {
	return &wire.Report{Watcher: WatcherID(watcher, SourceServer), Server: "m1", Incarnation: 1, Counter: counter, AtMs: start.Add(offset).UnixMilli(), Status: status}
}

func mergedStatus(reports ...*wire.Report) *wire.ServerStatus {
	store := NewReportStore(Config{})
	for _, report := range reports {
		store.Add(report, start.Add(time.Hour))
	}
	return store.Servers()["m1"]
}

func TestMerge(t *testing.T) {
	Convey("The merge of reports", t, func() {
		Convey("applies a drain reported by one watcher immediately", func() {
			So(mergedStatus(listReport("n1", 1, ready, 0), listReport("n2", 1, draining, 0)).State, ShouldEqual, draining)
			So(mergedStatus(listReport("n1", 1, draining, 0), listReport("n2", 1, ready, time.Second)).State, ShouldEqual, draining)
		})
		Convey("does not let a stopped watcher hide a drain", func() {
			So(mergedStatus(listReport("n1", 9, ready, 0), listReport("n2", 1, draining, 5*time.Second)).State, ShouldEqual, draining)
			So(mergedStatus(listReport("n1", 9, draining, 0), listReport("n2", 1, ready, 2900*time.Millisecond)).State, ShouldEqual, draining)
		})
		Convey("does not let a stopped watcher prolong a drain", func() {
			So(mergedStatus(listReport("n1", 9, draining, 0), listReport("n2", 4, ready, 3100*time.Millisecond)).State, ShouldEqual, ready)
		})
		Convey("keeps the last report if all watchers stopped", func() {
			store := NewReportStore(Config{})
			store.Add(listReport("n1", 1, draining, 0), start)
			store.Prune(start.Add(time.Hour))
			So(store.Servers()["m1"].State, ShouldEqual, draining)
		})
		Convey("uses the most severe state of the list and the server itself, and the newest load", func() {
			s := mergedStatus(listReport("n1", 1, ready, 0),
				serverReport("n1", 1, &wire.ServerStatus{State: ready, Reachable: true, Incarnation: 7, Slots: 16, Running: 3}, 0),
				serverReport("n2", 1, &wire.ServerStatus{State: cold, Reachable: true, Incarnation: 7, Slots: 16, Running: 5, Answered: 2}, time.Second))
			So(s.State, ShouldEqual, cold)
			So(s.Running, ShouldEqual, 5)
			So(s.Reachable, ShouldBeTrue)
			So(s.Address, ShouldEqual, "127.0.0.1:1")
		})
		Convey("considers a server gone if the connections of all fresh watchers are refused, but not if only one is", func() {
			refused := &wire.ServerStatus{Name: "m1", State: gone}
			reachable := &wire.ServerStatus{State: ready, Reachable: true}
			So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n1", 1, refused, 0), serverReport("n2", 1, refused, 0)).State, ShouldEqual, gone)
			s := mergedStatus(listReport("n1", 1, ready, 0), serverReport("n1", 1, refused, 0), serverReport("n2", 1, reachable, 0))
			So(s.State, ShouldEqual, ready)
			So(s.Reachable, ShouldBeTrue)
		})
		Convey("considers a server unreachable if the requests of a majority of watchers timed out", func() {
			timedOut := &wire.ServerStatus{Name: "m1"}
			reachable := &wire.ServerStatus{State: ready, Reachable: true}
			So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n1", 1, timedOut, 0), serverReport("n2", 1, reachable, 0), serverReport("n3", 1, reachable, 0)).Reachable, ShouldBeTrue)
			So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n1", 1, timedOut, 0), serverReport("n2", 1, timedOut, 0), serverReport("n3", 1, reachable, 0)).Reachable, ShouldBeFalse)
			So(mergedStatus(listReport("n1", 1, ready, 0), serverReport("n1", 1, reachable, 0), serverReport("n2", 1, timedOut, 4*time.Second)).Reachable, ShouldBeFalse)
		})
		Convey("replaces timestamps that are too far in the future with the current time", func() {
			store := NewReportStore(Config{})
			store.Add(listReport("n1", 1, ready, time.Hour), start)
			store.Add(listReport("n2", 1, draining, 0), start)
			So(store.Servers()["m1"].State, ShouldEqual, draining)
		})
		Convey("removes a server that has been gone for longer than RetainFor", func() {
			store := NewReportStore(Config{})
			store.Add(listReport("n1", 1, gone, 0), start)
			store.Prune(start.Add(29 * time.Second))
			So(store.Servers(), ShouldContainKey, "m1")
			store.Prune(start.Add(31 * time.Second))
			So(store.Servers(), ShouldNotContainKey, "m1")
			So(store.Reports(), ShouldBeEmpty)
		})
		Convey("keeps the pointer of an unchanged status and rejects a report with an equal counter", func() {
			store := NewReportStore(Config{})
			store.Add(listReport("n1", 1, ready, 0), start)
			first := store.Servers()
			store.Add(listReport("n1", 2, ready, time.Second), start.Add(time.Second))
			So(store.Servers()["m1"], ShouldPointTo, first["m1"])
			So(store.Add(listReport("n1", 2, draining, time.Second), start), ShouldBeFalse)
		})
	})
}

func drawReport(t *rapid.T) *wire.Report {
	watcher := rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "watcher")
	offset := time.Duration(rapid.IntRange(0, 9000).Draw(t, "at")) * time.Millisecond
	counter := rapid.Uint64Range(1, 5).Draw(t, "counter")
	state := rapid.SampledFrom([]wire.ServerState{ready, cold, draining, leaving, gone}).Draw(t, "state")
	if rapid.Bool().Draw(t, "list") {
		return listReport(watcher, counter, state, offset)
	}
	return serverReport(watcher, counter, &wire.ServerStatus{State: state, Reachable: state != gone, Running: uint32(counter)}, offset)
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(drawReport), 1, 20).Draw(t, "reports")
		unique := map[string]*wire.Report{}
		for _, report := range drawn {
			key := report.Watcher + string(rune('0'+report.Counter))
			if unique[key] == nil {
				unique[key] = report
			}
		}
		var all []*wire.Report
		for _, report := range unique {
			all = append(all, report)
		}
		permuted := append(rapid.Permutation(all).Draw(t, "order"), all[0])
		a, b := mergedStatus(all...), mergedStatus(permuted...)
		if !sameStatus(a, b) {
			t.Fatalf("the merged status depends on the order of the reports: %v and %v", a, b)
		}
		store := NewReportStore(Config{})
		for _, report := range all {
			store.Add(proto.CloneOf(report), start.Add(time.Hour))
		}
		snapshot := mergedStatus(store.Reports()...)
		if !sameStatus(a, snapshot) {
			t.Fatalf("the status merged from a snapshot of the reports differs: %v and %v", a, snapshot)
		}
	})
}
