package faultcase

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

// RollingUpgrade is the case that replaces the previous build by the new one, one
// process after another, and then rolls back. It is not one of Cases because it
// needs a second binary.
var RollingUpgrade = Case{
	Name:      "roll",
	Group:     8,
	Help:      "rolling upgrade from a previous build and rollback to it, with an order after each restart; needs --older",
	Seconds:   40,
	Configure: startOnPreviousBinary,
	Run:       rollingUpgrade,
}

// Limits of one step of a rolling upgrade or rollback.
const (
	gracefulStopTimeout = 15 * time.Second
	restartTimeout      = 20 * time.Second
	orderTimeout        = 15 * time.Second
	inForceTimeout      = 10 * time.Second
)

// stepTenantPrefix begins the names of the tenants that the orders of a rolling
// upgrade add. Each order adds one and none is removed, so the number of these
// tenants in a sheet is the number of orders in force.
const stepTenantPrefix = "rollstep"

// stepTenantRate is the allowance of each of these tenants in tokens per second.
const stepTenantRate = 10

// rollingPhase is the direction in which processes are replaced.
type rollingPhase string

// Phases of the case, in the order in which they run.
const (
	phaseUpgrade  rollingPhase = "rollingUpgrade"
	phaseRollback rollingPhase = "rollback"
)

// rollingStep replaces the binary of one node.
type rollingStep struct {
	phase  rollingPhase
	node   *fleet.Node
	binary string
}

// RollingStepResult is the state of the fleet after one step.
type RollingStepResult struct {
	Phase string `json:"phase"`
	Node  string `json:"node"`
	// NodesOnNewBinary is the number of nodes whose process executes the new binary.
	NodesOnNewBinary int `json:"nodes_on_new_binary"`
	// OrdersInForce is the minimum over all nodes of the number of the case's orders in
	// the sheet read through the node.
	OrdersInForce int `json:"orders_in_force"`
	// NodesInForce is the number of nodes that accepted the key of this step's order.
	NodesInForce int `json:"nodes_in_force"`
	// Milliseconds is the duration of the step, excluding the pause after it.
	Milliseconds int64 `json:"milliseconds"`
}

// RollingSummary is the result of a rolling upgrade and rollback.
type RollingSummary struct {
	Planned       int                 `json:"planned"`
	Upgraded      int                 `json:"upgraded"`
	RolledBack    int                 `json:"rolled_back"`
	BrokenStreams int                 `json:"cut_streams"`
	Steps         []RollingStepResult `json:"steps"`
}

// CheckPreviousBinary returns an error if one of the cases needs a previous
// binary and path is not an executable regular file.
func CheckPreviousBinary(cases []Case, path string) error {
	for _, selected := range cases {
		if selected.Name != RollingUpgrade.Name {
			continue
		}
		if path == "" {
			return errors.Errorf("case %q needs the binary of a previous build: --older PATH", selected.Name)
		}
		info, err := os.Stat(path)
		if err != nil {
			return errors.Wrap(err, "--older")
		}
		if !info.Mode().IsRegular() || info.Mode().Perm()&0o111 == 0 {
			return errors.Errorf("--older: %s is not an executable file", path)
		}
	}
	return nil
}

// snapshotRecords is the number of log records between snapshots. It is small enough
// that each build has to read snapshots written by the other.
const snapshotRecords = "8"

// startOnPreviousBinary makes every node start on the previous binary.
func startOnPreviousBinary(o *Options) {
	o.Spec.Settings = map[string]string{"snapshot.records": snapshotRecords}
	for i := range o.Spec.Nodes {
		o.Spec.Nodes[i].Binary = o.PreviousBinary
	}
}

// rollingSteps returns the steps of the upgrade and of the rollback. Both
// replace the fronts before the cores, so that new fronts work with previous
// cores in the first phase, and previous fronts with new cores in the second.
func rollingSteps(nodes []*fleet.Node, newBinary, previousBinary string) []rollingStep {
	var fronts, cores []*fleet.Node
	for _, node := range nodes {
		if node.Core {
			cores = append(cores, node)
		} else {
			fronts = append(fronts, node)
		}
	}
	ordered := append(fronts, cores...)
	var steps []rollingStep
	for _, node := range ordered {
		steps = append(steps, rollingStep{phaseUpgrade, node, newBinary})
	}
	for _, node := range ordered {
		steps = append(steps, rollingStep{phaseRollback, node, previousBinary})
	}
	return steps
}

// rollingUpgrade runs all steps, spread evenly over the length of the case. It takes
// longer if the steps themselves do.
func rollingUpgrade(r *Run) error {
	start := r.Recorder.Now()
	steps := rollingSteps(r.Fleet.Nodes, r.Binary, r.PreviousBinary)
	summary := &RollingSummary{Planned: len(steps)}
	r.Rolling = summary
	stored, err := newStoredDataCheck(r.Fleet.Nodes)
	if err != nil {
		return err
	}
	interval := time.Duration(r.Seconds) * time.Second / time.Duration(len(steps))
	for i, step := range steps {
		if err := r.runRollingStep(i, step, stored, summary); err != nil {
			return errors.Wrapf(err, "step %d of %d, %s of %s", i+1, len(steps), step.phase, step.node.Name)
		}
		next := start + time.Duration(i+1)*interval
		if pause := next - r.Recorder.Now(); pause > 0 && !r.Wait(pause) {
			return nil
		}
	}
	if err := r.readBack(restartTimeout); err != nil {
		return err
	}
	for _, node := range r.Fleet.Nodes {
		if err := stored.checkNode(node); err != nil {
			return err
		}
	}
	recording := r.Recorder.Snapshot()
	summary.BrokenStreams = brokenStreams(&recording)
	if summary.BrokenStreams > 0 {
		return errors.Errorf("%d streams were broken although every node exited cleanly", summary.BrokenStreams)
	}
	return nil
}

