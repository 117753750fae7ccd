package faultcase

import (
	"context"
	"fmt"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
)

const (
	maxActiveFaults         = 3
	randomChangeInterval    = 400 * time.Millisecond
	minRandomFaultSeconds   = 10
	afterRandomFaultSeconds = 22 // of the case, for repair, reading back and the final fault
	randomOrderTimeout      = 10 * time.Second
	randomReadBackTimeout   = 15 * time.Second
)

// Mix is the case whose faults are drawn from the seed.
var Mix = Case{
	Name:    "mix",
	Help:    "faults drawn from the seed, up to three at once and possibly the same twice, then a final fault",
	Seconds: 40,
	Run:     injectRandomFaults,
}

// randomFault is a fault that the case mix may draw.
type randomFault struct {
	name   string
	inject func(r *Run) (repair func() error)
}

// randomFaults lists the faults that the case mix draws from. A seed selects them by
// index, so a change of the order changes the runs of all seeds.
var randomFaults = []randomFault{
	{"kill a front", func(r *Run) func() error { return killNode(r.randomFront()) }},
	{"kill a core", func(r *Run) func() error { return killNode(r.randomCore()) }},
	{"kill two nodes at once", (*Run).killTwoNodes},
	{"stop and restart a node", (*Run).stopNode},
	{"freeze a node", (*Run).freezeNode},
	{"isolate a node", func(r *Run) func() error { return r.isolateUntilRepair(r.randomNode()) }},
	{"split the cores", func(r *Run) func() error { return r.isolateUntilRepair(r.randomCore(), r.randomFront()) }},
	{"crash a model server", (*Run).crashRandomModelServer},
	{"a model server goes dark", (*Run).makeModelServerUnresponsive},
	{"drain a model server", (*Run).drainModelServer},
	{"faulty streams", (*Run).makeStreamsFaulty},
	{"faulty web servers", (*Run).makeWebServersFaulty},
	{"one tenant asks sixfold", (*Run).exceedOneQuota},
	{"callers move to one zone", (*Run).moveCallers},
	{"evacuate a zone", (*Run).evacuateRandomZone},
	{"wipe a core's disk", (*Run).wipeCore},
}

// withoutError adapts a function that can't fail.
func withoutError(repair func()) func() error {
	return func() error {
		repair()
		return nil
	}
}

func killNode(node *fleet.Node) func() error {
	node.Kill()
	return node.Start
}

func (r *Run) killTwoNodes() func() error {
	first := r.randomNode()
	second := r.randomFront()
	killAll([]*fleet.Node{first, second})
	return func() error { return startAll(first, second) }
}

func (r *Run) stopNode() func() error {
	node := r.randomNode()
	node.Terminate(uncheckedStopTimeout)
	return node.Start
}

func (r *Run) freezeNode() func() error {
	node := r.randomNode()
	node.Freeze()
	return withoutError(node.Thaw)
}

func (r *Run) isolateUntilRepair(nodes ...*fleet.Node) func() error {
	var names []string
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	r.isolate(names...)
	return withoutError(r.Heal)
}

func (r *Run) crashRandomModelServer() func() error {
	name := r.randomModelServer().Name
	r.Fleet.CrashModelServer(name)
	return func() error { return r.Fleet.RestartModelServer(name) }
}

func (r *Run) makeModelServerUnresponsive() func() error {
	server := r.randomModelServer()
	r.Recorder.AddAction("dark "+server.Name, false)
	server.SetUnresponsive(true)
	return withoutError(func() { server.SetUnresponsive(false) })
}

func (r *Run) drainModelServer() func() error {
	name := r.randomModelServer().Name
	r.Fleet.Platform.SetState(name, stateDraining, 0)
	return withoutError(func() { r.Fleet.Platform.SetState(name, stateReady, 0) })
}

func (r *Run) makeStreamsFaulty() func() error {
	r.setModelFaults(emulator.FaultOdds{
		emulator.EarlyEnd:        .02,
		emulator.DroppedEvent:    .02,
		emulator.DuplicatedEvent: .02,
		emulator.CrossedEvent:    .02,
		emulator.WrongID:         .01,
		emulator.AbortedStream:   .03,
		emulator.Busy:            .03,
	})
	return withoutError(func() { r.setModelFaults(nil) })
}

