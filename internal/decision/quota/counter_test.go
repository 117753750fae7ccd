package quota

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestCounter(t *testing.T) {
	count := func(own ...float64) *wire.Count { return &wire.Count{Tenant: "t", Window: 225_000_000, Slices: own} }
	add := func(counter *Counter, front string, incarnation uint64, at float64, counts ...*wire.Count) *wire.Total {
		req := &wire.AddRequest{Front: front, Incarnation: incarnation, Counts: counts}
		return counter.Add(req, after(at)).Totals[0]
	}
	Convey("Totals sum the fronts' counts, also when these are repeated, late or out of order", t, func() {
		counter := NewCounter("a", 1, Config{})
		So(add(counter, "a", 1, 1, count(10, 5)).Total, ShouldEqual, 15)
		So(add(counter, "b", 1, 1, count(7)).Total, ShouldEqual, 22)
		So(add(counter, "a", 1, 1, count(4)).Total, ShouldEqual, 22)
		got := add(counter, "a", 1, 1, count(10, 6))
		So(got.Total, ShouldEqual, 23)
		So(got.Acked, ShouldEqual, 16)
		So(add(counter, "a", 2, 2, count(1)).Total, ShouldEqual, 24)
	})
	Convey("A front whose clock is far ahead doesn't push out other fronts' counts", t, func() {
		counter := NewCounter("a", 1, Config{})
		add(counter, "a", 1, 1, count(10))
		ahead := count(99)
		ahead.Window += 10
		So(add(counter, "b", 1, 1, ahead).Total, ShouldEqual, 0)
		So(add(counter, "a", 1, 1, count(11)).Total, ShouldEqual, 11)
	})
	Convey("A new owner applies the highest totals known to fronts, so that a dead front's spend stays counted", t, func() {
		before := NewCounter("a", 1, Config{})
		fresh := NewCounter("a", 2, Config{})
		limiter := NewLimiter("b", Config{})
		add(before, "dead", 1, 1, count(30))
		limiter.Admit("t", 12, Allowance{Rate: 100}, after(1))
		for i, owner := range []*Counter{before, fresh, fresh} {
			now := after(1.1 + 0.6*float64(i))
			limiter.Admit("t", 0, Allowance{Rate: 100}, now)
			for _, counts := range limiter.CountsToSend(now, ownerA) {
				resp := owner.Add(&wire.AddRequest{Front: "b", Incarnation: 1, Counts: counts}, now)
				limiter.ApplyTotals(resp, now, now)
			}
		}
		So(add(fresh, "c", 1, 2.4, count(0)).Total, ShouldEqual, 42)
		So(limiter.Admit("t", 0, Allowance{Rate: 100}, after(2.4)).Recent, ShouldEqual, 42)
	})
	Convey("An owner that was suspended requests totals again, and doesn't take all others for unresponsive", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		others := Reachable(names, []string{owner})
		counter := NewCounter(owner, 1, Config{})
		for at := 0.0; at < 4; at += 0.2 {
			counter.SetMembership(names, nil, after(at))
			add(counter, others[0], 1, at, count(1))
		}
		req := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{count(1)}}
		So(counter.Add(req, after(4)).Fresh, ShouldBeFalse)
		counter.SetMembership(names, others, after(9))
		resp := counter.Add(req, after(9.1))
		So(resp.Fresh, ShouldBeTrue)
		report := resp.Totals[len(resp.Totals)-1]
		So(report.Window, ShouldEqual, reportWindow)
		So(report.Total, ShouldEqual, 0)
	})
	Convey("A front that itself reaches the owner doesn't allocate in its place at once", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		other := Reachable(names, []string{owner})[0]
		counter := NewCounter(other, 1, Config{})
		req := &wire.AddRequest{Front: "x", Incarnation: 1, Counts: []*wire.Count{count(1)}}
		allocates := func(at float64, unresponsive ...string) bool {
			counter.SetMembership(names, unresponsive, after(at))
			totals := counter.Add(req, after(at)).Totals
			return totals[len(totals)-1].Window == reportWindow
		}
		others := Reachable(names, []string{other})
		for at := 0.0; at < 2.5; at += 0.2 {
			counter.SetMembership(names, nil, after(at))
		}
		So(allocates(2.5), ShouldBeFalse)
		So(allocates(2.7, others...), ShouldBeTrue)
	})
	Convey("An owner that has just started doesn't take all others for unresponsive", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		others := Reachable(names, []string{owner})
		counter := NewCounter(owner, 2, Config{})
		counter.SetMembership(names, others, start)
		req := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{count(1)}}
		totals := counter.Add(req, after(0.1)).Totals
		So(totals[len(totals)-1].Window, ShouldEqual, reportWindow)
		So(totals[len(totals)-1].Total, ShouldEqual, 0)
	})
	Convey("A window that rises after its end is reported once more to fronts that no longer request it", t, func() {
		counter := NewCounter("a", 1, Config{})
		next := count(1)
		next.Window++
		req := &wire.AddRequest{Front: "b", Incarnation: 1, Counts: []*wire.Count{next}}
		counter.Add(req, after(12))
		So(counter.Add(req, after(12.1)).Totals, ShouldHaveLength, 2)
		add(counter, "c", 1, 12.2, count(7))
		totals := counter.Add(req, after(12.3)).Totals
		So(totals, ShouldHaveLength, 3)
		So(totals[1].Total, ShouldEqual, 7)
		So(counter.Add(req, after(12.4)).Totals, ShouldHaveLength, 2)
	})
	Convey("Tenants idle for two windows are dropped", t, func() {
		counter := NewCounter("a", 1, Config{})
		add(counter, "a", 1, 1, count(1))
		counter.Prune(after(16))
		So(counter.Tenants(), ShouldEqual, 1)
		counter.Prune(after(17.1))
		So(counter.Tenants(), ShouldEqual, 0)
	})
	Convey("The owner changes for few tenants when the fronts change", t, func() {
		nine := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		tenantsByOwner := map[string]int{}
		moved := 0
		for i := range 900 {
			tenant := "t" + strconv.Itoa(i)
			owner := OwnerOf(tenant, nine)
			tenantsByOwner[owner]++
			if owner != "i" && OwnerOf(tenant, nine[:8]) != owner {
				moved++
			}
		}
		So(moved, ShouldEqual, 0)
		for _, tenants := range tenantsByOwner {
			So(tenants, ShouldBeBetween, 60, 140)
		}
	})
}
