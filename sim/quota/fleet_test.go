package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
)

// A longer run: go test ./sim/quota -run Scenarios -seeds 200 -report
var (
	seeds            = flag.Int("seeds", 2, "number of seeds for each scenario")
	firstSeed        = flag.Uint64("first", 1, "first seed")
	disabledFeatures = flag.Uint("without", 0, "bit mask of disabled features: 1 early unblock, 2 sliding limit, 4 sliding capacity, 8 front shares, 16 queueing")
	nameFilter       = flag.String("only", "", "run only scenarios whose name contains this")
	report           = flag.Bool("report", false, "print the results")
	windowSlices     = flag.Int("slices", 0, "number of slices of a window; 0: default")
)

func play(scenario Scenario, seed uint64) (result, exact Result) {
	return playDisabled(scenario, seed, quota.Feature(*disabledFeatures))
}

func playDisabled(scenario Scenario, seed uint64, disabled quota.Feature) (result, exact Result) {
	setup := scenario.Draw(rand.New(rand.NewPCG(seed, 1)))
	fleet := setup.Fleet
	fleet.Seed = seed
	fleet.Config = quota.Config{Disabled: disabled, Slices: *windowSlices}
	firstRegion := fleet.withDefaults().FirstRegion
	requests := fleet.Run()
	result = Check(requests, firstRegion, setup.ExcessFrom, setup.ExcessUntil)
	if scenario.Require.ExactMargin > 0 {
		exact = Check(DecideWithExactLog(requests), firstRegion, setup.ExcessFrom, setup.ExcessUntil)
	}
	return result, exact
}

func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios() {
		if !strings.Contains(scenario.Name, *nameFilter) {
			continue
		}
		extremes := Result{MinAdmitted: 9, MinAdmittedByRegion: [regionCount]float64{9, 9}}
		exactMin, mean, runs := 9.0, 0.0, 0
		for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
			result, exact := play(scenario, seed)
			for _, violation := range scenario.Violations(result, exact) {
				t.Errorf("%s, seed %d: %s", scenario.Name, seed, violation)
			}
			extremes.MaxAdmitted, extremes.RefusedFraction, extremes.MaxWait = max(extremes.MaxAdmitted, result.MaxAdmitted), max(extremes.RefusedFraction, result.RefusedFraction), max(extremes.MaxWait, result.MaxWait)
			if result.MinAdmitted >= 0 {
				extremes.MinAdmitted, mean, runs = min(extremes.MinAdmitted, result.MinAdmitted), mean+result.MeanAdmitted, runs+1
				extremes.MinAdmittedByRegion[0], extremes.MinAdmittedByRegion[1] = min(extremes.MinAdmittedByRegion[0], result.MinAdmittedByRegion[0]), min(extremes.MinAdmittedByRegion[1], result.MinAdmittedByRegion[1])
			}
			if scenario.Require.ExactMargin > 0 {
				exactMin = min(exactMin, exact.MinAdmitted)
			}
		}
		if !*report {
			continue
		}
		line := fmt.Sprintf("%-56s max %.3f", scenario.Name, extremes.MaxAdmitted)
		if runs > 0 {
			line += fmt.Sprintf("  min %.3f  mean %.3f", extremes.MinAdmitted, mean/float64(runs))
		}
		if scenario.Require.MinAdmittedByRegion > 0 {
			line += fmt.Sprintf("  min by region %.2f %.2f", extremes.MinAdmittedByRegion[0], extremes.MinAdmittedByRegion[1])
		}
		if scenario.Require.ExactMargin > 0 {
			line += fmt.Sprintf("  min of the exact log %.3f", exactMin)
		}
		if scenario.Require.MaxRefusedFraction >= 0 {
			line += fmt.Sprintf("  refused %.5f", extremes.RefusedFraction)
		}
		fmt.Printf("%s  longest wait %v\n", line, extremes.MaxWait.Round(time.Millisecond))
	}
}

// TestEachFeatureIsNeeded disables one feature at a time and expects a violation in at
// least one scenario. SlidingLimit is not tested: while FrontShares is enabled, no
// scenario needs it at this seed.
func TestEachFeatureIsNeeded(t *testing.T) {
	for name, feature := range map[string]quota.Feature{
		"early unblocking": quota.EarlyUnblock,
		"sliding capacity": quota.SlidingCapacity,
		"front shares":     quota.FrontShares,
		"queueing":         quota.Queueing,
	} {
		Convey("Without "+name+" a scenario violates its requirements", t, func() {
			So(firstViolations(feature), ShouldNotBeEmpty)
		})
	}
}

// firstViolations returns the violations of the first scenario that has any while the
// given features are disabled.
func firstViolations(disabled quota.Feature) []string {
	for _, scenario := range Scenarios() {
		result, exact := playDisabled(scenario, 1, disabled)
		if violations := scenario.Violations(result, exact); len(violations) > 0 {
			return violations
		}
	}
	return nil
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	Convey("Two runs with the same seed have the same result", t, func() {
		firstResult, _ := play(Scenarios()[0], 5)
		secondResult, _ := play(Scenarios()[0], 5)
		So(secondResult, ShouldResemble, firstResult)
	})
}

func TestChecker(t *testing.T) {
	admittedRequest := func(at time.Duration, tokens float64) Request {
		return Request{ArrivedAt: at, AnsweredAt: at, Tokens: tokens, Decision: quota.Decision{Allowed: true}}
	}
	var evenRequests []Request
	for at := time.Duration(0); at < 40*second; at += 80 * time.Millisecond {
		evenRequests = append(evenRequests, admittedRequest(at, 0.01))
	}
	scenario := Scenario{Require: Requirements{MaxAdmitted: maxAdmitted, MinAdmitted: minAdmitted, MaxRefusedFraction: 0}}
	Convey("The checker finds no violation in an even stream at the limit", t, func() {
		So(scenario.Violations(Check(evenRequests, 6, 0, 40*second), Result{}), ShouldBeEmpty)
	})
	Convey("It finds a span with too many tokens, one with too few, a refusal under 0.8 of the limit and a starved region", t, func() {
		withExcess := append(append([]Request(nil), evenRequests...), admittedRequest(40*second, 0.3))
		So(scenario.Violations(Check(withExcess, 6, 0, 0), Result{}), ShouldHaveLength, 1)
		withGap := append(append([]Request(nil), evenRequests[:200]...), evenRequests[250:]...)
		So(scenario.Violations(Check(withGap, 6, 0, 40*second), Result{}), ShouldHaveLength, 1)
		withRefusal := []Request{admittedRequest(0, 0.1), {ArrivedAt: second, AnsweredAt: second, Tokens: 0.1, Decision: quota.Decision{Code: apierror.ShareExceeded}}}
		So(scenario.Violations(Check(withRefusal, 6, 0, 0), Result{}), ShouldHaveLength, 1)
		So(Scenario{Require: Requirements{MaxAdmitted: maxAdmitted, MinAdmittedByRegion: 0.2, MaxRefusedFraction: refusalsUnchecked}}.Violations(Check(evenRequests, 6, 0, 40*second), Result{}), ShouldHaveLength, 1)
	})
}
