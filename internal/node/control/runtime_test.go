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
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/wire"
)

func inFleet(t *testing.T, fronts int, act func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, fronts)
		f.pass(6 * time.Second)
		act(t, f)
		cancel()
		f.pass(10 * time.Second)
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
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		Convey("A new reader gets a snapshot, then each change at once, and waits when there is none", t, func() {
			first := f.follow("c2", nil, time.Second)
			So(first.Snapshot.Epoch, ShouldEqual, f.agreed.Load().state.Version)
			state, err := statemachine.DecodeState(first.Snapshot.State)
			So(err, ShouldBeNil)
			So(len(state.Roster), ShouldEqual, 4)

			begun := time.Now()
			empty := f.follow("c2", first, time.Second)
			So(time.Since(begun), ShouldEqual, time.Second)
			So(empty.Changes, ShouldBeEmpty)
			So(empty.Place, ShouldEqual, first.Place)

			got := make(chan *wire.FollowResponse, 1)
			go func() { got <- f.follow("c2", empty, 5*time.Second) }()
			synctest.Wait()
			begun = time.Now()
			f.put(t)
			next := <-got
			So(time.Since(begun), ShouldBeLessThan, 100*time.Millisecond)
			So(next.Changes[0].GetChosen().Epoch, ShouldEqual, first.Snapshot.Epoch+1)
			So(next.Changes[0].Place, ShouldEqual, first.Place+1)
		})
		Convey("A reader of another feed, or one too far behind, gets a snapshot", t, func() {
			here := f.follow("c2", nil, time.Second)
			there := f.follow("c3", here, time.Second)
			So(there.Snapshot, ShouldNotBeNil)
			So(there.Snapshot.State, ShouldBeEmpty)
			ahead := &wire.FollowResponse{Feed: here.Feed, Place: here.Place + 9}
			So(f.follow("c2", ahead, time.Second).Snapshot, ShouldNotBeNil)
		})
	})
}

