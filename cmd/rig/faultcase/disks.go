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
	pauseAfterRecovery = 2 * time.Second // until the sheet is read and the next core is wiped

	changesPerLargeChange = 4 // changes for each one that adds many tenants
	tenantsPerLargeChange = 60
	maxExtraTenants       = 900 // different names; later changes overwrite them
)

// ordersWipe wipes the disks of the cores in turn, each immediately after an
// acknowledged order.
func ordersWipe(r *Run) error {
	start := r.Recorder.Now()
	_, base := r.Operators.NewestKey()
	for round := uint64(0); r.hasTimeLeft(start); round++ {
		acknowledged, version := r.submit(r.Operators.Patch(firstOperator, base), round, orderTimeout)
		if !acknowledged {
			return errors.Errorf("round %d: the order was not acknowledged within %s", round, orderTimeout)
		}
		base = version
		cores := r.Fleet.Cores()
		core := cores[round%uint64(len(cores))]
		if err := r.wipeAndRestart(core); err != nil {
			return err
		}
		if !r.awaitRecovery(core) {
			return errors.Errorf("round %d: %s did not serve the newest sheet within %s of its restart on a wiped disk", round, core.Name, recoveryTimeout)
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

// awaitRecovery waits until a restarted core serves by the newest sheet, and then for
// pauseAfterRecovery.
func (r *Run) awaitRecovery(core *fleet.Node) bool {
	return r.awaitNewestSheet(core, recoveryTimeout) && r.Wait(pauseAfterRecovery)
}

// limitDiskOfCore1 gives core1 a disk quota that the large changes soon exhaust.
func limitDiskOfCore1(options *Options) {
	options.setNodeSettings("core1", map[string]string{
		"disk.quota":   "256KiB",
		"disk.segment": "64KiB",
	})
}

// submitLargeChanges submits changes that fill a disk limited by limitDiskOfCore1.
func (r *Run) submitLargeChanges(ctx context.Context) {
	r.submitChanges(ctx, diskChangeInterval, extraTenantChanges)
}

// ordersDisk fills the disk of core1, then lifts its quota and slows down the disk of
// core2. Two cores have working disks at any time, so orders must still be
// acknowledged.
func ordersDisk(r *Run) error {
	stopChanges := r.runInBackground(r.submitLargeChanges)
	defer stopChanges()
	cores := r.Fleet.Cores()
	r.Wait(14 * time.Second)
	if err := r.checkAcknowledged("core1's disk was full", 5*time.Second); err != nil {
		return err
	}
	if err := restartWithTornLog(cores[0], "disk.quota", ""); err != nil {
		return err
	}
	r.Wait(4 * time.Second)
	if err := restartWithTornLog(cores[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	r.Wait(14 * time.Second)
	if err := r.checkAcknowledged("core2's disk was slow", 8*time.Second); err != nil {
		return err
	}
	stopChanges()
	return r.readBack(readBackTimeout)
}

// ordersDisks fills the disk of core1 while the disk of core2 is slow.
func ordersDisks(r *Run) error {
	stopChanges := r.runInBackground(r.submitLargeChanges)
	defer stopChanges()
	r.Wait(12 * time.Second)
	if err := restartWithTornLog(r.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	r.Wait(26 * time.Second)
	if err := r.checkAcknowledged("core1's disk was full and core2's slow", 20*time.Second); err != nil {
		return err
	}
	stopChanges()
	return r.readBack(readBackTimeout)
}

// restartWithTornLog kills a core, appends a torn record to its log and restarts it
// with a changed setting.
func restartWithTornLog(core *fleet.Node, setting, value string) error {
	core.Kill()
	core.SetSetting(setting, value)
	if err := core.TearLog(); err != nil {
		return err
	}
	return core.Start()
}

// extraTenantChanges returns the extra changes of the order of a number: every fourth order
// adds many tenants.
func extraTenantChanges(number uint64) []loadgen.Change {
	if number%changesPerLargeChange != 0 {
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
