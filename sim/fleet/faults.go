package fleet

import (
	"fmt"
	"time"
)

// meanStepsBetweenFaults is the mean number of steps between two faults.
const meanStepsBetweenFaults = 40

// injectFaults performs the heals, restarts and replacements that are due, and injects
// a random fault every meanStepsBetweenFaults steps on average.
func (sim *simulation) injectFaults() {
	now := sim.clock.Now()
	sim.healDue(now)
	sim.restartDue(now)
	sim.handleExits(now)
	sim.replaceNext(now)
	if sim.random.IntN(meanStepsBetweenFaults) == 0 {
		sim.injectRandomFault(now)
	}
}

func (sim *simulation) healDue(now time.Time) {
	if sim.partitionedSide != nil && now.After(sim.healAt) {
		sim.fleet.SetPartitioned(sim.partitionedSide, false)
		sim.partitionedSide = nil
		sim.recordFault("heal the partition")
	}
}

func (sim *simulation) restartDue(now time.Time) {
	for i, restartAt := range sim.restartAt {
		if !now.After(restartAt) {
			continue
		}
		delete(sim.restartAt, i)
		if err := sim.fleet.StartNode(i); err != nil {
			sim.report.Violations = append(sim.report.Violations, fmt.Sprintf("node %d failed to start: %v", i, err))
		}
		sim.recordFault("start node %d", i)
	}
}

func (sim *simulation) injectRandomFault(now time.Time) {
	switch sim.random.IntN(7) {
	case 0, 1:
		sim.killTemporarily(sim.random.IntN(sim.nodeCount))
	case 2:
		for range 2 + sim.random.IntN(3) {
			sim.killTemporarily(sim.random.IntN(sim.nodeCount))
		}
	case 3, 4:
		sim.partitionAtRandom(now)
	case 5:
		sim.terminate(sim.random.IntN(sim.nodeCount))
	case 6:
		sim.scheduleTwoReplacements()
	}
}

// scheduleTwoReplacements schedules the replacement of two nodes, one after the other.
func (sim *simulation) scheduleTwoReplacements() {
	if len(sim.toReplace) > 0 {
		return
	}
	i := sim.random.IntN(sim.nodeCount)
	sim.toReplace = []int{i, (i + 1 + sim.random.IntN(sim.nodeCount-1)) % sim.nodeCount}
	sim.recordFault("replace nodes %v one after the other", sim.toReplace)
}

// partitionAtRandom isolates one node or divides the fleet at random, for 3 to 27 s.
func (sim *simulation) partitionAtRandom(now time.Time) {
	if sim.partitionedSide != nil {
		return
	}
	sim.partitionedSide = map[int]bool{}
	if sim.random.IntN(2) == 0 {
		sim.partitionedSide[sim.random.IntN(sim.nodeCount)] = true
	} else {
		for i := range sim.nodeCount {
			sim.partitionedSide[i] = sim.random.IntN(2) == 0
		}
	}
	sim.healAt = now.Add(time.Duration(3+sim.random.IntN(25)) * time.Second)
	sim.fleet.SetPartitioned(sim.partitionedSide, true)
	sim.recordFault("partition %v", sim.partitionedSide)
}

// terminate requests a graceful shutdown of a node.
func (sim *simulation) terminate(i int) {
	if !sim.fleet.Running(i) || sim.terminating[i] {
		return
	}
	sim.fleet.Terminate(i)
	sim.terminating[i] = true
	sim.recordFault("terminate node %d", i)
}

// handleExits schedules the restart of nodes whose graceful shutdown has ended, and
// records a violation if it ended with an error.
func (sim *simulation) handleExits(now time.Time) {
	for i := range sim.nodeCount {
		if !sim.terminating[i] {
			continue
		}
		ended, err := sim.fleet.Exited(i)
		if !ended {
			continue
		}
		if err != nil {
			sim.recordViolation("graceful shutdown of node %d failed: %v", i, err)
		}
		delete(sim.terminating, i)
		delete(sim.newestAccepted, i)
		sim.restartAt[i] = now.Add(time.Duration(1+sim.random.IntN(6)) * time.Second)
		sim.recordFault("node %d exited", i)
	}
}

// replaceNext replaces the next scheduled node by one of the same name, with a blank
// disk where canWipe allows it. The new node starts after 2 s, and the next
// replacement follows about 3 s after that.
func (sim *simulation) replaceNext(now time.Time) {
	if len(sim.toReplace) == 0 || now.Before(sim.replaceNotBefore) {
		return
	}
	i := sim.toReplace[0]
	sim.toReplace = sim.toReplace[1:]
	if !sim.fleet.Running(i) {
		return
	}
	sim.killUntil(i, now.Add(2*time.Second), i < sim.fleet.config.Cores && sim.canWipe(i))
	sim.replaceNotBefore = now.Add(5 * time.Second)
}

// killTemporarily kills a node for 1 to 12 s. A core may lose its disk as well, but only
// while all other cores are running and voting.
func (sim *simulation) killTemporarily(i int) {
	if !sim.fleet.Running(i) {
		return
	}
	restartAt := sim.clock.Now().Add(time.Duration(1+sim.random.IntN(12)) * time.Second)
	sim.killUntil(i, restartAt, i < sim.fleet.config.Cores && sim.random.IntN(3) == 0 && sim.canWipe(i))
}

func (sim *simulation) killUntil(i int, restartAt time.Time, wipe bool) {
	sim.fleet.Kill(i)
	delete(sim.newestAccepted, i)
	delete(sim.terminating, i)
	sim.restartAt[i] = restartAt
	if sim.partitionedSide != nil {
		sim.fleet.SetPartitioned(sim.partitionedSide, true)
	}
	if wipe {
		if err := sim.fleet.WipeDisk(i); err != nil {
			sim.recordViolation("%v", err)
		}
	}
	sim.recordFault("kill node %d, disk wiped: %v", i, wipe)
}

// canWipe reports whether all other cores are running and voting.
func (sim *simulation) canWipe(i int) bool {
	for c := range sim.fleet.config.Cores {
		if c == i {
			continue
		}
		if !sim.fleet.Running(c) || sim.fleet.coreStanding(c) != "voting" {
			return false
		}
	}
	return true
}