// runRollingStep restarts one node on the binary of the step, submits an order and
// waits until it is in force at every node.
func (r *Run) runRollingStep(index int, step rollingStep, stored *storedDataCheck, summary *RollingSummary) error {
	start := r.Recorder.Now()
	r.Recorder.AddAction(fmt.Sprintf("%s %s", step.phase, step.node.Name), false)
	step.node.UseBinary(step.binary)
	if err := restartGracefully(step.node); err != nil {
		return err
	}
	if !r.awaitNewestSheet(step.node, restartTimeout) {
		return errors.Errorf("%s did not serve the newest sheet within %s of its restart", step.node.Name, restartTimeout)
	}
	if step.phase == phaseUpgrade {
		summary.Upgraded++
	} else {
		summary.RolledBack++
	}
	if err := r.submitStepOrder(index); err != nil {
		return err
	}
	if err := stored.checkNode(step.node); err != nil {
		return err
	}
	result := RollingStepResult{Phase: string(step.phase), Node: step.node.Name}
	result.NodesOnNewBinary = r.nodesOn(r.Binary)
	result.NodesInForce = r.nodesInForce()
	result.OrdersInForce = r.stepOrdersInForce(index+1, inForceTimeout)
	result.Milliseconds = (r.Recorder.Now() - start).Milliseconds()
	summary.Steps = append(summary.Steps, result)
	if want := summary.Upgraded - summary.RolledBack; result.NodesOnNewBinary != want || r.nodesOn(r.PreviousBinary) != len(r.Fleet.Nodes)-want {
		return errors.Errorf("%d nodes execute the new binary, want %d", result.NodesOnNewBinary, want)
	}
	if result.NodesInForce != len(r.Fleet.Nodes) {
		return errors.Errorf("the order is in force at %d of %d nodes", result.NodesInForce, len(r.Fleet.Nodes))
	}
	if result.OrdersInForce != index+1 {
		return errors.Errorf("%d of %d orders are in force at every node", result.OrdersInForce, index+1)
	}
	return nil
}

// submitStepOrder submits the order of a step, which adds one tenant, and waits
// for its acknowledgement.
func (r *Run) submitStepOrder(index int) error {
	_, base := r.Operators.NewestKey()
	name := fmt.Sprintf("%s%d", stepTenantPrefix, index)
	tenant := loadgen.SheetTenant{
		Rate: stepTenantRate,
		Keys: []string{fleet.HashKey("key-of-" + name)},
	}
	order := r.Operators.Patch(firstOperator, base, loadgen.Change{Path: "tenants." + name, Value: tenant})
	if acknowledged, _ := r.submit(order, uint64(index), orderTimeout); !acknowledged {
		return errors.Errorf("the order was not acknowledged within %s", orderTimeout)
	}
	return nil
}

// nodesOn returns the number of nodes whose process executes a binary.
func (r *Run) nodesOn(binary string) int {
	count := 0
	for _, node := range r.Fleet.Nodes {
		if node.RunsBinary(binary) {
			count++
		}
	}
	return count
}

// nodesInForce returns the number of nodes at which the newest order is in force.
func (r *Run) nodesInForce() int {
	_, newest := r.Operators.NewestKey()
	count := 0
	for _, version := range r.NodeVersions(inForceTimeout) {
		if version == newest {
			count++
		}
	}
	return count
}

// stepOrdersInForce reads the sheet through every node until it has the wanted number
// of step orders at each or the timeout has passed. It returns the smallest number
// found at any node, which is zero if the sheet can't be read through a node.
func (r *Run) stepOrdersInForce(want int, timeout time.Duration) int {
	deadline := r.Recorder.Now() + timeout
	smallest := want
	for _, node := range r.Fleet.Nodes {
		shown := r.stepOrdersAt(node)
		for shown != want && r.Recorder.Now() < deadline && r.Wait(pollInterval) {
			shown = r.stepOrdersAt(node)
		}
		smallest = min(smallest, shown)
	}
	return smallest
}

// stepOrdersAt returns the number of step orders in the sheet read through a node.
func (r *Run) stepOrdersAt(node *fleet.Node) int {
	_, sheet := r.Operators.ReadSheet(node, false)
	count := 0
	for i := range 2 * len(r.Fleet.Nodes) {
		if _, present := sheet.Tenants[fmt.Sprintf("%s%d", stepTenantPrefix, i)]; present {
			count++
		}
	}
	return count
}

// brokenStreams returns the number of streams that ended before their final event
// although the caller had not disconnected.
func brokenStreams(recording *history.Recording) int {
	count := 0
	for _, attempt := range recording.Attempts {
		ended := attempt.Outcome == history.Served || attempt.Outcome == history.Abandoned
		if len(attempt.Events) > 0 && !ended {
			count++
		}
	}
	return count
}
