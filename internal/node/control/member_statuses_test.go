package control_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// listedFronts returns the fronts that f1's view lists, f1 being any front.
func (f *fleet) listedFronts(by string) (names, ready []string) {
	for _, p := range f.fronts[by].View().Fronts {
		names = append(names, p.Name)
		if p.Ready {
			ready = append(ready, p.Name)
		}
	}
	return names, ready
}

func TestMemberStatusesOnTheFeed(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *fleet) {
		Convey("Every front knows all others by the feed alone", t, func() {
			for _, name := range f.names {
				names, ready := f.listedFronts(name)
				So(names, ShouldHaveLength, 40)
				So(ready, ShouldBeEmpty)
				So(f.fronts[name].View().Remaining, ShouldHaveLength, 40)
			}
		})
		Convey("A change of readiness or address reaches all within a renewal and a tick, and costs the feed one change", t, func() {
			last := f.follow("c2", nil, time.Second)
			f.changeRecord("f39", func(p *wire.Process) { p.Ready, p.Region = true, "abeokuta" })
			f.advance(600 * time.Millisecond)
			for _, name := range f.names {
				_, ready := f.listedFronts(name)
				So(ready, ShouldResemble, []string{"f39"})
			}
			changes := f.follow("c2", last, 2*time.Second).Changes
			So(changes, ShouldHaveLength, 1)
			So(changes[0].GetSight().Process.Region, ShouldEqual, "abeokuta")
		})
		Convey("One that refuses is removed from the fronts and from the owners of counts", t, func() {
			f.kill("f40")
			f.advance(1500 * time.Millisecond)
			for _, name := range f.names[:39] {
				names, _ := f.listedFronts(name)
				So(names, ShouldNotContain, "f40")
				So(f.fronts[name].View().Remaining, ShouldNotContain, "f40")
			}
		})
		Convey("An unresponsive one stays an owner, but is listed as unresponsive; it returns", t, func() {
			f.setFlag(&f.partitioned, true, "f38")
			f.advance(3 * time.Second)
			for _, name := range f.names[:37] {
				names, _ := f.listedFronts(name)
				So(names, ShouldNotContain, "f38")
				So(f.fronts[name].View().Remaining, ShouldContain, "f38")
				So(f.fronts[name].View().Unresponsive, ShouldContain, "f38")
			}
			f.setFlag(&f.partitioned, false, "f38")
			f.advance(3 * time.Second)
			names, _ := f.listedFronts("f20")
			So(names, ShouldContain, "f38")
			So(f.fronts["f20"].View().Unresponsive, ShouldBeEmpty)
		})
		Convey("One that released its lease is removed at once", t, func() {
			So(f.fronts["f37"].Leave(f.ctx), ShouldBeNil)
			for _, core := range f.cores {
				_, err := core.Release(f.ctx, &wire.ReleaseRequest{Name: "f37", Incarnation: 1})
				So(err, ShouldBeNil)
			}
			f.advance(100 * time.Millisecond)
			So(f.fronts["f20"].View().Remaining, ShouldNotContain, "f37")
		})
		Convey("A snapshot holds all, the removed ones too", t, func() {
			gone, silent := 0, 0
			sights := f.follow("c1", nil, time.Second).Snapshot.Sights
			for _, sight := range sights {
				if sight.Gone {
					gone++
				}
				if sight.Silent {
					silent++
				}
			}
			So(sights, ShouldHaveLength, 40)
			So([]int{gone, silent}, ShouldResemble, []int{2, 0})
		})
		Convey("With no core left the feed's statuses expire, and pings decide who is alive", t, func() {
			for _, core := range voters {
				f.kill(core)
			}
			f.advance(8 * time.Second)
			view := f.fronts["f20"].View()
			So(view.Authority.Granted, ShouldBeTrue)
			So(slices.ContainsFunc(voters, func(core string) bool { return slices.Contains(view.Remaining, core) }), ShouldBeFalse)
			So(view.Remaining, ShouldContain, "f10")
		})
	})
}

func TestOrderRequestsViewsOnce(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *fleet) {
		Convey("A healthy fleet is asked for its views once per order", t, func() {
			before := f.viewRequests.Load()
			f.put()
			So(f.viewRequests.Load()-before, ShouldBeBetweenOrEqual, 1, 2)
		})
		Convey("An unresponsive member's lease is waited for without many requests", t, func() {
			f.setFlag(&f.partitioned, true, "f40")
			f.advance(600 * time.Millisecond)
			before, startedAt := f.viewRequests.Load(), time.Now()
			resp, err := f.cores["c1"].Order(f.ctx, &wire.OrderRequest{Operator: "ada", Verb: "evacuate",
				Body: []byte(`{"order_id":"second","locality":"lagos/a"}`)})
			So(err, ShouldBeNil)
			So(apierror.Code(resp.Code), ShouldEqual, apierror.OK)
			So(time.Since(startedAt), ShouldBeBetween, 900*time.Millisecond, 2100*time.Millisecond)
			So(f.viewRequests.Load()-before, ShouldBeLessThan, 20)
		})
	})
}
