package control_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// seen returns the fronts that f1's view lists, f1 being any front.
func (f *fleet) seen(by string) (names, ready []string) {
	for _, p := range f.fronts[by].View().Fronts {
		names = append(names, p.Name)
		if p.Ready {
			ready = append(ready, p.Name)
		}
	}
	return names, ready
}

func TestSightsRideTheFeed(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, f *fleet) {
		Convey("Every front knows of all others by the feed alone", t, func() {
			for _, name := range f.names {
				names, ready := f.seen(name)
				So(names, ShouldHaveLength, 40)
				So(ready, ShouldBeEmpty)
				So(f.fronts[name].View().Live, ShouldHaveLength, 40)
			}
		})
		Convey("A change of readiness or address reaches all within a renewal and a tick, and costs the feed one change", t, func() {
			last := f.follow("c2", nil, time.Second)
			f.says("f39", func(p *wire.Process) { p.Ready, p.Region = true, "abeokuta" })
			f.pass(600 * time.Millisecond)
			for _, name := range f.names {
				_, ready := f.seen(name)
				So(ready, ShouldResemble, []string{"f39"})
			}
			changes := f.follow("c2", last, 2*time.Second).Changes
			So(changes, ShouldHaveLength, 1)
			So(changes[0].GetSight().Process.Region, ShouldEqual, "abeokuta")
		})
		Convey("One that is lost leaves the fronts and the holders of counts", t, func() {
			f.kill("f40")
			f.pass(1500 * time.Millisecond)
			for _, name := range f.names[:39] {
				names, _ := f.seen(name)
				So(names, ShouldNotContain, "f40")
				So(f.fronts[name].View().Live, ShouldNotContain, "f40")
			}
		})
		Convey("One that is silent stays a holder, but is known to be silent; it comes back", t, func() {
			f.mark(&f.silent, true, "f38")
			f.pass(3 * time.Second)
			for _, name := range f.names[:37] {
				names, _ := f.seen(name)
				So(names, ShouldNotContain, "f38")
				So(f.fronts[name].View().Live, ShouldContain, "f38")
				So(f.fronts[name].View().Silent, ShouldContain, "f38")
			}
			f.mark(&f.silent, false, "f38")
			f.pass(3 * time.Second)
			names, _ := f.seen("f20")
			So(names, ShouldContain, "f38")
			So(f.fronts["f20"].View().Silent, ShouldBeEmpty)
		})
		Convey("One that released its lease is gone at once", t, func() {
			So(f.fronts["f37"].Leave(f.ctx), ShouldBeNil)
			for _, core := range f.cores {
				_, err := core.Release(f.ctx, &wire.ReleaseRequest{Name: "f37", Incarnation: 1})
				So(err, ShouldBeNil)
			}
			f.pass(100 * time.Millisecond)
			So(f.fronts["f20"].View().Live, ShouldNotContain, "f37")
		})
		Convey("A snapshot tells of all, the lost ones too", t, func() {
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
		Convey("With no core left the feed's word goes stale, and pings tell who lives", t, func() {
			for _, core := range voters {
				f.kill(core)
			}
			f.pass(8 * time.Second)
			view := f.fronts["f20"].View()
			So(view.Verdict.Granted, ShouldBeTrue)
			So(slices.ContainsFunc(voters, func(core string) bool { return slices.Contains(view.Live, core) }), ShouldBeFalse)
			So(view.Live, ShouldContain, "f10")
		})
	})
}

func TestOrdersAskOnce(t *testing.T) {
	inFleet(t, 40, func(t *testing.T, f *fleet) {
		Convey("A fleet in good health is asked for its views once an order", t, func() {
			before := f.asked.Load()
			f.put(t)
			So(f.asked.Load()-before, ShouldBeBetweenOrEqual, 1, 2)
		})
		Convey("A silent member's lease is waited for without many asks", t, func() {
			f.mark(&f.silent, true, "f40")
			f.pass(600 * time.Millisecond)
			before, begun := f.asked.Load(), time.Now()
			resp, err := f.cores["c1"].Order(f.ctx, &wire.OrderRequest{Operator: "ada", Verb: "evacuate",
				Body: []byte(`{"order_id":"second","locality":"lagos/a"}`)})
			So(err, ShouldBeNil)
			So(apierror.Code(resp.Code), ShouldEqual, apierror.OK)
			So(time.Since(begun), ShouldBeBetween, 900*time.Millisecond, 2100*time.Millisecond)
			So(f.asked.Load()-before, ShouldBeLessThan, 20)
		})
	})
}
