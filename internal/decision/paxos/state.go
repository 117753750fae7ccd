package paxos

import (
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// State is the consensus state of one core. It is immutable: applying a record
// copies what it changes and shares the rest.
type State struct {
	Self      string
	Formation string   // empty on a blank core
	Voters    []string // sorted names
	// Incarnations holds the highest known disk incarnation of each voter. The
	// core's own is zero until its recovery from the other voters has completed.
	Incarnations map[string]uint64
	// AnnouncedIncarnation is the core's own incarnation, set before it is
	// announced to the other voters. The first one proves that the core has never
	// voted; a later one proves that its votes of earlier incarnations are lost.
	AnnouncedIncarnation uint64
	SnapshotSlot         uint64
	Snapshot             []byte               // the agreed state at SnapshotSlot; opaque to this package
	Chosen               []*wire.Chosen       // the learned values of all slots after SnapshotSlot
	OpenSlots            map[uint64]SlotState // by slot number; all above Learned
}

// BlankState returns the state of a core with an empty disk.
func BlankState(self string) State { return State{Self: self} }

// HighestLearnedSlot returns the highest learned slot: all slots up to it are known to be
// chosen.
func (s State) HighestLearnedSlot() uint64 { return s.SnapshotSlot + uint64(len(s.Chosen)) }

// Incarnation returns the core's own disk incarnation, or zero if the core does not
// vote yet.
func (s State) Incarnation() uint64 { return s.Incarnations[s.Self] }

// Standing returns Blank, Amnesiac or Voting; a full disk is not detected here.
// Amnesiac stands for any core of a formation that does not vote yet: one that has
// lost its disk, or one that is joining its first formation.
func (s State) Standing() wire.Standing {
	switch {
	case s.Formation == "":
		return wire.Standing_STANDING_BLANK
	case s.Incarnation() == 0:
		return wire.Standing_STANDING_AMNESIAC
	}
	return wire.Standing_STANDING_VOTING
}

// Quorum returns the size of a majority of the voters: any two sets of this size
// have a voter in common.
func (s State) Quorum() int { return quorumOf(len(s.Voters)) }

func quorumOf(voters int) int { return voters/2 + 1 }

// RecoveryQuorum returns the smallest number of voting cores from which a core can
// recover after it lost its disk. At least one of them knows any value that a quorum
// accepted, even if members of that quorum have lost their disks since: if f of n
// voters lost their disks, at least quorum-f of the other n-f accepted the value, and
// any n-quorum+1 of these n-f include one of those.
func (s State) RecoveryQuorum() int { return len(s.Voters) - s.Quorum() + 1 }

// OtherVoters returns the voters other than the core itself.
func (s State) OtherVoters() []string {
	return slices.DeleteFunc(slices.Clone(s.Voters), func(name string) bool { return name == s.Self })
}

// LearnedValue returns the value chosen in a slot. Found is false if the slot is not
// learned or is already compacted into the snapshot.
func (s State) LearnedValue(slot uint64) (command []byte, found bool) {
	if slot <= s.SnapshotSlot || slot > s.HighestLearnedSlot() {
		return nil, false
	}
	return s.Chosen[slot-s.SnapshotSlot-1].Command, true
}

// HighestSlot returns the highest slot in which a value is accepted or learned.
func (s State) HighestSlot() uint64 {
	highest := s.HighestLearnedSlot()
	for slotNumber, slot := range s.OpenSlots {
		if !slot.Accepted.IsZero() && slotNumber > highest {
			highest = slotNumber
		}
	}
	return highest
}

// NextBallotNumber returns a number above that of the ballot which the core has
// promised in the slot.
func (s State) NextBallotNumber(slot uint64) uint64 { return s.OpenSlots[slot].Promised.Number + 1 }

// Compacted returns the state with the values up to a learned slot replaced by a
// snapshot at that slot. It returns the state unchanged if the slot is not learned
// or is already compacted.
func (s State) Compacted(slot uint64, snapshot []byte) State {
	if slot <= s.SnapshotSlot || slot > s.HighestLearnedSlot() {
		return s
	}
	s.Chosen = slices.Clone(s.Chosen[slot-s.SnapshotSlot:])
	s.SnapshotSlot = slot
	s.Snapshot = snapshot
	return s
}

// checkVoting returns OK if the core may vote in the formation, and otherwise the
// refusal code.
func (s State) checkVoting(formation string) apierror.Code {
	switch {
	case s.Formation == "":
		return apierror.CoreBlank
	case formation != s.Formation:
		return apierror.WrongFormation
	case s.Incarnation() == 0:
		return apierror.CoreRecovering
	}
	return apierror.OK
}
