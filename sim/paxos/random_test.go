package paxos

import (
	"flag"
	"testing"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random runs")
	seeds     = flag.Int("seeds", 80, "number of random runs of each fault mix")
)

var faultMixes = map[string]Faults{
	"no faults":             {FaultsUntilMS: 3_000, FaultIntervalMS: 1 << 40, ProposalTimeoutMS: 300},
	"lossy":                 {FaultsUntilMS: 8_000, LossProbability: 0.1, DuplicateProbability: 0.05, DelayedFraction: 0.1, FaultIntervalMS: 4_000, ProposalTimeoutMS: 300},
	"stormy":                {FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 400, WipeFraction: 0.3, ProposalTimeoutMS: 300},
	"wiped":                 {FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 500, WipeFraction: 1, ProposalTimeoutMS: 300},
	"long proposal timeout": {FaultsUntilMS: 8_000, DuplicateProbability: 0.1, DelayedFraction: 0.2, FaultIntervalMS: 1_500, WipeFraction: 1, ProposalTimeoutMS: 1_500},
	"replaced":              {FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 500, WipeFraction: 1, ReplaceProcesses: true, ProposalTimeoutMS: 300},
	"five, two wiped":       {Cores: 5, FaultsFromMS: 1_000, FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 250, WipeFraction: 1, ProposalTimeoutMS: 300},
	"five, replaced":        {Cores: 5, FaultsFromMS: 1_000, FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 400, WipeFraction: 1, ReplaceProcesses: true, ProposalTimeoutMS: 300},
	"five, stormy":          {Cores: 5, FaultsFromMS: 1_000, FaultsUntilMS: 8_000, LossProbability: 0.05, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 300, WipeFraction: 0.3, ProposalTimeoutMS: 300},
	"overlapping wipes":     {FaultsUntilMS: 8_000, LossProbability: 0.02, DuplicateProbability: 0.1, DelayedFraction: 0.1, FaultIntervalMS: 800, WipeFraction: 1, OverlappingWipes: true, ProposalTimeoutMS: 300},
}

func TestRandom(t *testing.T) {
	for name, faults := range faultMixes {
		t.Run(name, func(t *testing.T) {
			var sum Outcome
			lost := 0
			for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
				out := Run(seed, faults)
				if out.Violation != "" {
					t.Fatalf("seed %d: %s", seed, out.Violation)
				}
				sum.Chosen += out.Chosen
				sum.Crashes += out.Crashes
				sum.Wipes += out.Wipes
				sum.Snapshots += out.Snapshots
				sum.Events += out.Events
				if out.QuorumMayBeLost {
					lost++
				}
			}
			t.Logf("%d seeds: %d slots chosen, %d crashes, %d wipes, %d snapshots, %d events, %d seeds may have lost a quorum of disks",
				*seeds, sum.Chosen, sum.Crashes, sum.Wipes, sum.Snapshots, sum.Events, lost)
		})
	}
}

// A core that lost its disk and votes without recovery may contradict its lost votes.
func TestRandomFindsAFlaw(t *testing.T) {
	faults := faultMixes["wiped"]
	faults.Flaw = VoteWithoutRecovery
	for seed := uint64(1); seed <= 300; seed++ {
		if out := Run(seed, faults); out.Violation != "" {
			t.Logf("seed %d: %s", seed, out.Violation)
			return
		}
	}
	t.Error("no violation in 300 seeds although cores vote without recovery after a disk loss")
}

// If acceptors do not record the incarnation of a new process, they still count the
// votes of the process that it replaced.
func TestRandomFindsAForgottenIncarnation(t *testing.T) {
	faults := faultMixes["replaced"]
	faults.Flaw = IncarnationForgotten
	for seed := uint64(1); seed <= 600; seed++ {
		if out := Run(seed, faults); out.Violation != "" {
			t.Logf("seed %d: %s", seed, out.Violation)
			return
		}
	}
	t.Error("no violation in 600 seeds although votes of replaced processes are still counted")
}

// If two processes announce the same incarnation, both of their votes are counted.
func TestRandomFindsASharedIncarnation(t *testing.T) {
	faults := faultMixes["replaced"]
	faults.Flaw = SharedIncarnation
	if out := Run(6641, faults); out.Violation == "" {
		t.Error("no violation in seed 6641 although two processes vote with the same disk incarnation")
	}
}
