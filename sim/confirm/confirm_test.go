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
	for _, outcome := range found {
		if outcome.Violation != nil {
			violations++
			if least == nil {
				least = outcome.Violation
			}
		}
		sum.Chosen += outcome.Chosen
		sum.Orders += outcome.Orders
		sum.Acknowledged += outcome.Acknowledged
		sum.RosterChanges += outcome.RosterChanges
		sum.ServingRatio += outcome.ServingRatio / float64(count)
	}
	return least, violations, sum
}

func TestWalk(t *testing.T) {
	for _, mix := range Mixes() {
		Convey("In the mix "+mix.Name+" no front serves by a version older than one acknowledged, and none steps back", t, func() {
			least, violations, sum := search(*first, *seeds, mix, false)
			t.Logf("mix %s, seeds %d..%d: %d violations; %d chosen, %d of %d orders acknowledged, %d roster changes settled, ruling %.3f",
				mix.Name, *first, *first+*seeds-1, violations, sum.Chosen, sum.Acknowledged, sum.Orders, sum.RosterChanges, sum.ServingRatio)
			if least != nil {
				t.Log(least)
			}
			So(violations, ShouldEqual, 0)
			So(sum.Acknowledged, ShouldBeGreaterThan, sum.Orders/5)
			So(sum.ServingRatio, ShouldBeGreaterThan, 0.3)
			So(sum.RosterChanges, ShouldBeGreaterThan, 0)
		})
	}
}
