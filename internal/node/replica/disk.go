package replica

import (
	"time"

	"stepwick/internal/events"
)

// slowSyncAfter is the time after which an unsynced append causes the disk to be
// reported as slow.
const slowSyncAfter = 500 * time.Millisecond

// diskStatus describes the free space and speed of the disk.
type diskStatus struct {
	full         bool // no space for ordinary records
	learnBlocked bool // a chosen value could not be appended for lack of space
	lastAppend   time.Time
	slowReported bool
}

// exhausted reports whether the core must refuse to vote.
func (d diskStatus) exhausted() bool { return d.full || d.learnBlocked }

// updateDiskSpace updates the disk status and publishes the core's standing if the
// disk has become full or has space again.
func (o *owner) updateDiskSpace(learnBlocked bool) {
	wasExhausted := o.disk.exhausted()
	o.disk.full = o.log.Full()
	o.disk.learnBlocked = learnBlocked
	exhausted := o.disk.exhausted()
	if exhausted == wasExhausted {
		return
	}
	if exhausted {
		o.replica.events.Emit(events.DiskFull, "core", o.replica.cfg.Self)
	} else {
		o.replica.events.Emit(events.DiskSpaceRegained, "core", o.replica.cfg.Self)
	}
	o.publishStanding()
}

// checkDisk updates the disk status, starts a compaction if the disk is full, and
// reports slow syncs. It is called once per poll interval.
func (o *owner) checkDisk() {
	o.updateDiskSpace(o.disk.learnBlocked)
	if o.disk.exhausted() {
		o.startCompaction()
	}
	if o.disk.slowReported || o.log.LastIndex() <= o.syncs.synced {
		return
	}
	if o.replica.clock.Now().Sub(o.disk.lastAppend) > slowSyncAfter {
		o.disk.slowReported = true
		o.replica.events.Emit(events.DiskSlow, "core", o.replica.cfg.Self, "waiting", o.log.LastIndex()-o.syncs.synced)
	}
}
