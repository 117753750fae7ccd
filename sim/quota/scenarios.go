package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is a kind of run with its requirements.
type Scenario struct {
	Name    string
	Draw    func(random *rand.Rand) Setup
	Require Requirements
}

// Setup is one drawn run. Its demand is in steady excess of the limit from
// ExcessFrom until ExcessUntil; both are zero when it isn't.
type Setup struct {
	Fleet                   Fleet
	ExcessFrom, ExcessUntil time.Duration
}

// Requirements bound the result of a run. A bound of zero isn't checked, unless
// its comment says otherwise.
type Requirements struct {
	Max         float64 // most tokens in any span
	Min         float64 // least tokens in a span of steady excess demand
	MinByRegion float64 // least tokens of each region in such a span
	MaxRefused  float64 // largest refused share of what is offered under the limit; negative: not checked
	// ExactMargin, where set, lowers Min to what an exact log in one place
	// admits, less the margin.
	ExactMargin float64
}

// Broken names the requirements that a run breaks. exact is what one exact log
// in one place makes of the same requests.
func (s Scenario) Broken(result, exact Result) []string {
	var broken []string
	required := s.Require
	least := required.Min
	if required.ExactMargin > 0 {
		least = min(least, exact.Min-required.ExactMargin)
	}
	if result.Max > required.Max {
		broken = append(broken, fmt.Sprintf("%.3f of the limit passed in the span from %v, over %.2f", result.Max, result.MaxAt, required.Max))
	}
	if result.Min >= 0 && result.Min < least {
		broken = append(broken, fmt.Sprintf("%.3f of the limit passed in the span from %v, under %.3f", result.Min, result.MinAt, least))
	}
	if side := min(result.MinByRegion[0], result.MinByRegion[1]); required.MinByRegion > 0 && side < required.MinByRegion {
		broken = append(broken, fmt.Sprintf("one side of the cut got %.3f of the limit, under %.2f", side, required.MinByRegion))
	}
	if required.MaxRefused >= 0 && result.Refused > required.MaxRefused {
		broken = append(broken, fmt.Sprintf("%.5f of what was offered under 0.8 was refused", result.Refused))
	}
	return broken
}

const (
	second = time.Second

	maxAdmitted            = 1.15
	minAdmitted            = 0.85
	maxAdmittedPartitioned = 1.3
	minByRegionPartitioned = 0.2
	exactMargin            = 0.1
	refusalsAllowed        = -1
)

var (
	steadyUse       = Requirements{Max: maxAdmitted, Min: minAdmitted, MaxRefused: refusalsAllowed}
	steadyUseRandom = Requirements{Max: maxAdmitted, Min: minAdmitted, MaxRefused: refusalsAllowed, ExactMargin: exactMargin}
	jumpToExcess    = Requirements{Max: maxAdmitted, Min: minAdmitted}
	noRefusal       = Requirements{Max: maxAdmitted}
	onlyMax         = Requirements{Max: maxAdmitted, MaxRefused: refusalsAllowed}
)

// Scenarios returns all kinds of runs.
func Scenarios() []Scenario {
	return slices.Concat(excessScenarios, underLimitScenarios, networkScenarios, partialScenarios, ownerScenarios, processScenarios)
}

// between draws a number.
func between(random *rand.Rand, low, high float64) float64 { return low + random.Float64()*(high-low) }

// durationBetween draws a duration.
func durationBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// faultStart draws the instant of a scenario's fault or jump.
func faultStart(random *rand.Rand) time.Duration {
	return durationBetween(random, 16*second, 24*second)
}
