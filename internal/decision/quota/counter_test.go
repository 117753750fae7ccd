package quota

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestCounter(t *testing.T) {
	countOf := func(own ...float64) *wire.Count { return &wire.Count{Tenant: "t", Window: 225_000_000, Slices: own} }
	addCounts := func(counter *Counter, front string, incarnation uint64, seconds float64, counts ...*wire.Count) *wire.Total {
		req := &wire.AddRequest{Front: front, Incarnation: incarnation, Counts: counts}
		return counter.Add(req, atSecond(seconds)).Totals[0]
	}
	Convey("Totals are the sum of the fronts' counts, even if these are repeated, late or out of order", t, func() {
		counter := NewCounter("a", 1, Config{})
		So(addCounts(counter, "a", 1, 1, countOf(10, 5)).Total, ShouldEqual, 15)
		So(addCounts(counter, "b", 1, 1, countOf(7)).Total, ShouldEqual, 22)
		So(addCounts(counter, "a", 1, 1, countOf(4)).Total, ShouldEqual, 22)
		got := addCounts(counter, "a", 1, 1, countOf(10, 6))
		So(got.Total, ShouldEqual, 23)
		So(got.Acked, ShouldEqual, 16)
		So(addCounts(counter, "a", 2, 2, countOf(1)).Total, ShouldEqual, 24)
	})
	Convey("A front whose clock is far ahead doesn't evict other fronts' counts", t, func() {
		counter := NewCounter("a", 1, Config{})
		addCounts(counter, "a", 1, 1, countOf(10))
		ahead := countOf(99)
		ahead.Window += 10
		So(addCounts(counter, "b", 1, 1, ahead).Total, ShouldEqual, 0)
		So(addCounts(counter, "a", 1, 1, countOf(11)).Total, ShouldEqual, 11)
	})
	Convey("A new owner applies the highest totals that fronts know, so that a failed front's spend remains counted", t, func() {
		oldOwner := NewCounter("a", 1, Config{})
		newOwner := NewCounter("a", 2, Config{})
		limiter := NewLimiter("b", Config{})
		addCounts(oldOwner, "dead", 1, 1, countOf(30))
		limiter.Admit("t", 12, Allowance{Rate: 100}, atSecond(1))
		for i, owner := range []*Counter{oldOwner, newOwner, newOwner} {
			now := atSecond(1.1 + 0.6*float64(i))
			limiter.Admit("t", 0, Allowance{Rate: 100}, now)
			for _, counts := range limiter.CountsToSend(now, ownerA) {
				resp := owner.Add(&wire.AddRequest{Front: "b", Incarnation: 1, Counts: counts}, now)
				limiter.ApplyTotals(resp, now, now)
			}
		}
		So(addCounts(newOwner, "c", 1, 2.4, countOf(0)).Total, ShouldEqual, 42)
		So(limiter.Admit("t", 0, Allowance{Rate: 100}, atSecond(2.4)).Recent, ShouldEqual, 42)
	})
	Convey("An owner that was suspended requests totals again, and doesn't consider all other fronts unresponsive", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		others := Reachable(names, []string{owner})
		counter := NewCounter(owner, 1, Config{})
		for seconds := 0.0; seconds < 4; seconds += 0.2 {
			counter.SetMembership(names, nil, atSecond(seconds))
			addCounts(counter, others[0], 1, seconds, countOf(1))
		}
		req := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{countOf(1)}}
		So(counter.Add(req, atSecond(4)).Fresh, ShouldBeFalse)
		counter.SetMembership(names, others, atSecond(9))
		resp := counter.Add(req, atSecond(9.1))
		So(resp.Fresh, ShouldBeTrue)
		report := resp.Totals[len(resp.Totals)-1]
		So(report.Window, ShouldEqual, reportWindow)
		So(report.Total, ShouldEqual, 0)
	})
	Convey("A front that still reaches the owner doesn't immediately allocate on its behalf", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		other := Reachable(names, []string{owner})[0]
		counter := NewCounter(other, 1, Config{})
		req := &wire.AddRequest{Front: "x", Incarnation: 1, Counts: []*wire.Count{countOf(1)}}
		allocates := func(seconds float64, unresponsive ...string) bool {
			counter.SetMembership(names, unresponsive, atSecond(seconds))
			totals := counter.Add(req, atSecond(seconds)).Totals
			return totals[len(totals)-1].Window == reportWindow
		}
		others := Reachable(names, []string{other})
		for seconds := 0.0; seconds < 2.5; seconds += 0.2 {
			counter.SetMembership(names, nil, atSecond(seconds))
		}
		So(allocates(2.5), ShouldBeFalse)
		So(allocates(2.7, others...), ShouldBeTrue)
	})
	Convey("An owner that has just started doesn't consider all other fronts unresponsive", t, func() {
		names := []string{"a", "b", "c"}
		owner := OwnerOf("t", names)
		others := Reachable(names, []string{owner})
		counter := NewCounter(owner, 2, Config{})
		counter.SetMembership(names, others, start)
		req := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{countOf(1)}}
		totals := counter.Add(req, atSecond(0.1)).Totals
		So(totals[len(totals)-1].Window, ShouldEqual, reportWindow)
		So(totals[len(totals)-1].Total, ShouldEqual, 0)
	})
	Convey("A window whose total increases after its end is reported once more to fronts that no longer request it", t, func() {
		counter := NewCounter("a", 1, Config{})
		next := countOf(1)
		next.Window++
		req := &wire.AddRequest{Front: "b", Incarnation: 1, Counts: []*wire.Count{next}}
		counter.Add(req, atSecond(12))
		So(counter.Add(req, atSecond(12.1)).Totals, ShouldHaveLength, 2)
		addCounts(counter, "c", 1, 12.2, countOf(7))
		totals := counter.Add(req, atSecond(12.3)).Totals
		So(totals, ShouldHaveLength, 3)
		So(totals[1].Total, ShouldEqual, 7)
		So(counter.Add(req, atSecond(12.4)).Totals, ShouldHaveLength, 2)
	})
	Convey("Tenants idle for two windows are removed", t, func() {
		counter := NewCounter("a", 1, Config{})
		addCounts(counter, "a", 1, 1, countOf(1))
		counter.Prune(atSecond(16))
		So(counter.Tenants(), ShouldEqual, 1)
		counter.Prune(atSecond(17.1))
		So(counter.Tenants(), ShouldEqual, 0)
	})
	Convey("Tenants are spread over the fronts, and removing a front changes the owner of its own tenants only", t, func() {
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
