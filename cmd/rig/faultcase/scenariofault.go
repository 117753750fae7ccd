package faultcase

import (
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
)

// FaultKind is a kind of fault that a scenario may name: one of the constants below, or
// a fault of package emulator that affects some of a server's requests.
type FaultKind string

// Kinds of faults.
const (
	FaultKill      FaultKind = "kill"
	FaultStop      FaultKind = "stop"
	FaultFreeze    FaultKind = "freeze"
	FaultWipe      FaultKind = "wipe"
	FaultPartition FaultKind = "cut"
	FaultCrash     FaultKind = "crash"
	FaultDark      FaultKind = "dark" // unresponsive
	FaultDrain     FaultKind = "drain"
	FaultLeave     FaultKind = "leave"
	FaultEvacuate  FaultKind = "evacuate"
	FaultFinal     FaultKind = "final" // marks the instant from which recovery is checked
)

// scenarioLeaveDelay is the time from the listing of a server as draining or leaving
// to its announced leave time.
const scenarioLeaveDelay = 5 * time.Second

// faultTargets describes the valid targets of each kind of fault, for error messages.
// A new kind also needs a case in applyNodeFault or applyServerFault; a fault of
// package emulator needs only its entry here.
var faultTargets = map[FaultKind]string{
	FaultKill:      "nodes",
	FaultStop:      "nodes",
	FaultFreeze:    "nodes",
	FaultWipe:      "cores",
	FaultPartition: "nodes and servers, partitioned from all others, connections hang",
	FaultCrash:     "servers",
	FaultDark:      "model servers",
	FaultDrain:     "servers",
	FaultLeave:     "servers",
	FaultEvacuate:  "localities",
	FaultFinal:     "none: recovery of service is checked from this time on",

	FaultKind(emulator.EarlyEnd):        "model servers",
	FaultKind(emulator.DuplicatedEvent): "model servers",
	FaultKind(emulator.AbortedStream):   "model servers",
	FaultKind(emulator.ResetAfterRun):   "web servers",
	FaultKind(emulator.ResetBeforeRun):  "web servers",
}

func faultKindNames() string {
	var names []string
	for kind := range faultTargets {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// applyFault injects a fault of a scenario, or repairs it.
func (r *Run) applyFault(fault Fault, repair bool) error {
	switch {
	case fault.Kind == FaultFinal:
		r.Recorder.AddAction("final", true)
		return nil
	case fault.Kind == FaultPartition && repair:
		r.Heal()
		return nil
	case fault.Kind == FaultPartition:
		r.Partition(fault.Target, r.Fleet.NamesWhere(func(name string, _ fleet.Location) bool {
			return !slices.Contains(fault.Target, name)
		}))
		return nil
	}
	for _, name := range fault.Target {
		if err := r.applyFaultToTarget(name, fault, repair); err != nil {
			return errors.Wrapf(err, "%s %s", fault.Kind, name)
		}
	}
	return nil
}

// applyFaultToTarget injects a fault into one target, or repairs it.
func (r *Run) applyFaultToTarget(name string, fault Fault, repair bool) error {
	if fault.Kind == FaultEvacuate {
		r.applyEvacuation(name, repair)
		return nil
	}
	if node := r.Fleet.Node(name); node != nil {
		return applyNodeFault(node, fault.Kind, repair)
	}
	if r.Fleet.ModelServer(name) != nil || r.Fleet.WebServer(name) != nil {
		return r.applyServerFault(name, fault, repair)
	}
	return invalidTargetError(fault.Kind)
}

func invalidTargetError(kind FaultKind) error {
	return errors.Errorf("invalid target, must be one of: %s", faultTargets[kind])
}

func (r *Run) applyEvacuation(zone string, repair bool) {
	if repair {
		r.submit(r.Operators.Restore(firstOperator, zone), 0, zoneOrderTimeout)
		return
	}
	r.submit(r.Operators.Evacuate(firstOperator, zone), 0, zoneOrderTimeout)
}

func applyNodeFault(node *fleet.Node, kind FaultKind, repair bool) error {
	switch {
	case kind == FaultFreeze && repair:
		node.Thaw()
	case kind == FaultFreeze:
		node.Freeze()
	case repair:
		return node.Start()
	case kind == FaultStop:
		node.Terminate(uncheckedStopTimeout)
	case kind == FaultWipe:
		node.Kill()
		return node.Wipe()
	case kind == FaultKill:
		node.Kill()
	default:
		return invalidTargetError(kind)
	}
	return nil
}

func (r *Run) applyServerFault(name string, fault Fault, repair bool) error {
	model := r.Fleet.ModelServer(name)
	switch {
	case fault.Kind == FaultCrash && repair:
		return r.restartServer(name)
	case fault.Kind == FaultCrash:
		r.crashServer(name)
	case fault.Kind == FaultDrain || fault.Kind == FaultLeave:
		r.Fleet.Platform.SetState(name, listedState(fault.Kind, repair), leaveTime(scenarioLeaveDelay))
	case model != nil && fault.Kind == FaultDark:
		model.SetUnresponsive(!repair)
	case fault.Odds > 0:
		r.setFaultOdds(name, requestFaultOdds(fault, repair))
	default:
		return invalidTargetError(fault.Kind)
	}
	return nil
}

// listedState returns the state in which the platform lists a server during a drain or
// leave fault, or after its repair.
func listedState(kind FaultKind, repair bool) string {
	switch {
	case repair:
		return stateReady
	case kind == FaultDrain:
		return stateDraining
	}
	return stateLeaving
}

// requestFaultOdds returns the odds of a fault that affects some requests, or nil to
// repair it.
func requestFaultOdds(fault Fault, repair bool) emulator.FaultOdds {
	if repair {
		return nil
	}
	return emulator.FaultOdds{emulator.Fault(fault.Kind): fault.Odds}
}

func (r *Run) setFaultOdds(server string, odds emulator.FaultOdds) {
	if model := r.Fleet.ModelServer(server); model != nil {
		model.SetFaultOdds(odds)
		return
	}
	r.Fleet.WebServer(server).SetFaultOdds(odds)
}
