package faultcase

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
)

const (
	waitBeforeFinalFault = 8 * time.Second // of service without faults
	waitAfterFinalFault  = 17 * time.Second
	nodesKilledByHalf    = 4 // of nine nodes
)

// recordFinalFault records the last fault, which is not repaired, and waits long
// enough for the checker to judge whether service recovers.
func (r *Run) recordFinalFault(description string) {
	r.Recorder.AddAction(description, true)
	r.Wait(waitAfterFinalFault)
}

// killHalf kills four of nine nodes at once: one core and three fronts.
func (r *Run) killHalf() {
	killed := []*fleet.Node{r.randomCore()}
	for len(killed) < nodesKilledByHalf {
		if node := r.randomFront(); !slices.Contains(killed, node) {
			killed = append(killed, node)
		}
	}
	killAll(killed)
}

func finalNodes(r *Run) error {
	r.Wait(waitBeforeFinalFault)
	r.killHalf()
	r.recordFinalFault("four of nine nodes killed at once")
	return nil
}

func finalCores(r *Run) error {
	r.Wait(waitBeforeFinalFault)
	killAll(r.Fleet.Cores()[:2])
	r.recordFinalFault("two of three cores killed")
	return nil
}

func finalAllCores(r *Run) error {
	r.Wait(waitBeforeFinalFault)
	killAll(r.Fleet.Cores())
	r.recordFinalFault("all cores killed")
	return nil
}

func finalZone(r *Run) error {
	r.Wait(waitBeforeFinalFault)
	nodes, servers := r.zoneMembers(fleet.Location{Region: "lagos", Zone: "a"})
	killAll(nodes)
	for _, name := range servers {
		r.crashServer(name)
	}
	r.recordFinalFault("zone lagos/a gone")
	return nil
}

func finalRegion(r *Run) error {
	r.Wait(waitBeforeFinalFault)
	r.Partition(r.regionMemberNames("abeokuta"), r.regionMemberNames("lagos"))
	r.recordFinalFault("regions cut off from each other")
	return nil
}

func rollingRestart(r *Run) error {
	if err := r.restartInTurn(3 * time.Second); err != nil {
		return err
	}
	recording := r.Recorder.Snapshot()
	if broken := brokenStreams(&recording); broken > 0 {
		return errors.Errorf("%d streams were broken although every node exited cleanly", broken)
	}
	return nil
}

func finalRolling(r *Run) error {
	if err := r.restartInTurn(2 * time.Second); err != nil {
		return err
	}
	r.Wait(7 * time.Second)
	r.killHalf()
	r.recordFinalFault("four of nine nodes killed after a rolling restart")
	return nil
}
