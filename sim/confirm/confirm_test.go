package confirm

import (
	"flag"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	seeds   = flag.Uint64("seeds", 20, "number of seeds of each mix")
	first   = flag.Uint64("first", 1, "the first seed")
	workers = flag.Int("workers", min(4, runtime.NumCPU()), "number of parallel runs")
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// search simulates seeds of one mix. It stops at the first violation when it is
// asked for just one.
func search(first, count uint64, config Config, one bool) (least *Violation, violations int, sum Outcome) {
	found := make([]Outcome, count)
	var next atomic.Uint64
	var stop atomic.Bool
	var group sync.WaitGroup
	for range *workers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < count && !(one && stop.Load()); i = next.Add(1) - 1 {
				found[i] = Simulate(first+i, config)
				if found[i].Violation != nil {
					stop.Store(true)
				}
			}
		})
	}
	group.Wait()
	for _, o := range found {
		if o.Violation != nil {
			violations++
			if least == nil {
				least = o.Violation
			}
		}
		sum.Chosen, sum.Orders, sum.Acked, sum.Rosters = sum.Chosen+o.Chosen, sum.Orders+o.Orders, sum.Acked+o.Acked, sum.Rosters+o.Rosters
		sum.Ruling += o.Ruling / float64(count)
	}
	return least, violations, sum
}

func TestWalk(t *testing.T) {
	for _, mix := range Mixes() {
		Convey("In the mix "+mix.Name+" no front rules by an epoch older than one acknowledged, and none steps back", t, func() {
			least, violations, sum := search(*first, *seeds, mix, false)
			t.Logf("mix %s, seeds %d..%d: %d violations; %d chosen, %d of %d orders acknowledged, %d roster changes settled, ruling %.3f",
				mix.Name, *first, *first+*seeds-1, violations, sum.Chosen, sum.Acked, sum.Orders, sum.Rosters, sum.Ruling)
			if least != nil {
				t.Log(least)
			}
			So(violations, ShouldEqual, 0)
			So(sum.Acked, ShouldBeGreaterThan, sum.Orders/5)
			So(sum.Ruling, ShouldBeGreaterThan, 0.3)
			So(sum.Rosters, ShouldBeGreaterThan, 0)
		})
	}
}
