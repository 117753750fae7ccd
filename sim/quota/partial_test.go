package quota

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const partialPartitionSeeds = 20

// Guards against two fronts counting the same tenant: the owner, and the next owner for
// the fronts that can't reach the first.
func TestOwnerPartitionedFromSomeFrontsKeepsTheLimit(t *testing.T) {
	for _, scenario := range partialScenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			var violations []string
			for seed := uint64(1); seed <= partialPartitionSeeds; seed++ {
				result, exact := play(scenario, seed)
				for _, violation := range scenario.Violations(result, exact) {
					violations = append(violations, fmt.Sprintf("seed %d: %s", seed, violation))
				}
			}
			Convey("In scenario "+scenario.Name+", no seed violates a requirement", t, func() {
				So(violations, ShouldBeEmpty)
			})
		})
	}
}
