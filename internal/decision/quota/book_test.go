package quota

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

const second = time.Second

var start = time.UnixMicro(1_800_000_000_000_000)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(second)))
}

func one(string) string { return "a" }

// exchange sends a Book's counts to a Ledger and takes the answer back at once.
func exchange(b *Limiter, l *Counter, now time.Time) {
	for _, counts := range b.CountsToSend(now, one) {
		b.ApplyTotals(l.Add(&wire.AddRequest{Front: b.self, Incarnation: 1, Counts: counts}, now), now, now)
	}
}

func TestSlidingWindowEstimate(t *testing.T) {
	Convey("The blend is the previous window's part that still overlaps and the current window", t, func() {
		b := NewLimiter("a", Config{Disabled: AllFeatures})
		terms := Allowance{Rate: 50.0 / 8}
		So(b.Admit("t", 42, terms, after(1)).Allowed, ShouldBeTrue)
		So(b.Admit("t", 18, terms, after(8.5)).Allowed, ShouldBeTrue)
		d := b.Admit("t", 1, terms, after(10))
		So(d.Previous, ShouldEqual, 42)
		So(d.Current, ShouldEqual, 18)
		So(d.Estimate, ShouldAlmostEqual, 42*0.75+18)
		So(d.Allowed, ShouldBeTrue)
		Convey("and a limit that is reached refuses, adds nothing and marks until the window's end", func() {
			d := b.Admit("t", 1, terms, after(10))
			So(d.Allowed, ShouldBeFalse)
			So(d.OverLimit, ShouldBeTrue)
			So(d.Code, ShouldEqual, apierror.QuotaExceeded)
			So(b.Admit("t", 1, terms, after(15.9)).Allowed, ShouldBeFalse)
			So(b.Admit("t", 1, terms, after(16)).Allowed, ShouldBeTrue)
		})
	})
}

func TestFeatures(t *testing.T) {
	terms := Allowance{Rate: 100, Burst: 200}
	spend := func(b *Limiter, from, until float64) (passed float64) {
		for at := from; at < until; at += 0.01 {
			if b.Admit("t", 10, terms, after(at)).Allowed {
				passed += 10
			}
		}
		return passed
	}
	Convey("A mark ends when the blend falls below the limit", t, func() {
		marked := NewLimiter("a", Config{Disabled: AllFeatures})
		ended := NewLimiter("a", Config{Disabled: AllFeatures &^ EarlyUnblock})
		spend(marked, 0, 24)
		spend(ended, 0, 24)
		So(spend(marked, 24, 32), ShouldBeLessThan, 600)
		So(spend(ended, 24, 32), ShouldBeGreaterThan, 900)
	})
	Convey("Late in one window and early in the next, the bound holds what the blend lets pass", t, func() {
		for _, without := range []Feature{AllFeatures &^ EarlyUnblock, AllFeatures &^ (EarlyUnblock | SlidingBound)} {
			b := NewLimiter("a", Config{Disabled: without})
			passed := spend(b, 7, 8) + spend(b, 8, 9) + spend(b, 14, 15)
			if without&SlidingBound != 0 {
				So(passed, ShouldBeGreaterThan, 1500)
			} else {
				So(passed, ShouldBeLessThanOrEqualTo, 1.15*1000)
			}
		}
	})
	Convey("A tenant below its limit passes although its early window makes the blend refuse", t, func() {
		for _, without := range []Feature{AllFeatures &^ (EarlyUnblock | SlidingBound), AllFeatures &^ (EarlyUnblock | SlidingBound | SlidingCapacity)} {
			b := NewLimiter("a", Config{Disabled: without})
			So(b.Admit("t", 700, terms, after(0)).Allowed, ShouldBeTrue)
			So(b.Admit("t", 600, terms, after(8.3)).Allowed, ShouldBeTrue)
			So(b.Admit("t", 10, terms, after(8.4)).Allowed, ShouldEqual, without&SlidingCapacity == 0)
		}
	})
	Convey("Retry-after is when the request passes if nobody spends", t, func() {
		b := NewLimiter("a", Config{})
		b.SetFronts([]string{"a"})
		l := NewCounter("a", 1, Config{})
		l.SetMembership([]string{"a"}, nil, start)
		for at := 0.0; at < 3; at += 0.01 {
			b.Admit("t", 10, terms, after(at))
			exchange(b, l, after(at))
		}
		d := b.Admit("t", 10, terms, after(3))
		So(d.Allowed, ShouldBeFalse)
		So(b.Admit("t", 10, terms, after(3).Add(d.RetryAfter/2)).Allowed, ShouldBeFalse)
		b.ApplyTotals(l.Add(&wire.AddRequest{Front: "a", Incarnation: 1, Counts: b.CountsToSend(after(3).Add(d.RetryAfter), one)["a"]}, after(3).Add(d.RetryAfter)), after(3).Add(d.RetryAfter), after(3).Add(d.RetryAfter))
		So(b.Admit("t", 10, terms, after(3).Add(d.RetryAfter)).Allowed, ShouldBeTrue)
	})
}

