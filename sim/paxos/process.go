package paxos

import (
	"bytes"
	"encoding/binary"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// core is one process. Its state runs ahead of its disk: base and the first
// synced records of log are what a crash leaves, and perhaps some more.
type core struct {
	sim                *sim
	index              int
	up                 bool
	processIncarnation int
	base               paxos.State
	log                []paxos.Record
	synced             int
	state              paxos.State
	waiting            []syncWaiter // in the order of the log
	slow               int64        // extra time of a sync, ms
	proposals          int
	proposing          int    // number of the current proposal, 0 is none
	highestNumber      uint64 // highest ballot number that an answer named
	recovering         bool
	recoveryAttempt    int // of recovery; answers to an earlier one are ignored
}

// syncWaiter is an action that waits until the log is synced up to a position.
type syncWaiter struct {
	position int
	action   func()
}

// voters returns the cores that a core calls: itself under its own name.
func (c *core) voters() []*core {
	all := slices.Clone(c.sim.cores)
	all[c.index] = c
	return all
}

// durable returns the state that a crash leaves.
func (c *core) durable() paxos.State {
	state := c.base
	for _, record := range c.log[:c.synced] {
		state = record.Apply(state)
	}
	return state
}

// boot starts a process from its disk.
func (s *sim) boot(c *core) {
	if c.base.Self == "" {
		c.base = paxos.BlankState(s.names[c.index])
	}
	c.up = true
	c.state = c.base
	for _, record := range c.log {
		decoded, err := paxos.DecodeRecord(paxos.EncodeRecord(record))
		if err != nil {
			s.violate("a record can't be read back: %v", err)
			return
		}
		c.state = decoded.Apply(c.state)
	}
	c.synced = len(c.log)
	c.waiting = nil
	c.proposing = 0
	c.recovering = false
	c.highestNumber = 0
	c.slow = 0
	if s.faults.Flaw == VoteWithoutRecovery && c.state.Formation == "" && len(s.chosen) > 0 {
		other := s.cores[(c.index+1)%len(s.cores)].state
		joined := paxos.FormationJoined{Formation: other.Formation, Voters: s.names}.Apply(c.state)
		c.base = paxos.RecoveryCompleted{Incarnations: other.Incarnations}.Apply(joined)
		c.state = c.base
	}
	c.tick(c.processIncarnation)
}

// tick is the periodic work of one incarnation.
func (c *core) tick(incarnation int) {
	if c.processIncarnation != incarnation || !c.up {
		return
	}
	switch c.state.Standing() {
	case wire.Standing_STANDING_BLANK:
		c.joinOrFoundFormation()
	case wire.Standing_STANDING_AMNESIAC:
		c.recoverState()
	default:
		c.catchUp()
		if c.proposing == 0 {
			c.propose()
		}
	}
	c.sim.after(c.sim.between(40, 160), func() { c.tick(incarnation) })
}

// commit appends records and applies them; a sync follows.
func (c *core) commit(records []paxos.Record) {
	if len(records) == 0 {
		return
	}
	before := c.state
	for _, record := range records {
		c.log = append(c.log, record)
		c.state = record.Apply(c.state)
	}
	c.check(before)
	incarnation := c.processIncarnation
	c.sim.after(c.sim.between(1, 8)+c.slow, func() {
		if c.processIncarnation == incarnation {
			c.sync()
		}
	})
	if len(c.state.Chosen) > compactEvery && c.state.Incarnation() != 0 {
		version := c.state.SnapshotSlot + uint64(c.sim.random.IntN(len(c.state.Chosen))) + 1
		c.sim.outcome.Snapshots++
		c.state = c.state.Compacted(version, binary.LittleEndian.AppendUint64(nil, c.sim.digest(version)))
	}
}

// loseDisk replaces the disk by a blank one.
func (c *core) loseDisk() {
	c.base = paxos.BlankState(c.state.Self)
	c.log = nil
	c.synced = 0
}

// sync makes the log durable and runs the actions that wait for it.
func (c *core) sync() {
	c.synced = len(c.log)
	for len(c.waiting) > 0 && c.waiting[0].position <= c.synced {
		action := c.waiting[0].action
		c.waiting = c.waiting[1:]
		action()
	}
	if c.synced > compactLog && c.waiting == nil || c.synced > compactBusyLog {
		compacted, err := paxos.DecodeState(c.state.Encode())
		if err != nil {
			c.sim.violate("a state can't be read back: %v", err)
		}
		if c.state.Incarnation() != 0 && len(c.waiting) == 0 {
			c.base = compacted
			c.log = nil
			c.synced = 0
		}
	}
}

// whenSynced runs an action once all that is in the log is synced.
func (c *core) whenSynced(action func()) {
	if len(c.log) <= c.synced {
		action()
		return
	}
	c.waiting = append(c.waiting, syncWaiter{position: len(c.log), action: action})
}

// check checks what the core has learned since before.
func (c *core) check(before paxos.State) {
	if c.state.SnapshotSlot > before.HighestLearnedSlot() {
		version := c.state.SnapshotSlot
		if version > uint64(len(c.sim.digests)) || !bytes.Equal(c.state.Snapshot, binary.LittleEndian.AppendUint64(nil, c.sim.digest(version))) {
			c.sim.violate("%s took a snapshot of epoch %d that is not the agreed one", c.state.Self, version)
		}
	}
	for _, chosen := range c.state.Chosen {
		if chosen.Epoch > before.HighestLearnedSlot() {
			c.sim.checkChosen(c.state.Self, chosen.Epoch, chosen.Command)
		}
	}
}
