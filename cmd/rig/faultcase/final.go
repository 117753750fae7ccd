package faultcase

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
)

const (
	beforeFinalFault = 8 * time.Second // of undisturbed service
	afterFinalFault  = 17 * time.Second
	killedOfHalf     = 4 // of nine nodes
)

// recordFinalFault records that nothing is repaired from now on, and waits until
// the recovery of service can be checked.
func (r *Run) recordFinalFault(description string) {
	r.Recorder.AddAction(description, true)
	r.Wait(afterFinalFault)
}

// killHalf kills four nodes of nine; one core is among them at the most.
func (r *Run) killHalf() {
	killed := []*fleet.Node{r.randomCore()}
	for len(killed) < killedOfHalf {
		if node := r.randomFront(); !slices.Contains(killed, node) {
			killed = append(killed, node)
		}
	}
	killAll(killed)
}

func finalNodes(r *Run) error {
	r.Wait(beforeFinalFault)
	r.killHalf()
	r.recordFinalFault("four of nine nodes killed at once")
	return nil
}

func finalCores(r *Run) error {
	r.Wait(beforeFinalFault)
	killAll(r.Fleet.Cores()[:2])
	r.recordFinalFault("two of three cores killed")
	return nil
}

func finalAllCores(r *Run) error {
	r.Wait(beforeFinalFault)
	killAll(r.Fleet.Cores())
	r.recordFinalFault("all cores killed")
	return nil
}

func finalZone(r *Run) error {
	r.Wait(beforeFinalFault)
	nodes, servers := r.inZone(fleet.Location{Region: "lagos", Zone: "a"})
	killAll(nodes)
	for _, name := range servers {
		r.crashServer(name)
	}
	r.recordFinalFault("zone lagos/a gone")
	return nil
}

func finalRegion(r *Run) error {
	r.Wait(beforeFinalFault)
	r.Partition(r.inRegion("abeokuta"), r.inRegion("lagos"))
	r.recordFinalFault("regions cut off from each other")
	return nil
}

func rollingRestart(r *Run) error {
	if err := r.restartInTurn(3 * time.Second); err != nil {
		return err
	}
	recording := r.Recorder.Snapshot()
	if broken := brokenStreams(&recording); broken > 0 {
		return errors.Errorf("%d streams were cut although every node left by itself", broken)
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