func TestUnresponsiveOwner(t *testing.T) {
	terms := Allowance{Rate: 100, Burst: 200}
	roster := []string{"a", "b", "c", "d"}
	Convey("With a silent holder a front spends its share and no more, and says that it is not the quota", t, func() {
		b := NewLimiter("b", Config{})
		b.SetFronts(roster)
		passed, code := 0.0, apierror.OK
		for at := 0.0; at < 30; at += 0.01 {
			d := b.Admit("t", 5, terms, after(at))
			if d.Allowed && at > 16 && at <= 24 {
				passed += 5
			}
			if !d.Allowed {
				code = d.Code
			}
			b.CountsToSend(after(at), one)
		}
		So(code, ShouldEqual, apierror.ShareExceeded)
		So(passed, ShouldBeBetween, 0.85*250, 1.15*250)
	})
	Convey("A tenant idle for two windows is dropped", t, func() {
		b := NewLimiter("b", Config{})
		b.Admit("t", 5, terms, start)
		b.CountsToSend(after(15.9), one)
		So(b.ActiveTenants(), ShouldEqual, 1)
		b.CountsToSend(after(16.1), one)
		So(b.ActiveTenants(), ShouldEqual, 0)
	})
	Convey("A small step back of fleet time takes nothing from what was spent; a step forth neither adds", t, func() {
		b := NewLimiter("a", Config{})
		b.Admit("t", 100, terms, after(4))
		So(b.Admit("t", 0, terms, after(3)).Recent, ShouldEqual, 100)
		So(b.Admit("t", 0, terms, after(5)).Recent, ShouldEqual, 100)
	})
}

