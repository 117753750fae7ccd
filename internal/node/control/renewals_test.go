package control_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

func TestReleasedLeaseIsNotGrantedAgain(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, f *fleet) {
		Convey("A released lease is granted neither to a renewal in flight at the release nor to a later one", t, func() {
			So(f.servingFronts(), ShouldEqual, 6)
			So(f.fronts["f6"].Leave(f.ctx), ShouldBeNil)
			So(f.fronts["f6"].HasAuthority(), ShouldBeFalse)
			for _, core := range f.cores {
				_, err := core.Release(f.ctx, &wire.ReleaseRequest{Name: "f6", Incarnation: 1})
				So(err, ShouldBeNil)
			}
			late := &wire.RenewRequest{Self: f.processes["f6"], Epoch: f.agreed.Load().state.Version}
			resp, err := f.cores["c1"].Renew(f.ctx, late)
			So(err, ShouldBeNil)
			So(resp.Granted, ShouldBeFalse)
			for range 10 {
				f.advance(100 * time.Millisecond)
				for _, core := range f.cores {
					view, err := core.LeaseView(f.ctx, &wire.LeaseViewRequest{})
					So(err, ShouldBeNil)
					So(view.Confirmed, ShouldNotContain, lease.MemberID{Name: "f6", Incarnation: 1}.String())
				}
			}
			So(f.servingFronts(), ShouldEqual, 5)
		})
		Convey("Each front pings every peer with a new version immediately instead of at its next interval", t, func() {
			f.putSheet()
			version := f.agreed.Load().state.Version
			f.advance(50 * time.Millisecond)
			for _, from := range f.names[:5] {
				for _, to := range f.names[:5] {
					if from != to {
						sent, _ := f.pingedVersions.Load(from + ">" + to)
						So(sent, ShouldEqual, version)
					}
				}
			}
		})
	})
}
