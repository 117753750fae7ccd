package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/election"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/wire"
)

func withFleet(t *testing.T, fronts int, act func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, fronts)
		f.advance(6 * time.Second)
		act(t, f)
		cancel()
		f.advance(10 * time.Second)
	})
}

func (f *fleet) follow(core string, last *wire.FollowResponse, wait time.Duration) *wire.FollowResponse {
	req := &wire.FollowRequest{Who: "test", WaitMs: uint32(wait.Milliseconds())}
	if last != nil {
		req.Feed, req.Place, req.Epoch = last.Feed, last.Place, last.Learned
	}
	resp, err := f.cores[core].Follow(f.ctx, req)
	if err != nil {
		panic(err)
	}
	return resp
}

func (f *fleet) report(watcher string, counter uint64, status *wire.ServerStatus) {
	status.Address, status.Kind, status.Services, status.Region, status.Zone = "10.0.0.1:80", "model", []string{"chat"}, "lagos", "a"
	status.Reachable, status.Slots = true, 8
	_, err := f.cores["c1"].Submit(f.ctx, &wire.SubmitRequest{From: watcher, Reports: []*wire.Report{{Watcher: watcher, Server: status.Name,
		Incarnation: 1, Counter: counter, Status: status, AtMs: time.Now().UnixMilli()}}})
	if err != nil {
		panic(err)
	}
}

func (f *fleet) put(t *testing.T) {
	resp, err := f.cores["c1"].Order(f.ctx, &wire.OrderRequest{Operator: "ada", Verb: "put", Body: []byte(put(0, "first"))})
	So(err, ShouldBeNil)
	So(apierror.Code(resp.Code), ShouldEqual, apierror.OK)
}

func TestFeed(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		Convey("A new reader gets a snapshot, then each change at once, and waits when other is none", t, func() {
			first := f.follow("c2", nil, time.Second)
			So(first.Snapshot.Epoch, ShouldEqual, f.agreed.Load().state.Version)
			state, err := sheet.DecodeState(first.Snapshot.State)
			So(err, ShouldBeNil)
			So(len(state.Roster), ShouldEqual, 4)

			startedAt := time.Now()
			empty := f.follow("c2", first, time.Second)
			So(time.Since(startedAt), ShouldEqual, time.Second)
			So(empty.Changes, ShouldBeEmpty)
			So(empty.Place, ShouldEqual, first.Place)

			got := make(chan *wire.FollowResponse, 1)
			go func() { got <- f.follow("c2", empty, 5*time.Second) }()
			synctest.Wait()
			startedAt = time.Now()
			f.put(t)
			next := <-got
			So(time.Since(startedAt), ShouldBeLessThan, 100*time.Millisecond)
			So(next.Changes[0].GetChosen().Epoch, ShouldEqual, first.Snapshot.Epoch+1)
			So(next.Changes[0].Place, ShouldEqual, first.Place+1)
		})
		Convey("A reader of another feed, or one too far behind, gets a snapshot", t, func() {
			own := f.follow("c2", nil, time.Second)
			other := f.follow("c3", own, time.Second)
			So(other.Snapshot, ShouldNotBeNil)
			So(other.Snapshot.State, ShouldBeEmpty)
			ahead := &wire.FollowResponse{Feed: own.Feed, Place: own.Place + 9}
			So(f.follow("c2", ahead, time.Second).Snapshot, ShouldNotBeNil)
		})
	})
}

func TestServerReportsOnTheFeed(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A watcher's report to one core reaches the feeds of all; a drain at once, load alone within its interval", t, func() {
			last := f.follow("c3", nil, time.Second)
			f.report("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Server, ShouldEqual, "m1")

			startedAt := time.Now()
			f.report("f1", 2, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY, Running: 3})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetLoad().Running, ShouldEqual, 3)
			So(time.Since(startedAt), ShouldBeLessThanOrEqualTo, 1100*time.Millisecond)

			startedAt = time.Now()
			f.report("f1", 3, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_DRAINING})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Status.State, ShouldEqual, wire.ServerState_SERVER_STATE_DRAINING)
			So(time.Since(startedAt), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
		})
		Convey("An older report changes nothing, and a snapshot holds them all", t, func() {
			last := f.follow("c1", nil, time.Second)
			So(last.Snapshot.Reports, ShouldHaveLength, 1)
			So(last.Snapshot.Reports[0].Status.State, ShouldEqual, wire.ServerState_SERVER_STATE_DRAINING)
			f.report("f1", 2, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			So(f.follow("c1", last, 2*time.Second).Changes, ShouldBeEmpty)
		})
	})
}

