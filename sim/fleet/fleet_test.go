package fleet_test

import (
	"context"
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepwick/internal/events"
	"stepwick/sim/fleet"
)

var (
	seeds = flag.Int("seeds", 2, "number of seeds to walk")
	from  = flag.Uint64("from", 1, "first seed")
	told  = flag.Bool("told", false, "log what the nodes of TestLosses tell")
	span  = flag.Duration("span", 30*time.Second, "virtual time of a walk")
)

// TestWalk runs complete nodes through faults in virtual time. A longer run:
// go test ./sim/fleet -run Walk -args -seeds 200 -span 60s
func TestWalk(t *testing.T) { walk(t, fleet.Simulate) }

// TestWalkOfAFleetThatRelays runs a fleet large enough that its fronts renew
// their leases through one core.
func TestWalkOfAFleetThatRelays(t *testing.T) {
	walk(t, func(ctx context.Context, seed uint64, folder string, span time.Duration) (fleet.Report, error) {
		return fleet.SimulateIn(ctx, fleet.Relayed, seed, folder, span)
	})
}

func walk(t *testing.T, play func(context.Context, uint64, string, time.Duration) (fleet.Report, error)) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				result, err := play(ctx, seed, folder, *span)
				cancel()
				<-time.After(time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("seed %d: %d acknowledged, %d sent again, %d of %d asks taken, %d faults", seed, result.Acknowledged, result.Pending, result.Taken, result.Asked, len(result.Faults))
				if len(result.Violations) > 0 {
					t.Errorf("seed %d:\n%s\nafter\n%s", seed, strings.Join(result.Violations, "\n"), strings.Join(result.Faults, "\n"))
				}
			})
		})
	}
}

// logTo logs the events of each node to a test, where that is asked for.
func logTo(t *testing.T) func(node int) events.Log {
	if !*told {
		return nil
	}
	return func(node int) events.Log { return testLog{t, node} }
}

type testLog struct {
	t    *testing.T
	node int
}

func (l testLog) Emit(e events.Event, keyvals ...any) {
	l.t.Logf("%s n%d %s %v", time.Now().Format("05.000"), l.node, e.Name, keyvals)
}

// TestLosses loses the power of all cores, then of all nodes with two disks. A
// longer run: go test ./sim/fleet -run Losses -args -seeds 200
func TestLosses(t *testing.T) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				result, err := fleet.Losses(ctx, seed, folder, logTo(t))
				cancel()
				<-time.After(time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				if len(result.Violations) > 0 {
					t.Errorf("seed %d:\n%s\nafter\n%s", seed, strings.Join(result.Violations, "\n"), strings.Join(result.Faults, "\n"))
				}
			})
		})
	}
}
