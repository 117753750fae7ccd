package control_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

// stays tells whether so many fronts rule at each look of a span.
func stays(f *fleet, ruling int, span time.Duration) bool {
	for begun := time.Now(); time.Since(begun) < span; f.pass(50 * time.Millisecond) {
		if f.ruling() != ruling {
			return false
		}
	}
	return true
}

// rates counts the calls of a span, a second.
func rates(f *fleet, span time.Duration) (renewals, batches float64) {
	renewals, batches = float64(f.renewals.Load()), float64(f.batches.Load())
	f.pass(span)
	return (float64(f.renewals.Load()) - renewals) / span.Seconds(), (float64(f.batches.Load()) - batches) / span.Seconds()
}

func TestRelayedRenewals(t *testing.T) {
	inFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("In a large fleet each front renews at one core, and cores tell each other in batches", t, func() {
			So(f.ruling(), ShouldEqual, 60)
			f.pass(5 * time.Second)
			renewals, batches := rates(f, 10*time.Second)
			So(renewals, ShouldBeBetween, 2*60*0.95, 2*60*1.05)
			So(batches, ShouldBeLessThanOrEqualTo, 6*10)
		})
		Convey("Each core has heard of every member by itself", t, func() {
			for _, name := range voters {
				view, err := f.cores[name].LeaseView(f.ctx, &wire.LeaseViewRequest{Epoch: 1})
				So(err, ShouldBeNil)
				So(view.Confirmed, ShouldHaveLength, 60)
				So(view.Waiting, ShouldBeEmpty)
			}
		})
		Convey("No lease lapses when a core is lost that many renew through", t, func() {
			f.kill("c2")
			So(stays(f, 59, 10*time.Second), ShouldBeTrue)
		})
	})
	inFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("Nor when one falls silent", t, func() {
			f.mark(&f.silent, true, "c2")
			So(stays(f, 60, 1500*time.Millisecond), ShouldBeTrue)
			for range 100 {
				f.pass(50 * time.Millisecond)
				So(f.ruling(), ShouldBeGreaterThanOrEqualTo, 59)
			}
		})
	})
	inFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("Nor when the cores no longer reach each other in time, as fronts then ask each of them", t, func() {
			f.slow.Store(int64(2 * time.Second))
			So(stays(f, 60, 10*time.Second), ShouldBeTrue)
			f.slow.Store(0)
			So(stays(f, 60, 10*time.Second), ShouldBeTrue)
			renewals, _ := rates(f, 10*time.Second)
			So(renewals, ShouldBeLessThan, 2*60*1.05)
		})
	})
	inFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("A lease counts from when the front asked, however long the cores took", t, func() {
			f.slow.Store(int64(200 * time.Millisecond))
			f.pass(5 * time.Second)
			for phase := range 8 {
				f.mark(&f.silent, true, "f30")
				cut := time.Now()
				for f.fronts["f30"].Ruling() {
					f.pass(5 * time.Millisecond)
				}
				So(time.Since(cut), ShouldBeLessThanOrEqualTo, 2*time.Second)
				f.mark(&f.silent, false, "f30")
				f.pass(8*time.Second + time.Duration(phase)*97*time.Millisecond)
				So(f.fronts["f30"].Ruling(), ShouldBeTrue)
			}
		})
	})
	inFleet(t, 60, func(t *testing.T, f *fleet) {
		Convey("A core that has started anew is told the members' records by those who relay", t, func() {
			f.pass(2 * time.Second)
			f.kill("c2")
			f.pass(10 * time.Second)
			f.build("c2")
			f.mark(&f.dead, false, "c2")
			f.start("c2")
			before := f.renewals.Load()
			f.pass(1200 * time.Millisecond)
			So(f.renewals.Load()-before, ShouldBeLessThan, 200)
			view, err := f.cores["c2"].LeaseView(f.ctx, &wire.LeaseViewRequest{Epoch: 1})
			So(err, ShouldBeNil)
			So(view.Confirmed, ShouldHaveLength, 60)
		})
		Convey("A batch with a member that is unconfirmed, or has no name, is refused", t, func() {
			for _, renewal := range []*wire.RenewRequest{{Name: "f1", Unconfirmed: true}, {}} {
				_, err := f.cores["c1"].RenewBatch(f.ctx, &wire.RenewBatchRequest{Renewals: []*wire.RenewRequest{renewal}})
				So(err, ShouldNotBeNil)
				So(connect.CodeOf(err), ShouldEqual, connect.CodeUnknown)
			}
		})
	})
}
