package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

func TestFeed(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *fleet) {
		Convey("A new follower gets a snapshot and then each change immediately, and waits if there is none", t, func() {
			first := f.follow("c2", nil, time.Second)
			So(first.Snapshot.Epoch, ShouldEqual, f.agreed.Load().state.Version)
			state, err := statemachine.DecodeState(first.Snapshot.State)
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
			f.putSheet()
			next := <-got
			So(time.Since(startedAt), ShouldBeLessThan, 100*time.Millisecond)
			So(next.Changes[0].GetChosen().Epoch, ShouldEqual, first.Snapshot.Epoch+1)
			So(next.Changes[0].Place, ShouldEqual, first.Place+1)
		})
		Convey("A follower with an offset of another feed, or one that the feed does not hold, gets a snapshot", t, func() {
			own := f.follow("c2", nil, time.Second)
			other := f.follow("c3", own, time.Second)
			So(other.Snapshot, ShouldNotBeNil)
			So(other.Snapshot.State, ShouldBeEmpty)
			ahead := &wire.FollowResponse{Feed: own.Feed, Place: own.Place + 9}
			So(f.follow("c2", ahead, time.Second).Snapshot, ShouldNotBeNil)
		})
	})
}
