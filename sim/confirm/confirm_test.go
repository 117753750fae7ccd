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
	seeds     = flag.Uint64("seeds", 20, "number of seeds for each mix")
	firstSeed = flag.Uint64("first", 1, "first seed")
	workers   = flag.Int("workers", min(4, runtime.NumCPU()), "number of parallel runs")
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(800)
	os.Exit(m.Run())
}

// simulateSeeds simulates consecutive seeds of one mix and returns the violation of the
// lowest seed, the number of violations and the summed outcomes. With firstOnly, it
// stops after a violation.
func simulateSeeds(first, count uint64, config Config, firstOnly bool) (firstViolation *Violation, violations int, sum Outcome) {
	outcomes := make([]Outcome, count)
	var next atomic.Uint64
	var stop atomic.Bool
	var group sync.WaitGroup
	for range *workers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < count && !(firstOnly && stop.Load()); i = next.Add(1) - 1 {
				outcomes[i] = Simulate(first+i, config)
				if outcomes[i].Violation != nil {
					stop.Store(true)
				}
			}
		})
	}
	group.Wait()
	for _, outcome := range outcomes {
		if outcome.Violation != nil {
			violations++
			if firstViolation == nil {
				firstViolation = outcome.Violation
			}
		}
		sum.Chosen += outcome.Chosen
		sum.Orders += outcome.Orders
		sum.Acknowledged += outcome.Acknowledged
		sum.RosterChanges += outcome.RosterChanges
		sum.ServingRatio += outcome.ServingRatio / float64(count)
	}
	return firstViolation, violations, sum
}

func TestWalk(t *testing.T) {
	for _, mix := range Mixes() {
		Convey("In the mix "+mix.Name+" no front serves with a version older than an acknowledged one, and none reverts to an older version", t, func() {
			firstViolation, violations, sum := simulateSeeds(*firstSeed, *seeds, mix, false)
			t.Logf("mix %s, seeds %d..%d: %d violations; %d chosen, %d of %d orders acknowledged, %d roster changes committed, serving ratio %.3f",
				mix.Name, *firstSeed, *firstSeed+*seeds-1, violations, sum.Chosen, sum.Acknowledged, sum.Orders, sum.RosterChanges, sum.ServingRatio)
			if firstViolation != nil {
				t.Log(firstViolation)
			}
			So(violations, ShouldEqual, 0)
			So(sum.Acknowledged, ShouldBeGreaterThan, sum.Orders/5)
			So(sum.ServingRatio, ShouldBeGreaterThan, 0.3)
			So(sum.RosterChanges, ShouldBeGreaterThan, 0)
		})
	}
}
