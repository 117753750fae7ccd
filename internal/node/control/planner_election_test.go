package control_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/election"
	"stepwick/internal/wire"
)

func TestPlannerTerms(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *fleet) {
		Convey("If the planner's leader is killed another core becomes the leader, its plans carry the new term, and plans of the former term are dropped", t, func() {
			f.putSheet()
			f.submitReport("f1", 1, &wire.ServerStatus{Name: "m1", State: wire.ServerState_SERVER_STATE_READY})
			f.advance(3 * time.Second)
			leader := f.agreed.Load().state.Roles[election.Planner]
			So(leader.Term, ShouldEqual, 1)
			plan := f.follow("c3", nil, time.Second).Snapshot.Plan
			So(plan.Term, ShouldEqual, 1)
			So(plan.Holder, ShouldEqual, leader.Holder)
			So(plan.Caps, ShouldHaveLength, 1)

			f.kill(leader.Holder)
			f.advance(6 * time.Second)
			next := f.agreed.Load().state.Roles[election.Planner]
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
		Convey("A partitioned leader loses the role, and does not claim it again when the partition heals", t, func() {
			leader := f.agreed.Load().state.Roles[election.Planner]
			f.setFlags(&f.partitioned, true, leader.Holder)
			f.advance(6 * time.Second)
			So(f.agreed.Load().state.Roles[election.Planner].Term, ShouldEqual, 2)
			f.setFlags(&f.partitioned, false, leader.Holder)
			f.advance(6 * time.Second)
			So(f.agreed.Load().state.Roles[election.Planner].Term, ShouldEqual, 2)
		})
	})
}
