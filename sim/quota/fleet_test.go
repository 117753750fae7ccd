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

// The long run: go test ./sim/quota -run Scenarios -seeds 200 -report
var (
	seeds        = flag.Int("seeds", 2, "seeds of each scenario")
	first        = flag.Uint64("first", 1, "first seed")
	without      = flag.Uint("without", 0, "features disabled, as a mask: 1 early unblock, 2 sliding limit, 4 sliding capacity, 8 front shares, 16 queueing")
	only         = flag.String("only", "", "part of the names of the scenarios to run")
	report       = flag.Bool("report", false, "print the figures")
	windowSlices = flag.Int("slices", 0, "slices of a window")
)

func play(scenario Scenario, seed uint64) (result, exact Result) {
	return playDisabled(scenario, seed, quota.Feature(*without))
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
		exact = Check(Exact(requests), firstRegion, setup.ExcessFrom, setup.ExcessUntil)
	}
	return result, exact
}

func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios() {
		if !strings.Contains(scenario.Name, *only) {
			continue
		}
		worst := Result{Min: 9, MinByRegion: [regions]float64{9, 9}}
		least, mean, runs := 9.0, 0.0, 0
		for seed := *first; seed < *first+uint64(*seeds); seed++ {
			result, exact := play(scenario, seed)
			for _, broken := range scenario.Broken(result, exact) {
				t.Errorf("%s, seed %d: %s", scenario.Name, seed, broken)
			}
			worst.Max, worst.Refused, worst.Wait = max(worst.Max, result.Max), max(worst.Refused, result.Refused), max(worst.Wait, result.Wait)
			if result.Min >= 0 {
				worst.Min, mean, runs = min(worst.Min, result.Min), mean+result.Mean, runs+1
				worst.MinByRegion[0], worst.MinByRegion[1] = min(worst.MinByRegion[0], result.MinByRegion[0]), min(worst.MinByRegion[1], result.MinByRegion[1])
			}
			if scenario.Require.ExactMargin > 0 {
				least = min(least, exact.Min)
			}
		}
		if !*report {
			continue
		}
		line := fmt.Sprintf("%-42s most %.3f", scenario.Name, worst.Max)
		if runs > 0 {
			line += fmt.Sprintf("  least %.3f  mean %.3f", worst.Min, mean/float64(runs))
		}
		if scenario.Require.MinByRegion > 0 {
			line += fmt.Sprintf("  sides %.2f %.2f", worst.MinByRegion[0], worst.MinByRegion[1])
		}
		if scenario.Require.ExactMargin > 0 {
			line += fmt.Sprintf("  least of one exact log %.3f", least)
		}
		if scenario.Require.MaxRefused >= 0 {
			line += fmt.Sprintf("  refused %.5f", worst.Refused)
		}
		fmt.Printf("%s  longest hold %v\n", line, worst.Wait.Round(time.Millisecond))
	}
}

// TestEachFeatureIsNeeded disables the features one by one and expects the checker to
// find a violation in one of the scenarios. SlidingLimit is not among them: with
// FrontShares no scenario needs it at this seed.
func TestEachFeatureIsNeeded(t *testing.T) {
	for name, feature := range map[string]quota.Feature{
		"early unblocking": quota.EarlyUnblock,
		"sliding capacity": quota.SlidingCapacity,
		"shares":           quota.FrontShares,
		"queueing":         quota.Queueing,
	} {
		Convey("Without "+name+" a tenant gets too much or too little", t, func() {
			So(firstBroken(feature), ShouldNotBeEmpty)
		})
	}
}

// firstBroken returns the violations of the first scenario that has any with features
// disabled.
func firstBroken(disabled quota.Feature) []string {
	for _, scenario := range Scenarios() {
		result, exact := playDisabled(scenario, 1, disabled)
		if broken := scenario.Broken(result, exact); len(broken) > 0 {
			return broken
		}
	}
	return nil
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	Convey("A seed gives the same run again", t, func() {
		one, _ := play(Scenarios()[0], 5)
		two, _ := play(Scenarios()[0], 5)
		So(two, ShouldResemble, one)
	})
}

func TestChecker(t *testing.T) {
	pass := func(at time.Duration, tokens float64) Request {
		return Request{At: at, Answered: at, Tokens: tokens, Decision: quota.Decision{Allowed: true}}
	}
	var even []Request
	for at := time.Duration(0); at < 40*second; at += 80 * time.Millisecond {
		even = append(even, pass(at, 0.01))
	}
	scenario := Scenario{Require: Requirements{Max: maxAdmitted, Min: minAdmitted, MaxRefused: 0}}
	Convey("The checker finds nothing in an even stream at the limit", t, func() {
		So(scenario.Broken(Check(even, 6, 0, 40*second), Result{}), ShouldBeEmpty)
	})
	Convey("It finds a span with too much, too little, a refusal below 0.8, and a starved side", t, func() {
		much := append(append([]Request(nil), even...), pass(40*second, 0.3))
		So(scenario.Broken(Check(much, 6, 0, 0), Result{}), ShouldHaveLength, 1)
		little := append(append([]Request(nil), even[:200]...), even[250:]...)
		So(scenario.Broken(Check(little, 6, 0, 40*second), Result{}), ShouldHaveLength, 1)
		refused := []Request{pass(0, 0.1), {At: second, Answered: second, Tokens: 0.1, Decision: quota.Decision{Code: apierror.ShareExceeded}}}
		So(scenario.Broken(Check(refused, 6, 0, 0), Result{}), ShouldHaveLength, 1)
		So(Scenario{Require: Requirements{Max: maxAdmitted, MinByRegion: 0.2, MaxRefused: refusalsAllowed}}.Broken(Check(even, 6, 0, 40*second), Result{}), ShouldHaveLength, 1)
	})
}
