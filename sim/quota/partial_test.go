package quota

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const partialCutSeeds = 20

// Guards against two counts of one tenant, by the owner and by the next one.
func TestOwnerPartitionedFromSomeFrontsKeepsTheLimit(t *testing.T) {
	for _, scenario := range partialScenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			var violations []string
			for seed := uint64(1); seed <= partialCutSeeds; seed++ {
				result, exact := play(scenario, seed)
				for _, broken := range scenario.Broken(result, exact) {
					violations = append(violations, fmt.Sprintf("seed %d: %s", seed, broken))
				}
			}
			Convey("With "+scenario.Name+" no seed admits too much", t, func() {
				So(violations, ShouldBeEmpty)
			})
		})
	}
}