func (r *Run) makeWebServersFaulty() func() error {
	r.setWebFaults(emulator.FaultOdds{
		emulator.ResetBeforeRead: .03,
		emulator.ResetBeforeRun:  .03,
		emulator.ResetAfterRun:   .05,
		emulator.TruncatedBody:   .02,
		emulator.WrongID:         .02,
		emulator.CrossedBody:     .02,
		emulator.SlowAnswer:      .05,
	})
	return withoutError(func() { r.setWebFaults(nil) })
}

func (r *Run) exceedOneQuota() func() error {
	r.Callers.SetLoadFactor(mostExcessiveTenant, 6)
	return withoutError(func() { r.Callers.SetLoadFactor(mostExcessiveTenant, 1) })
}

func (r *Run) moveCallers() func() error {
	r.Callers.SetZoneShares(map[string]float64{r.randomNode().ZoneName(): 1})
	return withoutError(func() { r.Callers.SetZoneShares(nil) })
}

func (r *Run) evacuateRandomZone() func() error {
	zone := []string{"lagos/a", "lagos/b"}[r.Random.IntN(2)]
	r.submit(r.Operators.Evacuate(firstOperator, zone), r.Random.Uint64()%9, randomOrderTimeout)
	return withoutError(func() {
		r.submit(r.Operators.Restore(secondOperator, zone), r.Random.Uint64()%9, randomOrderTimeout)
	})
}

func (r *Run) wipeCore() func() error {
	core := r.randomCore()
	core.Kill()
	if err := core.Wipe(); err != nil {
		return func() error { return err }
	}
	return core.Start
}

// activeFault is a fault that has not been repaired.
type activeFault struct {
	name       string
	repairTime time.Duration
	repair     func() error
}

// injectRandomFaults injects faults drawn from the seed, up to maxActiveFaults at a
// time and possibly the same one twice, while operators submit changes. It then
// repairs all faults, reads the sheet back and injects a final fault.
func injectRandomFaults(r *Run) error {
	start := r.Recorder.Now()
	stopChanges := r.runInBackground(func(ctx context.Context) { r.submitChanges(ctx, randomChangeInterval, nil) })
	if err := r.runRandomFaults(start); err != nil {
		return err
	}
	r.Wait(4 * time.Second)
	stopChanges()
	if err := r.readBack(randomReadBackTimeout); err != nil {
		return err
	}
	r.Wait(2 * time.Second)
	r.killHalf()
	r.recordFinalFault("four of nine nodes killed at the end of the mix")
	return nil
}

// runRandomFaults injects and repairs random faults, and repairs the remaining ones at
// the end.
func (r *Run) runRandomFaults(start time.Duration) error {
	var active []activeFault
	var err error
	length := max(minRandomFaultSeconds, r.Seconds-afterRandomFaultSeconds)
	end := start + time.Duration(length)*time.Second
	for r.Recorder.Now() < end && r.ctx.Err() == nil {
		if len(active) < maxActiveFaults {
			active = append(active, r.injectRandomFault())
		}
		r.Wait(seconds(0.2 + r.Random.Float64()*2))
		if active, err = r.repairDue(active); err != nil {
			return err
		}
	}
	return r.repairAll(active)
}

func (r *Run) injectRandomFault() activeFault {
	fault := randomFaults[r.Random.IntN(len(randomFaults))]
	r.Recorder.AddAction("trouble: "+fault.name, false)
	repair := fault.inject(r)
	return activeFault{
		name:       fault.name,
		repairTime: r.Recorder.Now() + seconds(1+r.Random.Float64()*6),
		repair:     repair,
	}
}

// repairDue repairs the faults whose repair time has come and returns the others.
func (r *Run) repairDue(active []activeFault) (remaining []activeFault, err error) {
	for _, fault := range active {
		if r.Recorder.Now() < fault.repairTime {
			remaining = append(remaining, fault)
			continue
		}
		if failure := r.repairAll([]activeFault{fault}); failure != nil {
			err = failure
		}
	}
	return remaining, err
}

// repairAll repairs all faults and returns the last error.
func (r *Run) repairAll(active []activeFault) error {
	var err error
	for _, fault := range active {
		r.Recorder.AddAction("mend: "+fault.name, false)
		if failure := fault.repair(); failure != nil {
			err = fmt.Errorf("repair fault %q: %w", fault.name, failure)
		}
	}
	return err
}
