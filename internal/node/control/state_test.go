package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/wire"
)

func TestNoLeaseBeforeCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 3)
		f.advance(6 * time.Second)
		Convey("A restarted core without a majority answers renewals with an error until it has caught up", t, func() {
			f.majorityLost.Store(true)
			f.cancelServe["c1"]()
			f.advance(time.Second)
			restarted := control.New(control.Config{Self: "c1", Incarnation: 2}, atomicReplica{f}, memoryPeers{f, "c1"}, clock.System(), events.Discard)
			go func() { _ = restarted.Serve(ctx) }()
			f.advance(time.Second)
			req := &wire.RenewRequest{Self: f.processes["c2"], Epoch: f.agreed.Load().state.Version}
			_, err := restarted.Renew(ctx, req)
			So(apierror.From(err).Code, ShouldEqual, apierror.NoMajority)
			f.majorityLost.Store(false)
			f.advance(4 * time.Second)
			req.Epoch = f.agreed.Load().state.Version
			resp, err := restarted.Renew(ctx, req)
			So(err, ShouldBeNil)
			So(resp.Granted, ShouldBeTrue)
			So(resp.TtlMs, ShouldEqual, 2000)
		})
		cancel()
		f.advance(10 * time.Second)
	})
}
