package confirm

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var scheduleStep = flag.Int64("step", 3000, "distance in ms between the instants at which faults start")

// exploreAll runs the schedules in parallel. It returns the number of schedules with a
// violation, the number of acknowledged orders and one of the violations.
func exploreAll(schedules []Schedule, mutation Mutation) (violations, acknowledged int64, lastViolation *Violation) {
	var next, violationCount, acknowledgementCount atomic.Int64
	var lastFound atomic.Pointer[Violation]
	var group sync.WaitGroup
	for range *workers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(schedules)); i = next.Add(1) - 1 {
				outcome := Explore(schedules[i], mutation)
				acknowledgementCount.Add(int64(outcome.Acknowledged))
				if outcome.Violation != nil {
					violationCount.Add(1)
					lastFound.Store(outcome.Violation)
				}
			}
		})
	}
	group.Wait()
	return violationCount.Load(), acknowledgementCount.Load(), lastFound.Load()
}

func TestEverySchedule(t *testing.T) {
	schedules := Schedules(*scheduleStep)
	Convey("No schedule of a partition with a freeze or a kill causes a violation in a fleet of five", t, func() {
		violations, acknowledged, lastViolation := exploreAll(schedules, None)
		t.Logf("%d schedules, %d violations, %d orders acknowledged", len(schedules), violations, acknowledged)
		if lastViolation != nil {
			t.Log(lastViolation)
		}
		So(violations, ShouldEqual, 0)
		So(acknowledged, ShouldBeGreaterThan, len(schedules)/2)
	})
	Convey("Some schedules cause a violation if a rule is disabled", t, func() {
		schedules := Schedules(3000)
		violations, _, lastViolation := exploreAll(schedules, NoRosterMajority)
		t.Logf("%s: %d of %d schedules; %v", NoRosterMajority, violations, len(schedules), lastViolation)
		So(violations, ShouldBeGreaterThan, 0)
	})
}
