package paxos

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// State is all that one core holds of the agreement. It is immutable: folding
// a record copies what it changes and shares the rest.
type State struct {
	Self      string
	Formation string   // empty on a blank core
	Voters    []string // sorted names
	// Incarnations holds the disk lives of all voters as known here; a core's own is
	// zero until it has entered the formation by recovery from others.
	Incarnations map[string]uint64
	// AnnouncedIncarnation is the core's own life from before it is announced until it has
	// entered. The first life proves that the core has never voted; a later one
	// that its votes of an earlier life are lost.
	AnnouncedIncarnation uint64
	SnapshotSlot         uint64
	Snapshot             []byte         // the agreed state at SnapshotEpoch; opaque here
	Chosen               []*wire.Chosen // all versions after SnapshotEpoch that are learned
	OpenSlots            map[uint64]SlotState
}

// Blank returns the state of a core with an empty disk.
func Blank(self string) State { return State{Self: self} }

// HighestLearned is the highest version up to which all are known to be chosen.
func (s State) Learned() uint64 { return s.SnapshotSlot + uint64(len(s.Chosen)) }

// Incarnation is the core's own disk life; zero until it has entered.
func (s State) Incarnation() uint64 { return s.Incarnations[s.Self] }

// Standing is Blank, Amnesiac or Voting; a full disk is not known here.
func (s State) Standing() wire.Standing {
	switch {
	case s.Formation == "":
		return wire.Standing_STANDING_BLANK
	case s.Incarnation() == 0:
		return wire.Standing_STANDING_AMNESIAC
	}
	return wire.Standing_STANDING_VOTING
}

// Quorum is the least number of voters of which any two sets share one.
func (s State) Quorum() int { return len(s.Voters)/2 + 1 }

// RecoveryQuorum is the least number of voting cores from which a lost disk can
// be rebuilt. Whatever a majority accepted is held by one of them, however many
// of that majority have lost their disks meanwhile: of n voters, f of them
// wiped, majority-f of the n-f left hold it, and any n-majority+1 of these n-f
// include one that does.
func (s State) RecoveryQuorum() int { return len(s.Voters) - s.Quorum() + 1 }

// Others returns the voters besides the core itself.
func (s State) Others() []string {
	return slices.DeleteFunc(slices.Clone(s.Voters), func(name string) bool { return name == s.Self })
}

// Command returns the chosen command of a version that is learned and not yet
// folded into the snapshot.
func (s State) Command(version uint64) ([]byte, bool) {
	if version <= s.SnapshotSlot || version > s.Learned() {
		return nil, false
	}
	return s.Chosen[version-s.SnapshotSlot-1].Command, true
}

// HighestSlot is the highest slot in which anything is accepted or learned.
func (s State) HighestSlot() uint64 {
	top := s.Learned()
	for slot, vote := range s.OpenSlots {
		if !vote.Accepted.IsZero() && slot > top {
			top = slot
		}
	}
	return top
}

// NextBallotNumber is a ballot number above all that the core has promised in a slot.
func (s State) NextBallotNumber(slot uint64) uint64 { return s.OpenSlots[slot].Promised.Number + 1 }

// Compacted returns the state with a snapshot at a version that is already
// learned; what came before it is dropped.
func (s State) Compacted(version uint64, snapshot []byte) State {
	if version <= s.SnapshotSlot || version > s.Learned() {
		return s
	}
	s.Chosen = slices.Clone(s.Chosen[version-s.SnapshotSlot:])
	s.SnapshotSlot, s.Snapshot = version, snapshot
	return s
}

func (s State) openSlotMessages() []*wire.SlotVote {
	slots := slices.Sorted(maps.Keys(s.OpenSlots))
	votes := make([]*wire.SlotVote, 0, len(slots))
	for _, slot := range slots {
		votes = append(votes, s.OpenSlots[slot].toWire(slot))
	}
	return votes
}

func (s State) withSlot(slot uint64, vote SlotState) State {
	votes := make(map[uint64]SlotState, len(s.OpenSlots)+1)
	maps.Copy(votes, s.OpenSlots)
	votes[slot] = vote
	s.OpenSlots = votes
	return s
}

// withoutLearnedSlots drops the votes of slots that are learned.
func (s State) withoutLearnedSlots() State {
	learned := s.Learned()
	open := make(map[uint64]SlotState, len(s.OpenSlots))
	for slot, vote := range s.OpenSlots {
		if slot > learned {
			open[slot] = vote
		}
	}
	s.OpenSlots = open
	return s
}

// incarnations returns what the core tells of disk lives, its own included.
func (s State) reportedIncarnations() map[string]uint64 {
	lives := make(map[string]uint64, len(s.Incarnations)+1)
	maps.Copy(lives, s.Incarnations)
	if s.AnnouncedIncarnation > lives[s.Self] {
		lives[s.Self] = s.AnnouncedIncarnation
	}
	return lives
}

func (s State) recoverResponse() *wire.RecoverResponse {
	return &wire.RecoverResponse{Ok: true, Core: s.Self, Formation: s.Formation, Voters: s.Voters, Lives: s.reportedIncarnations(), Voting: s.Incarnation() != 0,
		SnapshotEpoch: s.SnapshotSlot, Snapshot: s.Snapshot, Chosen: s.Chosen, Votes: s.openSlotMessages()}
}

// Encode returns the whole state of a core that has entered, as kept in a
// snapshot of its log.
func (s State) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.recoverResponse())
	if err != nil {
		panic(errors.Wrap(err, "a ballot state holds no value that cannot be encoded"))
	}
	return data
}

// DecodeState reads what Encode wrote.
func DecodeState(data []byte) (State, error) {
	var m wire.RecoverResponse
	if err := proto.Unmarshal(data, &m); err != nil {
		return State{}, errors.Wrap(err, "ballot state")
	}
	s := State{Self: m.Core, Formation: m.Formation, Voters: m.Voters, Incarnations: m.Lives, SnapshotSlot: m.SnapshotEpoch,
		Snapshot: m.Snapshot, Chosen: m.Chosen, OpenSlots: make(map[uint64]SlotState, len(m.Votes))}
	for _, vote := range m.Votes {
		s.OpenSlots[vote.Slot] = slotStateFromWire(vote)
	}
	if err := checkContiguous(s.SnapshotSlot, s.Chosen); err != nil {
		return State{}, err
	}
	return s, nil
}

func checkContiguous(after uint64, chosen []*wire.Chosen) error {
	for i, c := range chosen {
		if c.Epoch != after+uint64(i)+1 {
			return errors.Errorf("epoch %d where %d was due", c.Epoch, after+uint64(i)+1)
		}
	}
	return nil
}

// checkVoting returns OK when the core may vote in the formation.
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
