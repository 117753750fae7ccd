package replica

import (
	"time"

	"stepwick/internal/events"
)

// slowSyncAfter is how long an append waits for its sync before the disk is
// reported as slow.
const slowSyncAfter = 500 * time.Millisecond

// diskStatus is what the owner knows of the room and speed of its disk.
type diskStatus struct {
	full         bool // there is no room for an ordinary record
	learnBlocked bool // there was no room for a value that is chosen
	lastAppend   time.Time
	slowReported bool
}

// exhausted reports whether the core must refuse to vote.
func (d diskStatus) exhausted() bool { return d.full || d.learnBlocked }

// updateSpace takes in whether the log is full, and publishes a change.
func (o *owner) updateSpace(learnBlocked bool) {
	before := o.disk.exhausted()
	o.disk.full = o.log.Full()
	o.disk.learnBlocked = learnBlocked
	exhausted := o.disk.exhausted()
	if exhausted == before {
		return
	}
	if exhausted {
		o.replica.events.Emit(events.DiskFull, "core", o.replica.cfg.Self)
	} else {
		o.replica.events.Emit(events.DiskSpaceRegained, "core", o.replica.cfg.Self)
	}
	o.publishStanding()
}

// checkDisk is called at each poll interval.
func (o *owner) checkDisk() {
	o.updateSpace(o.disk.learnBlocked)
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
