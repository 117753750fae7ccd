package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The long run: go test ./sim/quota -v -run Large -large 10 -report
var largeSeeds = flag.Int("large", 1, "seeds of each scenario of a large fleet")

// brokenBy plays a scenario of a large fleet and returns the violations.
func brokenBy(scenario Scenario, seed uint64) []string {
	result, exact := play(scenario, seed)
	if *report {
		fmt.Printf("%-42s seed %d  most %.3f at %v  least %.3f\n", scenario.Name, seed, result.Max, result.MaxAt, result.Min)
	}
	return scenario.Broken(result, exact)
}

func TestLargeScenarios(t *testing.T) {
	for _, scenario := range LargeScenarios() {
		if !strings.Contains(scenario.Name, *only) {
			continue
		}
		Convey("A tenant's jump stays within its bounds: "+scenario.Name, t, func() {
			for seed := *first; seed < *first+uint64(*largeSeeds); seed++ {
				So(brokenBy(scenario, seed), ShouldBeEmpty)
			}
		})
	}
}

func TestLargeFleetJumpWithSlowOwnerStaysWithinLimit(t *testing.T) {
	for _, scenario := range slowOwnerScenarios {
		Convey("A tenant's jump stays within its bounds: "+scenario.Name, t, func() {
			for seed := *first; seed < *first+uint64(*largeSeeds); seed++ {
				So(brokenBy(scenario, seed), ShouldBeEmpty)
			}
		})
	}
}

func TestMeanOfSizeMix(t *testing.T) {
	Convey("The mean of a mix is that of its drawn requests", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		const draws = 200_000
		sum := 0.0
		for range draws {
			sum += mixedRequests.draw(random)
		}
		So(sum/draws, ShouldAlmostEqual, mixedRequests.mean(), mixedRequests.mean()/50)
	})
}
