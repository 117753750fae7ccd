package faultcase

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
)

const (
	diskChangeInterval = 20 * time.Millisecond
	recoveryTimeout    = 20 * time.Second
	afterRecovery      = 2 * time.Second // after a core has recovered

	// largeChangeEvery is how many changes there are for each that adds many
	// tenants, and tenantsPerLargeChange how many it adds.
	largeChangeEvery      = 4
	tenantsPerLargeChange = 60
	maxExtraTenants       = 900
)

// ordersWipe wipes the disk of one core after another, each right after an
// acknowledged order.
func ordersWipe(r *Run) error {
	start := r.Recorder.Now()
	_, base := r.Operators.NewestKey()
	for round := uint64(0); r.hasTimeLeft(start); round++ {
		acknowledged, version := r.submit(r.Operators.Change(firstOperator, base), round, orderTimeout)
		if !acknowledged {
			return errors.Errorf("round %d: the order was not accepted within 15 s", round)
		}
		base = version
		cores := r.Fleet.Cores()
		core := cores[round%uint64(len(cores))]
		if err := r.wipeAndRestart(core); err != nil {
			return err
		}
		if !r.isRecovered(core) {
			return errors.Errorf("round %d: %s was not repaired within 20 s", round, core.Name)
		}
		r.readThroughAll(false)
	}
	return r.readBack(readBackTimeout)
}

func (r *Run) wipeAndRestart(core *fleet.Node) error {
	core.Kill()
	if err := core.Wipe(); err != nil {
		return err
	}
	r.Wait(seconds(r.Random.Float64()))
	return core.Start()
}

// isRecovered waits until a restarted core uses the newest sheet, and a little
// longer.
func (r *Run) isRecovered(core *fleet.Node) bool {
	return r.servesNewestSheet(core, recoveryTimeout) && r.Wait(afterRecovery)
}

// limitOneDisk gives the first core a small disk.
func limitOneDisk(options *Options) {
	options.setNodeSettings("core1", map[string]string{
		"disk.quota":   "256KiB",
		"disk.segment": "64KiB",
	})
}

// submitLargeChanges submits changes that fill a small disk.
func (r *Run) submitLargeChanges(ctx context.Context) {
	r.submitChanges(ctx, diskChangeInterval, manyTenants)
}

// ordersDisk lets core1 fill its disk, then gives it space and slows core2's disk.
// Two cores with good disks are left at each time, so orders must go on.
func ordersDisk(r *Run) error {
	endChanges := r.runBeside(r.submitLargeChanges)
	defer endChanges()
	cores := r.Fleet.Cores()
	r.Wait(14 * time.Second)
	if err := r.checkAcknowledged("core1's disk was full", 5*time.Second); err != nil {
		return err
	}
	if err := restartTornWith(cores[0], "disk.quota", ""); err != nil {
		return err
	}
	r.Wait(4 * time.Second)
	if err := restartTornWith(cores[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	r.Wait(14 * time.Second)
	if err := r.checkAcknowledged("core2's disk was slow", 8*time.Second); err != nil {
		return err
	}
	endChanges()
	return r.readBack(readBackTimeout)
}

// ordersDisks has one disk full and one slow at once.
func ordersDisks(r *Run) error {
	endChanges := r.runBeside(r.submitLargeChanges)
	defer endChanges()
	r.Wait(12 * time.Second)
	if err := restartTornWith(r.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	r.Wait(26 * time.Second)
	if err := r.checkAcknowledged("core1's disk was full and core2's slow", 20*time.Second); err != nil {
		return err
	}
	endChanges()
	return r.readBack(readBackTimeout)
}

// restartTornWith kills a core, tears its log and starts it with a changed setting.
func restartTornWith(core *fleet.Node, setting, value string) error {
	core.Kill()
	core.SetSetting(setting, value)
	if err := core.TearLog(); err != nil {
		return err
	}
	return core.Start()
}

// manyTenants returns the further changes of a numbered order: some orders add
// many tenants.
func manyTenants(number uint64) []loadgen.Change {
	if number%largeChangeEvery != 0 {
		return nil
	}
	var changes []loadgen.Change
	for index := range tenantsPerLargeChange {
		tenant := (number*tenantsPerLargeChange + uint64(index)) % maxExtraTenants
		changes = append(changes, loadgen.Change{
			Path: fmt.Sprintf("tenants.extra%d", tenant),
			Value: loadgen.SheetTenant{
				Rate: float64(10 + number),
				Keys: []string{fleet.HashKey(fmt.Sprint("x", number, index))},
			},
		})
	}
	return changes
}