func TestReportsRideTheFeed(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("What a watcher told one core reaches the feeds of all; a drain at once, mere load within its pace", t, func() {
			last := f.follow("c3", nil, time.Second)
			f.report("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Server, ShouldEqual, "m1")

			begun := time.Now()
			f.report("f1", 2, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY, Running: 3})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetLoad().Running, ShouldEqual, 3)
			So(time.Since(begun), ShouldBeLessThanOrEqualTo, 1100*time.Millisecond)

			begun = time.Now()
			f.report("f1", 3, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_DRAINING})
			last = f.follow("c3", last, 5*time.Second)
			So(last.Changes[0].GetReport().Status.State, ShouldEqual, wire.ServerState_SERVER_STATE_DRAINING)
			So(time.Since(begun), ShouldBeLessThanOrEqualTo, 100*time.Millisecond)
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

func TestReportsThatStand(t *testing.T) {
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A watcher's word that its reports stand outlives another's older word at every core, and is asked about where it isn't known", t, func() {
			ready, draining := wire.ServerState_SERVER_STATE_READY, wire.ServerState_SERVER_STATE_DRAINING
			f.report("f1/list", 1, &wire.ServerStatus{Name: "m1", State: ready})
			f.report("f2/list", 1, &wire.ServerStatus{Name: "m1", State: draining})
			last := f.follow("c3", nil, time.Second)
			f.pass(time.Second)
			var digest serverstatus.Digest
			digest.Add(&wire.Report{Server: "m1", Counter: 1})
			stand := func(digest uint64) []string {
				resp, err := f.cores["c1"].Submit(f.ctx, &wire.SubmitRequest{From: "f1", Unchanged: []*wire.Unchanged{
					{Watcher: "f1/list", Incarnation: 1, Digest: digest, AtMs: time.Now().UnixMilli()}}})
				So(err, ShouldBeNil)
				return resp.Unknown
			}
			So(stand(uint64(digest)+1), ShouldResemble, []string{"f1/list"})
			for range 5 {
				So(stand(uint64(digest)), ShouldBeEmpty)
				f.pass(time.Second)
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
	inFleet(t, 5, func(t *testing.T, f *fleet) {
		Convey("The planner's duty passes to another core when its holder is killed, and its plans carry the new term", t, func() {
			f.put(t)
			f.report("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			f.pass(3 * time.Second)
			held := f.agreed.Load().state.Roles[election.Planner]
			So(held.Term, ShouldEqual, 1)
			plan := f.follow("c3", nil, time.Second).Snapshot.Plan
			So(plan.Term, ShouldEqual, 1)
			So(plan.Holder, ShouldEqual, held.Holder)
			So(plan.Caps, ShouldHaveLength, 1)

			f.kill(held.Holder)
			f.pass(6 * time.Second)
			next := f.agreed.Load().state.Roles[election.Planner]
			So(next.Term, ShouldEqual, 2)
			So(next.Holder, ShouldNotEqual, held.Holder)
			fresh := f.follow("c3", nil, time.Second).Snapshot.Plan
			So(fresh.Term, ShouldEqual, 2)

			stale := &wire.Plan{Term: 1, Number: 99, Holder: held.Holder}
			_, err := f.cores["c3"].Submit(f.ctx, &wire.SubmitRequest{From: held.Holder, Plan: stale, Relayed: true})
			So(err, ShouldBeNil)
			So(f.follow("c3", nil, time.Second).Snapshot.Plan.Term, ShouldEqual, 2)
		})
	})
	inFleet(t, 3, func(t *testing.T, f *fleet) {
		Convey("A core that is cut off loses the duty, and finds it lost when the cut heals", t, func() {
			held := f.agreed.Load().state.Roles[election.Planner]
			f.mark(&f.silent, true, held.Holder)
			f.pass(6 * time.Second)
			So(f.agreed.Load().state.Roles[election.Planner].Term, ShouldEqual, 2)
			f.mark(&f.silent, false, held.Holder)
			f.pass(6 * time.Second)
			So(f.agreed.Load().state.Roles[election.Planner].Term, ShouldEqual, 2)
		})
	})
}

func TestRosterChanges(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		Convey("Processes that renew are gathered into the roster by one change, which settles", t, func() {
			state := f.agreed.Load().state
			So(state.Roster, ShouldHaveLength, 6)
			So(state.RosterCommitted(), ShouldBeTrue)
			So(f.ruling(), ShouldEqual, 6)
		})
		Convey("A silent member stays; one that refuses for a minute leaves, and the change settles", t, func() {
			f.kill("f6")
			f.mark(&f.silent, true, "f5")
			f.pass(50 * time.Second)
			So(f.agreed.Load().state.Roster, ShouldHaveLength, 6)
			f.pass(20 * time.Second)
			state := f.agreed.Load().state
			So(state.Roster, ShouldHaveLength, 5)
			So(state.Roster, ShouldContainKey, "f5")
			So(state.RosterCommitted(), ShouldBeTrue)
			So(f.fronts["f5"].Ruling(), ShouldBeFalse)
		})
	})
}

func TestCoreThatCannotReadGivesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 3)
		f.pass(6 * time.Second)
		Convey("A core that restarted without a majority refuses renewals with a fault, until it has read", t, func() {
			f.split.Store(true)
			f.stop["c1"]()
			f.pass(time.Second)
			again := control.New(control.Config{Self: "c1", Incarnation: 2}, ballots{f}, links{f, "c1"}, clock.System(), events.Discard)
			go again.Serve(ctx)
			f.pass(time.Second)
			req := &wire.RenewRequest{Self: f.processes["c2"], Epoch: f.agreed.Load().state.Version}
			_, err := again.Renew(ctx, req)
			So(apierror.From(err).Code, ShouldEqual, apierror.NoMajority)
			f.split.Store(false)
			f.pass(4 * time.Second)
			req.Epoch = f.agreed.Load().state.Version
			resp, err := again.Renew(ctx, req)
			So(err, ShouldBeNil)
			So(resp.Granted, ShouldBeTrue)
			So(resp.TtlMs, ShouldEqual, 2000)
		})
		cancel()
		f.pass(10 * time.Second)
	})
}
