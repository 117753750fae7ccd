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
	// Lives holds the disk lives of all voters as known here; a core's own is
	// zero until it has entered the formation by recovery from others.
	Lives map[string]uint64
	// Announced is the core's own life from before it is announced until it has
	// entered. The first life proves that the core has never voted; a later one
	// that its votes of an earlier life are lost.
	Announced    uint64
	SnapshotSlot uint64
	Snapshot     []byte         // the agreed state at SnapshotEpoch; opaque here
	Chosen       []*wire.Chosen // all versions after SnapshotEpoch that are learned
	Votes        map[uint64]Vote
}

// Blank returns the state of a core with an empty disk.
func Blank(self string) State { return State{Self: self} }

// Learned is the highest version up to which all are known to be chosen.
func (s State) Learned() uint64 { return s.SnapshotSlot + uint64(len(s.Chosen)) }

// Life is the core's own disk life; zero until it has entered.
func (s State) Life() uint64 { return s.Lives[s.Self] }

// Standing is Blank, Amnesiac or Voting; a full disk is not known here.
func (s State) Standing() wire.Standing {
	switch {
	case s.Formation == "":
		return wire.Standing_STANDING_BLANK
	case s.Life() == 0:
		return wire.Standing_STANDING_AMNESIAC
	}
	return wire.Standing_STANDING_VOTING
}

// Majority is the least number of voters of which any two sets share one.
func (s State) Majority() int { return len(s.Voters)/2 + 1 }

// RebuildQuorum is the least number of voting cores from which a lost disk can
// be rebuilt. Whatever a majority accepted is held by one of them, however many
// of that majority have lost their disks meanwhile: of n voters, f of them
// wiped, majority-f of the n-f left hold it, and any n-majority+1 of these n-f
// include one that does.
func (s State) RebuildQuorum() int { return len(s.Voters) - s.Majority() + 1 }

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

// Highest is the highest slot in which anything is accepted or learned.
func (s State) Highest() uint64 {
	top := s.Learned()
	for slot, vote := range s.Votes {
		if !vote.Accepted.Zero() && slot > top {
			top = slot
		}
	}
	return top
}

// NextNumber is a ballot number above all that the core has promised in a slot.
func (s State) NextNumber(slot uint64) uint64 { return s.Votes[slot].Promised.Number + 1 }

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

func (s State) openVotes() []*wire.SlotVote {
	slots := slices.Sorted(maps.Keys(s.Votes))
	votes := make([]*wire.SlotVote, 0, len(slots))
	for _, slot := range slots {
		votes = append(votes, s.Votes[slot].wire(slot))
	}
	return votes
}

func (s State) withVote(slot uint64, vote Vote) State {
	votes := make(map[uint64]Vote, len(s.Votes)+1)
	maps.Copy(votes, s.Votes)
	votes[slot] = vote
	s.Votes = votes
	return s
}

// closed drops the votes of slots that are learned.
func (s State) closed() State {
	learned := s.Learned()
	open := make(map[uint64]Vote, len(s.Votes))
	for slot, vote := range s.Votes {
		if slot > learned {
			open[slot] = vote
		}
	}
	s.Votes = open
	return s
}

// lives returns what the core tells of disk lives, its own included.
func (s State) lives() map[string]uint64 {
	lives := make(map[string]uint64, len(s.Lives)+1)
	maps.Copy(lives, s.Lives)
	if s.Announced > lives[s.Self] {
		lives[s.Self] = s.Announced
	}
	return lives
}

func (s State) message() *wire.RecoverResponse {
	return &wire.RecoverResponse{Ok: true, Core: s.Self, Formation: s.Formation, Voters: s.Voters, Lives: s.lives(), Voting: s.Life() != 0,
		SnapshotEpoch: s.SnapshotSlot, Snapshot: s.Snapshot, Chosen: s.Chosen, Votes: s.openVotes()}
}

// Encode returns the whole state of a core that has entered, as kept in a
// snapshot of its log.
func (s State) Encode() []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.message())
	if err != nil {
		panic(errors.Wrap(err, "a ballot state holds no value that cannot be encoded"))
	}
	return data
}

// Decode reads what Encode wrote.
func Decode(data []byte) (State, error) {
	var m wire.RecoverResponse
	if err := proto.Unmarshal(data, &m); err != nil {
		return State{}, errors.Wrap(err, "ballot state")
	}
	s := State{Self: m.Core, Formation: m.Formation, Voters: m.Voters, Lives: m.Lives, SnapshotSlot: m.SnapshotEpoch,
		Snapshot: m.Snapshot, Chosen: m.Chosen, Votes: make(map[uint64]Vote, len(m.Votes))}
	for _, vote := range m.Votes {
		s.Votes[vote.Slot] = voteOf(vote)
	}
	if err := contiguous(s.SnapshotSlot, s.Chosen); err != nil {
		return State{}, err
	}
	return s, nil
}

func contiguous(after uint64, chosen []*wire.Chosen) error {
	for i, c := range chosen {
		if c.Epoch != after+uint64(i)+1 {
			return errors.Errorf("epoch %d where %d was due", c.Epoch, after+uint64(i)+1)
		}
	}
	return nil
}

// votesIn returns OK when the core may vote in the formation.
func (s State) votesIn(formation string) apierror.Code {
	switch {
	case s.Formation == "":
		return apierror.CoreBlank
	case formation != s.Formation:
		return apierror.WrongFormation
	case s.Life() == 0:
		return apierror.CoreAmnesiac
	}
	return apierror.OK
}
