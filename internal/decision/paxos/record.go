package paxos

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Record is an event that a core makes durable, named for what happened.
// Applying it is the only way in which a State changes, apart from compaction.
type Record interface {
	// Apply returns the state after the event. A record that the state already
	// includes changes nothing.
	Apply(s State) State
	message() (kind byte, body proto.Message)
}

// FormationJoined makes the core a voter of a formation, in which it can't vote
// before RecoveryCompleted. The founder's record may carry the highest agreed
// state that outlived the loss of every disk.
type FormationJoined struct {
	Formation    string
	Voters       []string
	SnapshotSlot uint64
	Snapshot     []byte
}

// IncarnationRecorded holds the disk incarnation that another core announced or,
// of the core itself, the one that it is about to announce.
type IncarnationRecorded struct {
	Core        string
	Incarnation uint64
}

// Promised binds the core to accept no ballot less than this one in the slot.
type Promised struct {
	Slot   uint64
	Ballot Ballot
}

// Accepted is the core's vote for a value.
type Accepted struct {
	Slot   uint64
	Ballot Ballot
	Value  []byte
}

// Learned is a value known to be chosen in the slot after the last learned one.
// AsAccepted leaves the command out of the encoding: it is the value that this
// core accepted last in the slot.
type Learned struct {
	Slot       uint64
	Command    []byte
	AsAccepted bool
}

// SnapshotInstalled replaces the learned values by a snapshot of a later slot.
type SnapshotInstalled struct {
	Slot     uint64
	Snapshot []byte
}

// RecoveryCompleted is the result of a recovery. It is one record, so that a
// crash leaves either none of it or all.
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
	return s.withSlot(r.Slot, slot)
}

// Apply implements Record.
func (r Accepted) Apply(s State) State {
	accepted := SlotState{Promised: r.Ballot, Accepted: r.Ballot, Value: r.Value}
	return s.withSlot(r.Slot, s.OpenSlots[r.Slot].merge(accepted))
}

// Apply implements Record.
func (r Learned) Apply(s State) State {
	if r.Slot != s.Learned()+1 {
		return s
	}
	command := r.Command
	if r.AsAccepted {
		command = s.OpenSlots[r.Slot].Value
	}
	// Clip makes append copy: another state may share the array behind Chosen.
	s.Chosen = append(slices.Clip(s.Chosen), &wire.Chosen{Epoch: r.Slot, Command: command})
	return s.withoutLearnedSlots()
}

// Apply implements Record.
func (r SnapshotInstalled) Apply(s State) State {
	if r.Slot <= s.Learned() {
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

func (s State) withSlot(number uint64, slot SlotState) State {
	openSlots := make(map[uint64]SlotState, len(s.OpenSlots)+1)
	maps.Copy(openSlots, s.OpenSlots)
	openSlots[number] = slot
	s.OpenSlots = openSlots
	return s
}

// withoutLearnedSlots drops the acceptor's state of slots that are learned.
func (s State) withoutLearnedSlots() State {
	learned := s.Learned()
	openSlots := make(map[uint64]SlotState, len(s.OpenSlots))
	for number, slot := range s.OpenSlots {
		if number > learned {
			openSlots[number] = slot
		}
	}
	s.OpenSlots = openSlots
	return s
}
