package paxos

import (
	"bytes"
	"encoding/binary"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// core is one process and its disk. The state in memory includes records that are not
// synced yet. A crash preserves base, the first syncedRecords records of log and
// possibly some records after these.
type core struct {
	sim                 *simulation
	index               int
	running             bool
	processIncarnation  int
	base                paxos.State
	log                 []paxos.Record
	syncedRecords       int
	state               paxos.State
	syncWaiters         []syncWaiter // by position, ascending
	extraSyncMS         int64        // additional duration of a sync
	proposalCount       int
	currentProposal     int    // number of the current proposal; 0 if there is none
	highestBallotNumber uint64 // highest ballot number that an answer reported
	recovering          bool
	recoveryAttempt     int // number of recovery attempts; answers to an earlier attempt are ignored
}

// syncWaiter is an action to run once the log is synced up to a position.
type syncWaiter struct {
	position int
	action   func()
}

// voters returns the cores that this core calls. A detached process calls itself in
// place of the one that replaced it.
func (c *core) voters() []*core {
	all := slices.Clone(c.sim.cores)
	all[c.index] = c
	return all
}

// durableState returns the state of the synced records.
func (c *core) durableState() paxos.State {
	state := c.base
	for _, record := range c.log[:c.syncedRecords] {
		state = record.Apply(state)
	}
	return state
}

// start starts a process with the state on its disk.
func (s *simulation) start(c *core) {
	if c.base.Self == "" {
		c.base = paxos.BlankState(s.coreNames[c.index])
	}
	c.running = true
	c.state = c.base
	for _, record := range c.log {
		decoded, err := paxos.DecodeRecord(paxos.EncodeRecord(record))
		if err != nil {
			s.recordViolation("decode an encoded record: %v", err)
			return
		}
		c.state = decoded.Apply(c.state)
	}
	c.syncedRecords = len(c.log)
	c.syncWaiters = nil
	c.currentProposal = 0
	c.recovering = false
	c.highestBallotNumber = 0
	c.extraSyncMS = 0
	if s.faults.Flaw == VoteWithoutRecovery && c.state.Formation == "" && len(s.chosen) > 0 {
		other := s.cores[(c.index+1)%len(s.cores)].state
		joined := paxos.FormationJoined{Formation: other.Formation, Voters: s.coreNames}.Apply(c.state)
		c.base = paxos.RecoveryCompleted{Incarnations: other.Incarnations}.Apply(joined)
		c.state = c.base
	}
	c.tick(c.processIncarnation)
}

// tick runs the periodic work of one process incarnation and schedules the next tick.
func (c *core) tick(incarnation int) {
	if c.processIncarnation != incarnation || !c.running {
		return
	}
	switch c.state.Standing() {
	case wire.Standing_STANDING_BLANK:
		c.joinOrFoundFormation()
	case wire.Standing_STANDING_AMNESIAC:
		c.recoverState()
	default:
		c.catchUp()
		if c.currentProposal == 0 {
			c.propose()
		}
	}
	c.sim.scheduleAfter(c.sim.randomBetween(40, 160), func() { c.tick(incarnation) })
}

// appendRecords appends records to the log, applies them and schedules a sync. It may
// compact the state.
func (c *core) appendRecords(records []paxos.Record) {
	if len(records) == 0 {
		return
	}
	before := c.state
	for _, record := range records {
		c.log = append(c.log, record)
		c.state = record.Apply(c.state)
	}
	c.checkLearned(before)
	incarnation := c.processIncarnation
	c.sim.scheduleAfter(c.sim.randomBetween(1, 8)+c.extraSyncMS, func() {
		if c.processIncarnation == incarnation {
			c.sync()
		}
	})
	if len(c.state.Chosen) > compactionSlots && c.state.Incarnation() != 0 {
		snapshotSlot := c.state.SnapshotSlot + uint64(c.sim.random.IntN(len(c.state.Chosen))) + 1
		c.sim.outcome.Snapshots++
		c.state = c.state.Compacted(snapshotSlot, binary.LittleEndian.AppendUint64(nil, c.sim.digest(snapshotSlot)))
	}
}

// loseDisk replaces the disk with a blank one.
func (c *core) loseDisk() {
	c.base = paxos.BlankState(c.state.Self)
	c.log = nil
	c.syncedRecords = 0
}

// sync makes the log durable, runs the actions that wait for it and compacts a long
// log.
func (c *core) sync() {
	c.syncedRecords = len(c.log)
	for len(c.syncWaiters) > 0 && c.syncWaiters[0].position <= c.syncedRecords {
		action := c.syncWaiters[0].action
		c.syncWaiters = c.syncWaiters[1:]
		action()
	}
	if c.syncedRecords > compactionRecords && c.syncWaiters == nil || c.syncedRecords > busyCompactionRecords {
		compacted, err := paxos.DecodeState(c.state.Encode())
		if err != nil {
			c.sim.recordViolation("decode an encoded state: %v", err)
		}
		if c.state.Incarnation() != 0 && len(c.syncWaiters) == 0 {
			c.base = compacted
			c.log = nil
			c.syncedRecords = 0
		}
	}
}

// whenSynced runs an action once all records now in the log are synced.
func (c *core) whenSynced(action func()) {
	if len(c.log) <= c.syncedRecords {
		action()
		return
	}
	c.syncWaiters = append(c.syncWaiters, syncWaiter{position: len(c.log), action: action})
}

// checkLearned checks the snapshot and the values that the core has learned since the
// given state.
func (c *core) checkLearned(before paxos.State) {
	if c.state.SnapshotSlot > before.HighestLearnedSlot() {
		snapshotSlot := c.state.SnapshotSlot
		if snapshotSlot > uint64(len(c.sim.digests)) || !bytes.Equal(c.state.Snapshot, binary.LittleEndian.AppendUint64(nil, c.sim.digest(snapshotSlot))) {
			c.sim.recordViolation("%s installed a snapshot at slot %d that differs from the agreed state", c.state.Self, snapshotSlot)
		}
	}
	for _, chosen := range c.state.Chosen {
		if chosen.Epoch > before.HighestLearnedSlot() {
			c.sim.checkChosen(c.state.Self, chosen.Epoch, chosen.Command)
		}
	}
}
