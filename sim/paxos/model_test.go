package paxos

import (
	"flag"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var long = flag.Bool("long", false, "run the larger explorations, which CI omits")

func explore(t *testing.T, name string, bounds Bounds) {
	t.Run(name, func(t *testing.T) {
		report := Explore(bounds)
		t.Logf("%d states, %d transitions, maximum depth %d, complete %v", report.States, report.Transitions, report.MaxDepth, report.Complete)
		if report.Violation != "" {
			t.Errorf("%s\n%s", report.Violation, strings.Join(report.Trace, "\n"))
		}
	})
}

func TestExhaustive(t *testing.T) {
	explore(t, "one ballot, a wipe, late answers", Bounds{Ballots: []int{1, 0, 0}, Wipes: 1})
	explore(t, "one ballot, a wipe, a crash, a duplicate", Bounds{Ballots: []int{1, 0, 0}, Wipes: 1, Crashes: 1, Duplicates: 1, ImmediateAnswers: true})
	explore(t, "two ballots, a crash", Bounds{Ballots: []int{2, 0, 0}, Crashes: 1, ImmediateAnswers: true})
	explore(t, "two proposers", Bounds{Ballots: []int{1, 1, 0}, ImmediateAnswers: true})
	explore(t, "two proposers, a wipe of the third core", Bounds{Ballots: []int{1, 1, 0}, Wipes: 1, WipeableCores: "c", ImmediateAnswers: true, MaxStates: 500_000})
}

func TestExhaustiveLong(t *testing.T) {
	if !*long {
		t.Skip("run with -long")
	}
	const limit = 30_000_000
	explore(t, "two proposers, a wipe", Bounds{Ballots: []int{1, 1, 0}, Wipes: 1, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "two proposers, late answers", Bounds{Ballots: []int{1, 1, 0}, MaxStates: limit})
	explore(t, "two proposers, a wipe and a crash", Bounds{Ballots: []int{1, 1, 0}, Wipes: 1, Crashes: 1, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "one ballot, two wipes, a crash", Bounds{Ballots: []int{1, 0, 0}, Wipes: 2, Crashes: 1, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "one ballot, three wipes", Bounds{Ballots: []int{1, 0, 0}, Wipes: 3, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "two proposers, two wipes", Bounds{Ballots: []int{1, 1, 0}, Wipes: 2, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "three ballots, a wipe", Bounds{Ballots: []int{2, 1, 0}, Wipes: 1, ImmediateAnswers: true, MaxStates: limit})
	explore(t, "two proposers, a wipe, late answers", Bounds{Ballots: []int{1, 1, 0}, Wipes: 1, MaxStates: limit})
}

func TestEachFlawIsFound(t *testing.T) {
	Convey("The checker detects each disabled rule", t, func() {
		for flaw, bounds := range map[Flaw]Bounds{
			IncarnationsOmitted:  {Ballots: []int{1, 1, 0}, Wipes: 1, ImmediateAnswers: true},
			IncarnationForgotten: {Ballots: []int{1, 1, 0}, Wipes: 1, ImmediateAnswers: true},
			PromiseTwice:         {Ballots: []int{2, 0, 0}, Crashes: 1, ImmediateAnswers: true},
			PartialRecovery:      {Ballots: []int{1, 1, 0}, Wipes: 1, ImmediateAnswers: true},
			VoteWithoutRecovery:  {Ballots: []int{1, 1, 0}, Wipes: 1, ImmediateAnswers: true},
		} {
			bounds.Flaw = flaw
			report := Explore(bounds)
			t.Logf("flaw %d: %d states: %s\n%s", flaw, report.States, report.Violation, strings.Join(report.Trace, "\n"))
			So(report.Violation, ShouldNotBeEmpty)
		}
	})
}
