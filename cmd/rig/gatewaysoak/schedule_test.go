package gatewaysoak

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var testTargets = targets{
	cores:   []string{"a.core", "b.core", "c.core"},
	fronts:  []string{"a.front", "b.front", "c.front", "d.front"},
	servers: []string{"i-1", "i-2"},
}

func TestSchedule(t *testing.T) {
	const length = 20 * time.Second
	Convey("The schedule depends only on the seed", t, func() {
		So(newSchedule(7, testTargets, length), ShouldResemble, newSchedule(7, testTargets, length))
		So(newSchedule(7, testTargets, length), ShouldNotResemble, newSchedule(8, testTargets, length))
	})
	Convey("Each schedule has every action, restarts of several processes overlap, and lanes are bounded", t, func() {
		for seed := range uint64(50) {
			actions := map[action]bool{}
			lanes := map[string]int{}
			overlaps := 0
			last := time.Duration(0)
			steps := newSchedule(seed, testTargets, length)
			for i, scheduled := range steps {
				So(scheduled.At, ShouldBeGreaterThanOrEqualTo, last)
				last = scheduled.At
				actions[scheduled.Action] = true
				lanes[scheduled.lane()]++
				if i > 0 && scheduled.Target != steps[i-1].Target && scheduled.At-steps[i-1].At < grace {
					overlaps++
				}
			}
			So(len(actions), ShouldEqual, 6)
			So(overlaps, ShouldBeGreaterThan, 3)
			for _, count := range lanes {
				So(count, ShouldBeLessThanOrEqualTo, maxSteps)
			}
		}
	})
}
