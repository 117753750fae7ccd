package control_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

// allServeThroughout reports whether exactly the given number of fronts serves
// throughout a span.
func allServeThroughout(f *fleet, fronts int, span time.Duration) bool {
	for startedAt := time.Now(); time.Since(startedAt) < span; f.advance(50 * time.Millisecond) {
		if f.servingFronts() != fronts {
			return false
		}
	}
	return true
}

// betweenRenewals is half of the interval at which fronts renew. Most of them renew at the
// same instants, so that a span that begins and ends halfway counts each of these completely.
const betweenRenewals = 250 * time.Millisecond

// callRates lets a span pass that begins and ends between renewals, and returns the calls
// per second during it.
func callRates(f *fleet, span time.Duration) (renewals, batches float64) {
	f.advance(betweenRenewals)
	renewals, batches = float64(f.renewals.Load()), float64(f.batches.Load())
	f.advance(span)
	return (float64(f.renewals.Load()) - renewals) / span.Seconds(), (float64(f.batches.Load()) - batches) / span.Seconds()
}

func TestRelayedRenewals(t *testing.T) {
	withFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("In a large fleet each front renews at one core, and cores relay renewals in batches", t, func() {
			So(f.servingFronts(), ShouldEqual, 60)
			f.advance(5 * time.Second)
			renewals, batches := callRates(f, 10*time.Second)
			So(renewals, ShouldBeBetween, 2*60*0.95, 2*60*1.05)
			So(batches, ShouldBeLessThanOrEqualTo, 6*10)
		})
		Convey("Each core holds the lease of every member", t, func() {
			for _, name := range voters {
				view, err := f.cores[name].LeaseView(f.ctx, &wire.LeaseViewRequest{Epoch: 1})
				So(err, ShouldBeNil)
				So(view.Confirmed, ShouldHaveLength, 60)
				So(view.Waiting, ShouldBeEmpty)
			}
		})
		Convey("No lease expires when a core through which many fronts renew is killed", t, func() {
			f.kill("c2")
			So(allServeThroughout(f, 59, 10*time.Second), ShouldBeTrue)
		})
	})
	withFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("No front other than the core's own loses its authority when a core becomes unresponsive", t, func() {
			f.setFlags(&f.partitioned, true, "c2")
			So(allServeThroughout(f, 60, 1500*time.Millisecond), ShouldBeTrue)
			for range 100 {
				f.advance(50 * time.Millisecond)
				So(f.servingFronts(), ShouldBeGreaterThanOrEqualTo, 59)
			}
		})
	})
	withFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("No front loses its authority when the cores are too slow to relay, because fronts then renew at each of them", t, func() {
			f.batchLatency.Store(int64(2 * time.Second))
			So(allServeThroughout(f, 60, 10*time.Second), ShouldBeTrue)
			f.batchLatency.Store(0)
			So(allServeThroughout(f, 60, 10*time.Second), ShouldBeTrue)
			renewals, _ := callRates(f, 10*time.Second)
			So(renewals, ShouldBeLessThan, 2*60*1.05)
		})
	})
	withFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("A lease is timed from when the front sent the request, however long the relay takes", t, func() {
			f.batchLatency.Store(int64(200 * time.Millisecond))
			f.advance(5 * time.Second)
			for phase := range 8 {
				f.setFlags(&f.partitioned, true, "f30")
				partitionedAt := time.Now()
				for f.fronts["f30"].HasAuthority() {
					f.advance(5 * time.Millisecond)
				}
				So(time.Since(partitionedAt), ShouldBeLessThanOrEqualTo, 2*time.Second)
				f.setFlags(&f.partitioned, false, "f30")
				f.advance(8*time.Second + time.Duration(phase)*97*time.Millisecond)
				So(f.fronts["f30"].HasAuthority(), ShouldBeTrue)
			}
		})
	})
	withFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("A restarted core gets the members' process records from the cores that relay renewals", t, func() {
			f.advance(2 * time.Second)
			f.kill("c2")
			f.advance(10 * time.Second)
			f.buildProcess("c2")
			f.setFlags(&f.stopped, false, "c2")
			f.startProcess("c2")
			before := f.renewals.Load()
			f.advance(1200 * time.Millisecond)
			So(f.renewals.Load()-before, ShouldBeLessThan, 200)
			view, err := f.cores["c2"].LeaseView(f.ctx, &wire.LeaseViewRequest{Epoch: 1})
			So(err, ShouldBeNil)
			So(view.Confirmed, ShouldHaveLength, 60)
		})
		Convey("A batch with a member that is unconfirmed or has no name is rejected", t, func() {
			for _, renewal := range []*wire.RenewRequest{{Name: "f1", Unconfirmed: true}, {}} {
				_, err := f.cores["c1"].RenewBatch(f.ctx, &wire.RenewBatchRequest{Renewals: []*wire.RenewRequest{renewal}})
				So(err, ShouldNotBeNil)
				So(connect.CodeOf(err), ShouldEqual, connect.CodeUnknown)
			}
		})
	})
}
