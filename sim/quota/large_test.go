package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A longer run: go test ./sim/quota -v -run Large -large 10 -report
var largeSeeds = flag.Int("large", 1, "number of seeds for each scenario of a large fleet")

// playLarge runs a scenario of a large fleet and returns the violations.
func playLarge(scenario Scenario, seed uint64) []string {
	result, exact := play(scenario, seed)
	if *report {
		fmt.Printf("%-56s seed %d  max %.3f at %v  min %.3f\n", scenario.Name, seed, result.MaxAdmitted, result.MaxAdmittedAt, result.MinAdmitted)
	}
	return scenario.Violations(result, exact)
}

func TestLargeScenarios(t *testing.T) {
	for _, scenario := range LargeScenarios() {
		if !strings.Contains(scenario.Name, *nameFilter) {
			continue
		}
		Convey("The tokens admitted stay within the bounds: "+scenario.Name, t, func() {
			for seed := *firstSeed; seed < *firstSeed+uint64(*largeSeeds); seed++ {
				So(playLarge(scenario, seed), ShouldBeEmpty)
			}
		})
	}
}

func TestLargeFleetJumpWithSlowOwnerStaysWithinLimit(t *testing.T) {
	for _, scenario := range slowOwnerScenarios {
		Convey("The tokens admitted stay within the bounds: "+scenario.Name, t, func() {
			for seed := *firstSeed; seed < *firstSeed+uint64(*largeSeeds); seed++ {
				So(playLarge(scenario, seed), ShouldBeEmpty)
			}
		})
	}
}

func TestMeanOfSizeMix(t *testing.T) {
	Convey("The computed mean of a mix matches the mean of drawn requests", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		const draws = 200_000
		sum := 0.0
		for range draws {
			sum += mixedRequests.draw(random)
		}
		So(sum/draws, ShouldAlmostEqual, mixedRequests.mean(), mixedRequests.mean()/50)
	})
}
