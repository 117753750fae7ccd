package paxos

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Record is an event that a core persists in its log. Except for compaction, a
// State changes only by applying records.
type Record interface {
	// Apply returns the state after the event. A record whose effect the state
	// already contains changes nothing.
	Apply(s State) State
	message() (kind byte, body proto.Message)
}

// FormationJoined makes the core a member of a formation. It must not vote there
// before RecoveryCompleted. The founder's record may carry a snapshot: the latest
// agreed state that survived the loss of every disk.
type FormationJoined struct {
	Formation    string
	Voters       []string
	SnapshotSlot uint64
	Snapshot     []byte
}

// IncarnationRecorded records the disk incarnation that another core announced,
// or the one that this core is about to announce.
type IncarnationRecorded struct {
	Core        string
	Incarnation uint64
}

// Promised is the core's promise to accept no lower ballot in the slot.
type Promised struct {
	Slot   uint64
	Ballot Ballot
}

// Accepted is the core's vote for a value in a ballot.
type Accepted struct {
	Slot   uint64
	Ballot Ballot
	Value  []byte
}

// Learned is a value known to be chosen in the slot after the highest learned one.
// With AsAccepted, the command is the value that this core accepted last in the
// slot, and the encoding omits it.
type Learned struct {
	Slot       uint64
	Value      []byte
	AsAccepted bool
}

// SnapshotInstalled replaces the learned values by a snapshot at a later slot.
type SnapshotInstalled struct {
	Slot     uint64
	Snapshot []byte
}

// RecoveryCompleted is the result of a recovery. It is a single record, so that it
// takes effect either completely or, after a crash, not at all.
type RecoveryCompleted struct {
	Incarnations map[string]uint64
	SnapshotSlot uint64
	Snapshot     []byte
	Chosen       []*wire.Chosen
	OpenSlots    map[uint64]SlotState
}

// Apply implements Record.
func (r FormationJoined) Apply(s State) State {
	return State{
		Self:         s.Self,
		Formation:    r.Formation,
		Voters:       r.Voters,
		SnapshotSlot: r.SnapshotSlot,
		Snapshot:     r.Snapshot,
	}
}

// Apply implements Record.
func (r IncarnationRecorded) Apply(s State) State {
	if r.Core == s.Self {
		s.AnnouncedIncarnation = max(s.AnnouncedIncarnation, r.Incarnation)
		return s
	}
	if s.Incarnations[r.Core] >= r.Incarnation {
		return s
	}
	s.Incarnations = withEntry(s.Incarnations, r.Core, r.Incarnation)
	return s
}

// Apply implements Record.
func (r Promised) Apply(s State) State {
	slot := s.OpenSlots[r.Slot]
	slot.Promised = maxBallot(slot.Promised, r.Ballot)
	return s.withOpenSlot(r.Slot, slot)
}

// Apply implements Record.
func (r Accepted) Apply(s State) State {
	accepted := SlotState{Promised: r.Ballot, Accepted: r.Ballot, Value: r.Value}
	return s.withOpenSlot(r.Slot, s.OpenSlots[r.Slot].merge(accepted))
}

// Apply implements Record.
func (r Learned) Apply(s State) State {
	if r.Slot != s.HighestLearnedSlot()+1 {
		return s
	}
	command := r.Value
	if r.AsAccepted {
		command = s.OpenSlots[r.Slot].Value
	}
	// Clip forces append to copy: other states may share the backing array of Chosen.
	s.Chosen = append(slices.Clip(s.Chosen), &wire.Chosen{Epoch: r.Slot, Command: command})
	return s.withoutLearnedSlots()
}

// Apply implements Record.
func (r SnapshotInstalled) Apply(s State) State {
	if r.Slot <= s.HighestLearnedSlot() {
		return s
	}
	s.SnapshotSlot = r.Slot
	s.Snapshot = r.Snapshot
	s.Chosen = nil
	return s.withoutLearnedSlots()
}

// Apply implements Record.
func (r RecoveryCompleted) Apply(s State) State {
	s.Incarnations = r.Incarnations
	s.SnapshotSlot = r.SnapshotSlot
	s.Snapshot = r.Snapshot
	s.Chosen = r.Chosen
	s.OpenSlots = r.OpenSlots
	return s.withoutLearnedSlots()
}

func (s State) withOpenSlot(slotNumber uint64, slot SlotState) State {
	openSlots := make(map[uint64]SlotState, len(s.OpenSlots)+1)
	maps.Copy(openSlots, s.OpenSlots)
	openSlots[slotNumber] = slot
	s.OpenSlots = openSlots
	return s
}

// withoutLearnedSlots returns the state without the open slots up to the highest
// learned slot.
func (s State) withoutLearnedSlots() State {
	learned := s.HighestLearnedSlot()
	openSlots := make(map[uint64]SlotState, len(s.OpenSlots))
	for slotNumber, slot := range s.OpenSlots {
		if slotNumber > learned {
			openSlots[slotNumber] = slot
		}
	}
	s.OpenSlots = openSlots
	return s
}
