package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario draws runs of one kind from a random source and sets their requirements.
type Scenario struct {
	Name    string
	Draw    func(random *rand.Rand) Setup
	Require Requirements
}

// Setup is one run of a scenario. Its demand exceeds the limit from ExcessFrom until
// ExcessUntil; both are zero if the checker measures no such phase.
type Setup struct {
	Fleet                   Fleet
	ExcessFrom, ExcessUntil time.Duration
}

// Requirements are bounds on the Result of a run. A minimum of zero is not checked.
type Requirements struct {
	MaxAdmitted         float64 // maximum of Result.MaxAdmitted; always checked
	MinAdmitted         float64 // minimum of Result.MinAdmitted
	MinAdmittedByRegion float64 // minimum of each region's Result.MinAdmittedByRegion
	MaxRefusedFraction  float64 // maximum of Result.RefusedFraction; negative: not checked

	// ExactMargin, if positive, lowers the bound MinAdmitted to the MinAdmitted of
	// DecideWithExactLog on the same requests less this margin, if that is smaller.
	ExactMargin float64
}

// Violations describes the requirements that a run violates. exact is the result of
// DecideWithExactLog on the same requests; it is used only if ExactMargin is set.
func (s Scenario) Violations(result, exact Result) []string {
	var violations []string
	required := s.Require
	minRequired := required.MinAdmitted
	if required.ExactMargin > 0 {
		minRequired = min(minRequired, exact.MinAdmitted-required.ExactMargin)
	}
	if result.MaxAdmitted > required.MaxAdmitted {
		violations = append(violations, fmt.Sprintf("admitted %.3f of the limit in the span from %v, maximum %.2f", result.MaxAdmitted, result.MaxAdmittedAt, required.MaxAdmitted))
	}
	if result.MinAdmitted >= 0 && result.MinAdmitted < minRequired {
		violations = append(violations, fmt.Sprintf("admitted %.3f of the limit in the span from %v, minimum %.3f", result.MinAdmitted, result.MinAdmittedAt, minRequired))
	}
	if leastRegion := min(result.MinAdmittedByRegion[0], result.MinAdmittedByRegion[1]); required.MinAdmittedByRegion > 0 && leastRegion < required.MinAdmittedByRegion {
		violations = append(violations, fmt.Sprintf("admitted %.3f of the limit to one region in a span, minimum %.2f", leastRegion, required.MinAdmittedByRegion))
	}
	if required.MaxRefusedFraction >= 0 && result.RefusedFraction > required.MaxRefusedFraction {
		violations = append(violations, fmt.Sprintf("refused %.5f of the tokens offered while demand was at most 0.8 of the limit", result.RefusedFraction))
	}
	return violations
}

const (
	second = time.Second

	maxAdmitted            = 1.15
	minAdmitted            = 0.85
	maxAdmittedPartitioned = 1.3
	minByRegionPartitioned = 0.2
	exactMargin            = 0.1
	refusalsUnchecked      = -1
)

var (
	steadyExcessRequirements  = Requirements{MaxAdmitted: maxAdmitted, MinAdmitted: minAdmitted, MaxRefusedFraction: refusalsUnchecked}
	poissonExcessRequirements = Requirements{MaxAdmitted: maxAdmitted, MinAdmitted: minAdmitted, MaxRefusedFraction: refusalsUnchecked, ExactMargin: exactMargin}
	jumpRequirements          = Requirements{MaxAdmitted: maxAdmitted, MinAdmitted: minAdmitted}
	noRefusalRequirements     = Requirements{MaxAdmitted: maxAdmitted}
	maxOnlyRequirements       = Requirements{MaxAdmitted: maxAdmitted, MaxRefusedFraction: refusalsUnchecked}
)

// Scenarios returns all scenarios of a fleet of the default size.
func Scenarios() []Scenario {
	return slices.Concat(excessScenarios, underLimitScenarios, networkScenarios, partialScenarios, ownerScenarios, processScenarios)
}

// drawBetween draws a number from [low, high).
func drawBetween(random *rand.Rand, low, high float64) float64 {
	return low + random.Float64()*(high-low)
}

// drawDuration draws a duration from [low, high).
func drawDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// drawFaultStart draws the time at which a scenario's fault or jump begins.
func drawFaultStart(random *rand.Rand) time.Duration {
	return drawDuration(random, 16*second, 24*second)
}