func TestCounter(t *testing.T) {
	count := func(own ...float64) *wire.Count { return &wire.Count{Tenant: "t", Window: 225_000_000, Slices: own} }
	add := func(l *Counter, front string, incarnation uint64, at float64, c *wire.Count) *wire.Total {
		return l.Add(&wire.AddRequest{Front: front, Incarnation: incarnation, Counts: []*wire.Count{c}}, after(at)).Totals[0]
	}
	Convey("Totals sum the fronts and stay true when counts come again, late or out of order", t, func() {
		l := NewCounter("a", 1, Config{})
		So(add(l, "a", 1, 1, count(10, 5)).Total, ShouldEqual, 15)
		So(add(l, "b", 1, 1, count(7)).Total, ShouldEqual, 22)
		So(add(l, "a", 1, 1, count(4)).Total, ShouldEqual, 22)
		got := add(l, "a", 1, 1, count(10, 6))
		So(got.Total, ShouldEqual, 23)
		So(got.Acked, ShouldEqual, 16)
		So(add(l, "a", 2, 2, count(1)).Total, ShouldEqual, 24)
	})
	Convey("A front with a clock far ahead pushes nobody's adds out", t, func() {
		l := NewCounter("a", 1, Config{})
		add(l, "a", 1, 1, count(10))
		ahead := count(99)
		ahead.Window += 10
		So(add(l, "b", 1, 1, ahead).Total, ShouldEqual, 0)
		So(add(l, "a", 1, 1, count(11)).Total, ShouldEqual, 11)
	})
	Convey("A new holder takes the highest totals learned, so that a dead front's adds stay counted", t, func() {
		before, fresh := NewCounter("a", 1, Config{}), NewCounter("a", 2, Config{})
		b := NewLimiter("b", Config{})
		add(before, "dead", 1, 1, count(30))
		b.Admit("t", 12, Allowance{Rate: 100}, after(1))
		for i, holder := range []*Counter{before, fresh, fresh} {
			now := after(1.1 + 0.6*float64(i))
			b.Admit("t", 0, Allowance{Rate: 100}, now)
			for _, counts := range b.CountsToSend(now, one) {
				b.ApplyTotals(holder.Add(&wire.AddRequest{Front: "b", Incarnation: 1, Counts: counts}, now), now, now)
			}
		}
		So(add(fresh, "c", 1, 2.4, count(0)).Total, ShouldEqual, 42)
		So(b.Admit("t", 0, Allowance{Rate: 100}, after(2.4)).Recent, ShouldEqual, 42)
	})
	Convey("A holder that stood still asks for totals anew, and doesn't take all others for silent", t, func() {
		names := []string{"a", "b", "c"}
		holder := OwnerOf("t", names)
		others := Reachable(names, []string{holder})
		l := NewCounter(holder, 1, Config{})
		for at := 0.0; at < 4; at += 0.2 {
			l.SetMembership(names, nil, after(at))
			add(l, others[0], 1, at, count(1))
		}
		ask := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{count(1)}}
		So(l.Add(ask, after(4)).Fresh, ShouldBeFalse)
		l.SetMembership(names, others, after(9))
		back := l.Add(ask, after(9.1))
		So(back.Fresh, ShouldBeTrue)
		standing := back.Totals[len(back.Totals)-1]
		So(standing.Window, ShouldEqual, reportWindow)
		So(standing.Total, ShouldEqual, 0)
	})
	Convey("A front that reaches the holder itself doesn't answer at once in its place", t, func() {
		names := []string{"a", "b", "c"}
		holder := OwnerOf("t", names)
		other := Reachable(names, []string{holder})[0]
		l := NewCounter(other, 1, Config{})
		ask := &wire.AddRequest{Front: "x", Incarnation: 1, Counts: []*wire.Count{count(1)}}
		standing := func(at float64, silent ...string) bool {
			l.SetMembership(names, silent, after(at))
			totals := l.Add(ask, after(at)).Totals
			return totals[len(totals)-1].Window == reportWindow
		}
		others := Reachable(names, []string{other})
		for at := 0.0; at < 2.5; at += 0.2 {
			l.SetMembership(names, nil, after(at))
		}
		So(standing(2.5), ShouldBeFalse)
		So(standing(2.7, others...), ShouldBeTrue)
	})
	Convey("A holder that has just started doesn't take all others for silent", t, func() {
		names := []string{"a", "b", "c"}
		holder := OwnerOf("t", names)
		others := Reachable(names, []string{holder})
		l := NewCounter(holder, 2, Config{})
		l.SetMembership(names, others, start)
		ask := &wire.AddRequest{Front: others[0], Incarnation: 1, Counts: []*wire.Count{count(1)}}
		totals := l.Add(ask, after(0.1)).Totals
		So(totals[len(totals)-1].Window, ShouldEqual, reportWindow)
		So(totals[len(totals)-1].Total, ShouldEqual, 0)
	})
	Convey("A window that rises after it passed is told once more to fronts that no longer ask for it", t, func() {
		l := NewCounter("a", 1, Config{})
		now := count(1)
		now.Window++
		ask := &wire.AddRequest{Front: "b", Incarnation: 1, Counts: []*wire.Count{now}}
		l.Add(ask, after(12))
		So(l.Add(ask, after(12.1)).Totals, ShouldHaveLength, 2)
		add(l, "c", 1, 12.2, count(7))
		totals := l.Add(ask, after(12.3)).Totals
		So(totals, ShouldHaveLength, 3)
		So(totals[1].Total, ShouldEqual, 7)
		So(l.Add(ask, after(12.4)).Totals, ShouldHaveLength, 2)
	})
	Convey("Tenants idle for two windows are dropped", t, func() {
		l := NewCounter("a", 1, Config{})
		add(l, "a", 1, 1, count(1))
		l.Expire(after(16))
		So(l.Tenants(), ShouldEqual, 1)
		l.Expire(after(17.1))
		So(l.Tenants(), ShouldEqual, 0)
	})
	Convey("The holder moves for few tenants when the roster changes", t, func() {
		nine := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
		held, moved := map[string]int{}, 0
		for i := range 900 {
			tenant := "t" + strconv.Itoa(i)
			holder := OwnerOf(tenant, nine)
			held[holder]++
			if holder != "i" && OwnerOf(tenant, nine[:8]) != holder {
				moved++
			}
		}
		So(moved, ShouldEqual, 0)
		for _, n := range held {
			So(n, ShouldBeBetween, 60, 140)
		}
	})
}

func TestSliceRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := timeGrid{sliceMicros: 1, slicesPerWindow: 4}
		r, model := newSliceRing(g), map[int64]float64{}
		top := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slice := max(0, top+rapid.Int64Range(-8, 12).Draw(t, "slice"))
			top = max(top, slice)
			tokens := float64(rapid.IntRange(0, 9).Draw(t, "tokens"))
			if rapid.Bool().Draw(t, "raise") {
				if r.raise(slice, tokens); slice > top-10 {
					model[slice] = max(model[slice], tokens)
				}
			} else if r.add(slice, tokens); slice > top-10 {
				model[slice] += tokens
			}
			want := 0.0
			for k := top - 7; k <= top; k++ {
				want += model[k]
			}
			if got := r.sum(top-7, top); got != want {
				t.Fatalf("sum %v, want %v", got, want)
			}
		}
	})
}

func TestSparseSlices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := timeGrid{sliceMicros: 1, slicesPerWindow: 4}
		s, dense, top := sparseSlices{}, newSliceRing(g), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slice := max(0, top+rapid.Int64Range(-12, 12).Draw(t, "slice"))
			top = max(top, slice)
			tokens := float64(rapid.IntRange(0, 9).Draw(t, "tokens"))
			if got, want := s.raise(g, slice, tokens), dense.raise(slice, tokens); got != want {
				t.Fatalf("rose by %v, want %v", got, want)
			}
			window := g.windowOf(top) - rapid.Int64Range(0, 1).Draw(t, "window")
			if got, want := s.sum(top-7, top), dense.sum(top-7, top); got != want {
				t.Fatalf("sum %v, want %v", got, want)
			}
			if got, want := s.windowTokens(g, window), dense.windowTokens(g, window); !slices.Equal(got, want) {
				t.Fatalf("window %v, want %v", got, want)
			}
		}
	})
}

func spread(tenants, fronts int) (*Limiter, *Counter, []string) {
	roster := make([]string, fronts)
	for i := range roster {
		roster[i] = "front-" + strconv.Itoa(i)
	}
	b, l := NewLimiter(roster[0], Config{}), NewCounter("a", 1, Config{})
	b.SetFronts(roster)
	for i := range tenants {
		tenant := "tenant-" + strconv.Itoa(i)
		for at := 0.0; at < 1; at += 0.25 {
			b.Admit(tenant, 10, Allowance{Rate: 1000, Burst: 1000}, after(4+at))
		}
	}
	return b, l, roster
}

var sizes = []int{5, 100, 1000, 14000}

func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range sizes {
		book, _, _ := spread(tenants, 9)
		names := make([]string, tenants)
		for i := range names {
			names[i] = "tenant-" + strconv.Itoa(i)
		}
		for _, kind := range []struct {
			name string
			rate float64
		}{{"passed", 1e9}, {"refused", 1e-3}} {
			b.Run(kind.name+"/tenants="+strconv.Itoa(tenants), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					book.Admit(names[random.IntN(tenants)], 1, Allowance{Rate: kind.rate}, after(5))
				}
			})
		}
	}
}

// BenchmarkExchange reports what one exchange of all tenants costs: bytes out
// and back, and memory a tenant on the front and on the holder.
func BenchmarkExchange(b *testing.B) {
	for _, tenants := range sizes {
		for _, fronts := range []int{9, 410} {
			if tenants*fronts > 1_000_000 {
				continue
			}
			b.Run("tenants="+strconv.Itoa(tenants)+"/fronts="+strconv.Itoa(fronts), func(b *testing.B) {
				base := heap()
				book, ledger, roster := spread(tenants, fronts)
				front := float64(heap()-base) / float64(tenants)
				base = heap()
				counts := book.CountsToSend(after(5), one)["a"]
				out, back := 0, 0
				for _, name := range roster {
					req := &wire.AddRequest{Front: name, Incarnation: 1, Counts: counts}
					resp := ledger.Add(req, after(5))
					out, back = proto.Size(req), proto.Size(resp)
				}
				holder := float64(heap()-base) / float64(tenants)
				for b.Loop() {
					book.CountsToSend(after(5.2), one)
				}
				b.ReportMetric(front, "front-B/tenant")
				b.ReportMetric(holder, "holder-B/tenant")
				b.ReportMetric(float64(out), "out-B")
				b.ReportMetric(float64(back), "back-B")
				runtime.KeepAlive(ledger)
			})
		}
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
