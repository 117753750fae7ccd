package fleet_test

import (
	"context"
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepwick/sim/fleet"
)

var (
	seeds = flag.Int("seeds", 2, "number of seeds to walk")
	from  = flag.Uint64("from", 1, "first seed")
	span  = flag.Duration("span", 30*time.Second, "virtual time of a walk")
)

// TestWalk walks whole nodes through faults in virtual time. A longer run:
// go test ./sim/fleet -run Walk -args -seeds 200 -span 60s
func TestWalk(t *testing.T) {
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				result, err := fleet.Walk(ctx, seed, folder, *span)
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
