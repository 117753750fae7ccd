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
	seeds     = flag.Int("seeds", 2, "number of seeds to simulate")
	from      = flag.Uint64("from", 1, "first seed")
	logEvents = flag.Bool("told", false, "log the events of the nodes in TestLosses")
	span      = flag.Duration("span", 30*time.Second, "virtual time of a run")
)

// TestWalk injects random faults into a fleet of complete nodes in virtual time. A
// longer run:
// go test ./sim/fleet -run Walk -args -seeds 200 -span 60s
func TestWalk(t *testing.T) { runSeeds(t, fleet.Simulate) }

// TestWalkOfAFleetThatRelays runs a fleet large enough that its fronts renew
// their leases through one core.
func TestWalkOfAFleetThatRelays(t *testing.T) {
	runSeeds(t, func(ctx context.Context, seed uint64, dataDir string, span time.Duration) (fleet.Report, error) {
		return fleet.SimulateIn(ctx, fleet.RelayingConfig, seed, dataDir, span)
	})
}

func runSeeds(t *testing.T, simulate func(context.Context, uint64, string, time.Duration) (fleet.Report, error)) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			dataDir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				result, err := simulate(ctx, seed, dataDir, *span)
				cancel()
				<-time.After(time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("seed %d: %d acknowledged, %d orders resent, %d of %d probes accepted, %d faults", seed, result.Acknowledged, result.Resent, result.Accepted, result.Probed, len(result.Faults))
				if len(result.Violations) > 0 {
					t.Errorf("seed %d:\n%s\nafter faults\n%s", seed, strings.Join(result.Violations, "\n"), strings.Join(result.Faults, "\n"))
				}
			})
		})
	}
}

// logTo returns a log of each node's events to the test, or nil without -told.
func logTo(t *testing.T) func(node int) events.Log {
	if !*logEvents {
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

// TestLosses powers off all cores, then all nodes with the loss of two disks. A longer
// run: go test ./sim/fleet -run Losses -args -seeds 200
func TestLosses(t *testing.T) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			dataDir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				result, err := fleet.SimulatePowerLosses(ctx, seed, dataDir, logTo(t))
				cancel()
				<-time.After(time.Minute)
				if err != nil {
					t.Fatal(err)
				}
				if len(result.Violations) > 0 {
					t.Errorf("seed %d:\n%s\nafter faults\n%s", seed, strings.Join(result.Violations, "\n"), strings.Join(result.Faults, "\n"))
				}
			})
		})
	}
}
