package paxos

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Record is one durable step of a core. Fold is the only way in which a State
// changes.
type Record interface {
	Apply(State) State
	message() (kind byte, body proto.Message)
}

const (
	kindFormationJoined byte = 1 + iota
	kindIncarnationRecorded
	kindPromised
	kindAccepted
	kindLearned
	kindSnapshotInstalled
	kindRecoveryCompleted
)

// FormationJoined puts the core into a formation, not yet entered. The founder's may
// carry the highest agreed state that outlived the loss of every disk.
type FormationJoined struct {
	Formation    string
	Voters       []string
	SnapshotSlot uint64
	Snapshot     []byte
}

// IncarnationRecorded keeps the disk life that another core announced or, of the core itself,
// the life that it is about to announce.
type IncarnationRecorded struct {
	Core        string
	Incarnation uint64
}

// Promised binds the core to no ballot below this one in the slot.
type Promised struct {
	Slot   uint64
	Ballot Ballot
}

// HandleAccept is the core's vote for a value.
type Accepted struct {
	Slot   uint64
	Ballot Ballot
	Value  []byte
}

// HighestLearned is a chosen command of the version after the last learned one.
// AsAccepted leaves the command out of the encoding: it is the value that this
// core has accepted last in the slot.
type Learned struct {
	Slot       uint64
	Command    []byte
	AsAccepted bool
}

// SnapshotInstalled replaces a learned prefix by a snapshot of a later version.
type SnapshotInstalled struct {
	Slot     uint64
	Snapshot []byte
}

// RecoveryCompleted is a whole recovery in one record, so that a crash leaves either none
// of it or all.
type RecoveryCompleted struct {
	Incarnations map[string]uint64
	SnapshotSlot uint64
	Snapshot     []byte
	Chosen       []*wire.Chosen
	OpenSlots    map[uint64]SlotState
}

// Apply implements Record.
func (r FormationJoined) Apply(s State) State {
	return State{Self: s.Self, Formation: r.Formation, Voters: r.Voters, SnapshotSlot: r.SnapshotSlot, Snapshot: r.Snapshot}
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
	lives := make(map[string]uint64, len(s.Incarnations)+1)
	maps.Copy(lives, s.Incarnations)
	lives[r.Core] = r.Incarnation
	s.Incarnations = lives
	return s
}

// Apply implements Record.
func (r Promised) Apply(s State) State {
	vote := s.OpenSlots[r.Slot]
	vote.Promised = maxBallot(vote.Promised, r.Ballot)
	return s.withSlot(r.Slot, vote)
}

// Apply implements Record.
func (r Accepted) Apply(s State) State {
	return s.withSlot(r.Slot, s.OpenSlots[r.Slot].merge(SlotState{Promised: r.Ballot, Accepted: r.Ballot, Value: r.Value}))
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
	s.Chosen = append(slices.Clip(s.Chosen), &wire.Chosen{Epoch: r.Slot, Command: command})
	return s.withoutLearnedSlots()
}

// Apply implements Record.
func (r SnapshotInstalled) Apply(s State) State {
	if r.Slot <= s.Learned() {
		return s
	}
	s.SnapshotSlot, s.Snapshot, s.Chosen = r.Slot, r.Snapshot, nil
	return s.withoutLearnedSlots()
}

// Apply implements Record.
func (r RecoveryCompleted) Apply(s State) State {
	s.Incarnations, s.SnapshotSlot, s.Snapshot, s.Chosen, s.OpenSlots = r.Incarnations, r.SnapshotSlot, r.Snapshot, r.Chosen, r.OpenSlots
	return s.withoutLearnedSlots()
}

func (r FormationJoined) message() (byte, proto.Message) {
	return kindFormationJoined, &wire.RecoverResponse{Formation: r.Formation, Voters: r.Voters, SnapshotEpoch: r.SnapshotSlot, Snapshot: r.Snapshot}
}

func (r IncarnationRecorded) message() (byte, proto.Message) {
	return kindIncarnationRecorded, &wire.RecoverRequest{Core: r.Core, Life: r.Incarnation}
}

