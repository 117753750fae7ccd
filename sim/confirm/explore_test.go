package confirm

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var step = flag.Int64("step", 3000, "distance in ms of the instants at which the exploration places faults")

func exploreAll(schedules []Schedule, mutation Mutation) (violations, acked int64, last *Violation) {
	var next, violating, acknowledgements atomic.Int64
	var found atomic.Pointer[Violation]
	var group sync.WaitGroup
	for range *workers {
		group.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(schedules)); i = next.Add(1) - 1 {
				outcome := Explore(schedules[i], mutation)
				acknowledgements.Add(int64(outcome.Acknowledged))
				if outcome.Violation != nil {
					violating.Add(1)
					found.Store(outcome.Violation)
				}
			}
		})
	}
	group.Wait()
	return violating.Load(), acknowledgements.Load(), found.Load()
}

func TestEverySchedule(t *testing.T) {
	schedules := Schedules(*step)
	Convey("No schedule of a partition with a freeze or a kill, at any instant, breaks the rule in a fleet of five", t, func() {
		violations, acked, last := exploreAll(schedules, None)
		t.Logf("%d schedules, %d violations, %d orders acknowledged", len(schedules), violations, acked)
		if last != nil {
			t.Log(last)
		}
		So(violations, ShouldEqual, 0)
		So(acked, ShouldBeGreaterThan, len(schedules)/2)
	})
	Convey("The same schedules show a violation without a rule", t, func() {
		schedules := Schedules(3000)
		violations, _, last := exploreAll(schedules, NoRosterMajority)
		t.Logf("%s: %d of %d schedules; %v", NoRosterMajority, violations, len(schedules), last)
		So(violations, ShouldBeGreaterThan, 0)
	})
}
