package paxos

import (
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// State is everything that one core knows of the agreement. It is immutable:
// applying a record copies what it changes and shares the rest.
type State struct {
	Self      string
	Formation string   // empty on a blank core
	Voters    []string // sorted names
	// Incarnations holds the highest known disk incarnation of each voter; a
	// core's own is zero until it has entered the formation by recovery from
	// the others.
	Incarnations map[string]uint64
	// AnnouncedIncarnation is the core's own, set before it is announced to the
	// others. The first one proves that the core has never voted; a later one
	// proves that its votes of an earlier incarnation are lost.
	AnnouncedIncarnation uint64
	SnapshotSlot         uint64
	Snapshot             []byte               // the agreed state at SnapshotSlot; opaque here
	Chosen               []*wire.Chosen       // the learned values of all slots after SnapshotSlot
	OpenSlots            map[uint64]SlotState // by slot; all above Learned
}

// Blank returns the state of a core with an empty disk.
func Blank(self string) State { return State{Self: self} }

// Learned is the highest slot up to which all slots are known to be chosen.
func (s State) Learned() uint64 { return s.SnapshotSlot + uint64(len(s.Chosen)) }

// Incarnation is the core's own disk incarnation; zero until it votes.
func (s State) Incarnation() uint64 { return s.Incarnations[s.Self] }

// Standing is Blank, Amnesiac or Voting; whether the disk is full is not known
// here. Amnesiac is every core of a formation that doesn't vote yet: one whose disk
// was lost, and one that enters its first formation.
func (s State) Standing() wire.Standing {
	switch {
	case s.Formation == "":
		return wire.Standing_STANDING_BLANK
	case s.Incarnation() == 0:
		return wire.Standing_STANDING_AMNESIAC
	}
	return wire.Standing_STANDING_VOTING
}

// Quorum is the size of a majority of the voters: any two sets of this size
// share a voter.
func (s State) Quorum() int { return quorumOf(len(s.Voters)) }

func quorumOf(voters int) int { return voters/2 + 1 }

// RecoveryQuorum is the smallest number of voting cores from which a lost disk
// can be recovered. A value that a quorum accepted is known to one of them,
// however many of that quorum have lost their disks meanwhile: of n voters, f of
// them wiped, quorum-f of the n-f left have accepted it, and any n-quorum+1 of
// these n-f include one that did.
func (s State) RecoveryQuorum() int { return len(s.Voters) - s.Quorum() + 1 }

// Others returns the voters besides the core itself.
func (s State) Others() []string {
	return slices.DeleteFunc(slices.Clone(s.Voters), func(name string) bool { return name == s.Self })
}

// Command returns the value of a slot that is learned and not compacted into the
// snapshot.
func (s State) Command(slot uint64) (command []byte, found bool) {
	if slot <= s.SnapshotSlot || slot > s.Learned() {
		return nil, false
	}
	return s.Chosen[slot-s.SnapshotSlot-1].Command, true
}

// HighestSlot is the highest slot in which a value is accepted or learned.
func (s State) HighestSlot() uint64 {
	highest := s.Learned()
	for number, slot := range s.OpenSlots {
		if !slot.Accepted.IsZero() && number > highest {
			highest = number
		}
	}
	return highest
}

// NextBallotNumber is above all ballot numbers that the core has promised in the
// slot.
func (s State) NextBallotNumber(slot uint64) uint64 { return s.OpenSlots[slot].Promised.Number + 1 }

// Compacted returns the state with a snapshot at a learned slot in place of the
// values up to it. It returns the state unchanged when the slot is not learned,
// or already in the snapshot.
func (s State) Compacted(slot uint64, snapshot []byte) State {
	if slot <= s.SnapshotSlot || slot > s.Learned() {
		return s
	}
	s.Chosen = slices.Clone(s.Chosen[slot-s.SnapshotSlot:])
	s.SnapshotSlot = slot
	s.Snapshot = snapshot
	return s
}

// checkVoting returns OK when the core may vote in the formation, and otherwise
// the code with which it refuses.
func (s State) checkVoting(formation string) apierror.Code {
	switch {
	case s.Formation == "":
		return apierror.CoreBlank
	case formation != s.Formation:
		return apierror.WrongFormation
	case s.Incarnation() == 0:
		return apierror.CoreAmnesiac
	}
	return apierror.OK
}
