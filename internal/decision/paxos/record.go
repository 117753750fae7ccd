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
	Fold(State) State
	message() (kind byte, body proto.Message)
}

const (
	kindJoined byte = 1 + iota
	kindLived
	kindPromised
	kindAccepted
	kindLearned
	kindInstalled
	kindEntered
)

// Joined puts the core into a formation, not yet entered. The founder's may
// carry the highest agreed state that outlived the loss of every disk.
type Joined struct {
	Formation    string
	Voters       []string
	SnapshotSlot uint64
	Snapshot     []byte
}

// Lived keeps the disk life that another core announced or, of the core itself,
// the life that it is about to announce.
type Lived struct {
	Core string
	Life uint64
}

// Promised binds the core to no ballot below this one in the slot.
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

// Learned is a chosen command of the version after the last learned one.
// AsAccepted leaves the command out of the encoding: it is the value that this
// core has accepted last in the slot.
type Learned struct {
	Slot       uint64
	Command    []byte
	AsAccepted bool
}

// Installed replaces a learned prefix by a snapshot of a later version.
type Installed struct {
	Slot     uint64
	Snapshot []byte
}

// Entered is a whole recovery in one record, so that a crash leaves either none
// of it or all.
type Entered struct {
	Lives        map[string]uint64
	SnapshotSlot uint64
	Snapshot     []byte
	Chosen       []*wire.Chosen
	Votes        map[uint64]Vote
}

// Fold implements Record.
func (r Joined) Fold(s State) State {
	return State{Self: s.Self, Formation: r.Formation, Voters: r.Voters, SnapshotSlot: r.SnapshotSlot, Snapshot: r.Snapshot}
}

// Fold implements Record.
func (r Lived) Fold(s State) State {
	if r.Core == s.Self {
		s.Announced = max(s.Announced, r.Life)
		return s
	}
	if s.Lives[r.Core] >= r.Life {
		return s
	}
	lives := make(map[string]uint64, len(s.Lives)+1)
	maps.Copy(lives, s.Lives)
	lives[r.Core] = r.Life
	s.Lives = lives
	return s
}

// Fold implements Record.
func (r Promised) Fold(s State) State {
	vote := s.Votes[r.Slot]
	vote.Promised = highest(vote.Promised, r.Ballot)
	return s.withVote(r.Slot, vote)
}

// Fold implements Record.
func (r Accepted) Fold(s State) State {
	return s.withVote(r.Slot, s.Votes[r.Slot].merge(Vote{Promised: r.Ballot, Accepted: r.Ballot, Value: r.Value}))
}

// Fold implements Record.
func (r Learned) Fold(s State) State {
	if r.Slot != s.Learned()+1 {
		return s
	}
	command := r.Command
	if r.AsAccepted {
		command = s.Votes[r.Slot].Value
	}
	s.Chosen = append(slices.Clip(s.Chosen), &wire.Chosen{Epoch: r.Slot, Command: command})
	return s.closed()
}

// Fold implements Record.
func (r Installed) Fold(s State) State {
	if r.Slot <= s.Learned() {
		return s
	}
	s.SnapshotSlot, s.Snapshot, s.Chosen = r.Slot, r.Snapshot, nil
	return s.closed()
}

// Fold implements Record.
func (r Entered) Fold(s State) State {
	s.Lives, s.SnapshotSlot, s.Snapshot, s.Chosen, s.Votes = r.Lives, r.SnapshotSlot, r.Snapshot, r.Chosen, r.Votes
	return s.closed()
}

func (r Joined) message() (byte, proto.Message) {
	return kindJoined, &wire.RecoverResponse{Formation: r.Formation, Voters: r.Voters, SnapshotEpoch: r.SnapshotSlot, Snapshot: r.Snapshot}
}

func (r Lived) message() (byte, proto.Message) {
	return kindLived, &wire.RecoverRequest{Core: r.Core, Life: r.Life}
}

func (r Promised) message() (byte, proto.Message) {
	return kindPromised, &wire.SlotVote{Slot: r.Slot, Promised: r.Ballot.Wire()}
}

func (r Accepted) message() (byte, proto.Message) {
	return kindAccepted, &wire.SlotVote{Slot: r.Slot, Accepted: r.Ballot.Wire(), Value: r.Value}
}

func (r Learned) message() (byte, proto.Message) {
	if r.AsAccepted {
		return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot}}, From: "accepted"}
	}
	return kindLearned, &wire.LearnRequest{Chosen: []*wire.Chosen{{Epoch: r.Slot, Command: r.Command}}}
}

func (r Installed) message() (byte, proto.Message) {
	return kindInstalled, &wire.FetchResponse{SnapshotEpoch: r.Slot, Snapshot: r.Snapshot}
}

func (r Entered) message() (byte, proto.Message) {
	return kindEntered, &wire.RecoverResponse{Lives: r.Lives, SnapshotEpoch: r.SnapshotSlot, Snapshot: r.Snapshot,
		Chosen: r.Chosen, Votes: State{Votes: r.Votes}.openVotes()}
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
	case kindJoined:
		var m wire.RecoverResponse
		err := read(&m)
		return Joined{Formation: m.Formation, Voters: m.Voters, SnapshotSlot: m.SnapshotEpoch, Snapshot: m.Snapshot}, err
	case kindLived:
		var m wire.RecoverRequest
		err := read(&m)
		return Lived{Core: m.Core, Life: m.Life}, err
	case kindPromised:
		var m wire.SlotVote
		err := read(&m)
		return Promised{Slot: m.Slot, Ballot: Of(m.Promised)}, err
	case kindAccepted:
		var m wire.SlotVote
		err := read(&m)
		return Accepted{Slot: m.Slot, Ballot: Of(m.Accepted), Value: m.Value}, err
	case kindLearned:
		var m wire.LearnRequest
		if err := read(&m); err != nil {
			return nil, err
		}
		if len(m.Chosen) != 1 {
			return nil, errors.Errorf("a learned record of %d epochs", len(m.Chosen))
		}
		return Learned{Slot: m.Chosen[0].Epoch, Command: m.Chosen[0].Command, AsAccepted: m.From != ""}, nil
	case kindInstalled:
		var m wire.FetchResponse
		err := read(&m)
		return Installed{Slot: m.SnapshotEpoch, Snapshot: m.Snapshot}, err
	case kindEntered:
		var m wire.RecoverResponse
		if err := read(&m); err != nil {
			return nil, err
		}
		votes := make(map[uint64]Vote, len(m.Votes))
		for _, vote := range m.Votes {
			votes[vote.Slot] = voteOf(vote)
		}
		return Entered{Lives: m.Lives, SnapshotSlot: m.SnapshotEpoch, Snapshot: m.Snapshot, Chosen: m.Chosen, Votes: votes},
			contiguous(m.SnapshotEpoch, m.Chosen)
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
		s = record.Fold(s)
	}
	return s, nil
}