func TestUnchangedReports(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A watcher's statement that its reports are unchanged outlives another's older report at every core, and the reports are requested where they are unknown", t, func() {
			ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
			f.report("f1/list", 1, &wire.ServerStatus{Name: "m1", State: ready})
			f.report("f2/list", 1, &wire.ServerStatus{Name: "m1", State: draining})
			last := f.follow("c3", nil, time.Second)
			f.advance(time.Second)
			var digest serverstatus.Digest
			digest.Add(&wire.Report{Server: "m1", Counter: 1})
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

func TestPlannerTerms(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		Convey("Another core becomes the planner's leader when the leader is killed, and its plans carry the new term", t, func() {
			f.put(t)
			f.report("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			f.advance(3 * time.Second)
			leader := f.agreed.Load().state.Duties[election.Planner]
			So(leader.Term, ShouldEqual, 1)
			plan := f.follow("c3", nil, time.Second).Snapshot.Plan
			So(plan.Term, ShouldEqual, 1)
			So(plan.Holder, ShouldEqual, leader.Holder)
			So(plan.Caps, ShouldHaveLength, 1)

			f.kill(leader.Holder)
			f.advance(6 * time.Second)
			next := f.agreed.Load().state.Duties[election.Planner]
			So(next.Term, ShouldEqual, 2)
			So(next.Holder, ShouldNotEqual, leader.Holder)
			latest := f.follow("c3", nil, time.Second).Snapshot.Plan
			So(latest.Term, ShouldEqual, 2)

			stale := &wire.Plan{Term: 1, Number: 99, Holder: leader.Holder}
			_, err := f.cores["c3"].Submit(f.ctx, &wire.SubmitRequest{From: leader.Holder, Plan: stale, Relayed: true})
			So(err, ShouldBeNil)
			So(f.follow("c3", nil, time.Second).Snapshot.Plan.Term, ShouldEqual, 2)
		})
	})
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A partitioned core loses the leadership, and finds it lost when the partition heals", t, func() {
			leader := f.agreed.Load().state.Duties[election.Planner]
			f.setFlag(&f.partitioned, true, leader.Holder)
			f.advance(6 * time.Second)
			So(f.agreed.Load().state.Duties[election.Planner].Term, ShouldEqual, 2)
			f.setFlag(&f.partitioned, false, leader.Holder)
			f.advance(6 * time.Second)
			So(f.agreed.Load().state.Duties[election.Planner].Term, ShouldEqual, 2)
		})
	})
}

func TestRosterChanges(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		Convey("Processes that renew are added to the roster by one change, which is completed", t, func() {
			state := f.agreed.Load().state
			So(state.Roster, ShouldHaveLength, 6)
			So(state.Settled(), ShouldBeTrue)
			So(f.servingFronts(), ShouldEqual, 6)
		})
		Convey("An unresponsive member stays; one that refuses for a minute is removed, and the change is completed", t, func() {
			f.kill("f6")
			f.setFlag(&f.partitioned, true, "f5")
			f.advance(50 * time.Second)
			So(f.agreed.Load().state.Roster, ShouldHaveLength, 6)
			f.advance(20 * time.Second)
			state := f.agreed.Load().state
			So(state.Roster, ShouldHaveLength, 5)
			So(state.Roster, ShouldContainKey, "f5")
			So(state.Settled(), ShouldBeTrue)
			So(f.fronts["f5"].Ruling(), ShouldBeFalse)
		})
	})
}

func TestNoLeaseBeforeCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 3)
		f.advance(6 * time.Second)
		Convey("A core that restarted without a majority rejects renewals with an error until it has caught up", t, func() {
			f.majorityLost.Store(true)
			f.stop["c1"]()
			f.advance(time.Second)
			again := control.New(control.Config{Self: "c1", Incarnation: 2}, atomicReplica{f}, memoryPeers{f, "c1"}, clock.System(), events.Discard)
			go again.Serve(ctx)
			f.advance(time.Second)
			req := &wire.RenewRequest{Self: f.processes["c2"], Epoch: f.agreed.Load().state.Version}
			_, err := again.Renew(ctx, req)
			So(apierror.From(err).Code, ShouldEqual, apierror.NoMajority)
			f.majorityLost.Store(false)
			f.advance(4 * time.Second)
			req.Epoch = f.agreed.Load().state.Version
			resp, err := again.Renew(ctx, req)
			So(err, ShouldBeNil)
			So(resp.Granted, ShouldBeTrue)
			So(resp.TtlMs, ShouldEqual, 2000)
		})
		cancel()
		f.advance(10 * time.Second)
	})
}
