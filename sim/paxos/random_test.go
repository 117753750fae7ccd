package paxos

import (
	"flag"
	"testing"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random runs")
	seeds     = flag.Int("seeds", 80, "random runs for each mix of faults")
)

var mixes = map[string]Faults{
	"calm":            {FaultsUntil: 3_000, FaultInterval: 1 << 40, ProposalTimeout: 300},
	"lossy":           {FaultsUntil: 8_000, Loss: 0.1, Duplicate: 0.05, Delayed: 0.1, FaultInterval: 4_000, ProposalTimeout: 300},
	"stormy":          {FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 400, Wipes: 0.3, ProposalTimeout: 300},
	"wiped":           {FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 500, Wipes: 1, ProposalTimeout: 300},
	"patient":         {FaultsUntil: 8_000, Duplicate: 0.1, Delayed: 0.2, FaultInterval: 1_500, Wipes: 1, ProposalTimeout: 1_500},
	"replaced":        {FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 500, Wipes: 1, Replaced: true, ProposalTimeout: 300},
	"five, two wiped": {Cores: 5, FaultsFrom: 1_000, FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 250, Wipes: 1, ProposalTimeout: 300},
	"five, replaced":  {Cores: 5, FaultsFrom: 1_000, FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 400, Wipes: 1, Replaced: true, ProposalTimeout: 300},
	"five, stormy":    {Cores: 5, FaultsFrom: 1_000, FaultsUntil: 8_000, Loss: 0.05, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 300, Wipes: 0.3, ProposalTimeout: 300},
	"wiped at once":   {FaultsUntil: 8_000, Loss: 0.02, Duplicate: 0.1, Delayed: 0.1, FaultInterval: 800, Wipes: 1, TwoWipes: true, ProposalTimeout: 300},
}

func TestRandom(t *testing.T) {
	for name, faults := range mixes {
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
				if out.Lost {
					lost++
				}
			}
			t.Logf("%d seeds: %d slots chosen, %d crashes, %d wipes, %d snapshots, %d events, %d seeds lost two disks",
				*seeds, sum.Chosen, sum.Crashes, sum.Wipes, sum.Snapshots, sum.Events, lost)
		})
	}
}

func TestRandomFindsAFlaw(t *testing.T) {
	faults := mixes["wiped"]
	faults.Flaw = VoteWithoutRecovery
	for seed := uint64(1); seed <= 300; seed++ {
		if out := Run(seed, faults); out.Violation != "" {
			t.Logf("seed %d: %s", seed, out.Violation)
			return
		}
	}
	t.Error("none of 300 seeds shows that a wiped core votes without a recovery")
}

func TestRandomFindsAForgottenIncarnation(t *testing.T) {
	faults := mixes["replaced"]
	faults.Flaw = IncarnationForgotten
	for seed := uint64(1); seed <= 600; seed++ {
		if out := Run(seed, faults); out.Violation != "" {
			t.Logf("seed %d: %s", seed, out.Violation)
			return
		}
	}
	t.Error("none of 600 seeds shows that a replaced core's votes are still counted")
}

func TestRandomFindsASharedIncarnation(t *testing.T) {
	faults := mixes["replaced"]
	faults.Flaw = SharedIncarnation
	if out := Run(6641, faults); out.Violation == "" {
		t.Error("seed 6641 does not show that two processes of one disk incarnation vote twice")
	}
}