func (r Promised) message() (byte, proto.Message) {
	return kindPromised, &wire.SlotVote{Slot: r.Slot, Promised: r.Ballot.ToWire()}
}

func (r Accepted) message() (byte, proto.Message) {
	return kindAccepted, &wire.SlotVote{Slot: r.Slot, Accepted: r.Ballot.ToWire(), Value: r.Value}
}

func (r Learned) message() (byte, proto.Message) {
	if r.AsAccepted {
		return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot}}, From: "accepted"}
	}
	return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot, Command: r.Command}}}
}

func (r SnapshotInstalled) message() (byte, proto.Message) {
	return kindSnapshotInstalled, &wire.FetchResponse{SnapshotEpoch: r.Slot, Snapshot: r.Snapshot}
}

func (r RecoveryCompleted) message() (byte, proto.Message) {
	return kindRecoveryCompleted, &wire.RecoverResponse{Lives: r.Incarnations, SnapshotEpoch: r.SnapshotSlot, Snapshot: r.Snapshot,
		Chosen: r.Chosen, Votes: State{OpenSlots: r.OpenSlots}.openSlotMessages()}
}

// EncodeRecord returns a record's bytes for the log.
func EncodeRecord(r Record) []byte {
	kind, body := r.message()
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend([]byte{kind}, body)
	if err != nil {
		panic(errors.Wrap(err, "a record holds no value that cannot be encoded"))
	}
	return data
}

// DecodeRecord reads what EncodeRecord wrote.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) == 0 {
		return nil, errors.New("empty record")
	}
	read := func(body proto.Message) error {
		return errors.Wrapf(proto.Unmarshal(data[1:], body), "record of kind %d", data[0])
	}
	switch data[0] {
	case kindFormationJoined:
		var m wire.RecoverResponse
		err := read(&m)
		return FormationJoined{Formation: m.Formation, Voters: m.Voters, SnapshotSlot: m.SnapshotEpoch, Snapshot: m.Snapshot}, err
	case kindIncarnationRecorded:
		var m wire.RecoverRequest
		err := read(&m)
		return IncarnationRecorded{Core: m.Core, Incarnation: m.Life}, err
	case kindPromised:
		var m wire.SlotVote
		err := read(&m)
		return Promised{Slot: m.Slot, Ballot: BallotFromWire(m.Promised)}, err
	case kindAccepted:
		var m wire.SlotVote
		err := read(&m)
		return Accepted{Slot: m.Slot, Ballot: BallotFromWire(m.Accepted), Value: m.Value}, err
	case kindLearned:
		var m wire.LearnRequest
		if err := read(&m); err != nil {
			return nil, err
		}
		if len(m.Chosen) != 1 {
			return nil, errors.Errorf("a learned record of %d epochs", len(m.Chosen))
		}
		return Learned{Slot: m.Chosen[0].Epoch, Command: m.Chosen[0].Command, AsAccepted: m.From != ""}, nil
	case kindSnapshotInstalled:
		var m wire.FetchResponse
		err := read(&m)
		return SnapshotInstalled{Slot: m.SnapshotEpoch, Snapshot: m.Snapshot}, err
	case kindRecoveryCompleted:
		var m wire.RecoverResponse
		if err := read(&m); err != nil {
			return nil, err
		}
		votes := make(map[uint64]SlotState, len(m.Votes))
		for _, vote := range m.Votes {
			votes[vote.Slot] = slotStateFromWire(vote)
		}
		return RecoveryCompleted{Incarnations: m.Lives, SnapshotSlot: m.SnapshotEpoch, Snapshot: m.Snapshot, Chosen: m.Chosen, OpenSlots: votes},
			checkContiguous(m.SnapshotEpoch, m.Chosen)
	}
	return nil, errors.Errorf("record of unknown kind %d", data[0])
}

// Replay folds encoded records into a state, in their order.
func Replay(s State, records [][]byte) (State, error) {
	for i, data := range records {
		record, err := DecodeRecord(data)
		if err != nil {
			return s, errors.Wrapf(err, "record %d of the replay", i)
		}
		s = record.Apply(s)
	}
	return s, nil
}
