package paxos

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

const (
	firstIncarnation  = 1 // announced by a core that proves that it has never voted
	secondIncarnation = firstIncarnation + 1
)

// Recover answers a core that enters the formation with an empty disk. The new
// life must be synced before the answer leaves. A core that has not entered
// answers too if its disk proves that it never voted; one that lost its disk
// refuses, and marks its answer to a probe with CoreAmnesiac.
func (s State) Recover(req *wire.RecoverRequest) ([]Record, *wire.RecoverResponse) {
	resp := &wire.RecoverResponse{Core: s.Self, Formation: s.Formation, Voters: s.Voters, Lives: s.reportedIncarnations(), Voting: s.Incarnation() != 0}
	refuse := func(code apierror.Code) ([]Record, *wire.RecoverResponse) {
		resp.Refusal = uint32(code)
		return nil, resp
	}
	switch {
	case s.Formation == "":
		return refuse(apierror.CoreBlank)
	case req.Probe:
		resp.Ok = true
		if s.lostDisk() {
			return refuse(apierror.CoreAmnesiac)
		}
		return nil, resp
	case req.Formation != s.Formation:
		return refuse(apierror.WrongFormation)
	case req.Core == s.Self || !slices.Contains(s.Voters, req.Core):
		return refuse(apierror.NotCore)
	case req.Life < s.Incarnations[req.Core] || req.Life == 0:
		return refuse(apierror.VersionBehind)
	case s.Incarnation() == 0 && s.AnnouncedIncarnation != firstIncarnation:
		return refuse(apierror.CoreAmnesiac)
	}
	lived := IncarnationRecorded{Core: req.Core, Incarnation: req.Life}
	if s.Incarnations[req.Core] == req.Life {
		return nil, s.recoverResponse()
	}
	return []Record{lived}, lived.Apply(s).recoverResponse()
}

// NextIncarnation returns the life with which to recover, from a probe of the other
// voters; it is to be kept in a Lived record before it is announced. All of them
// must answer, or a rebuild quorum if it knows that this core has had a life
// before; else NextIncarnation says whom it waits for. A first life, which proves that
// this core never voted, needs the word of one that is sure of its own disk, once
// any other core has lost its disk. Salt is the process's own, so that no two
// processes that claim one name ever announce the same life: the votes of both
// would count as one core's. It says nothing where it is zero.
func (s State) NextIncarnation(probes map[string]*wire.RecoverResponse, salt uint64) (life uint64, waiting string) {
	sure, lost, voting := false, false, 0
	for _, name := range s.Others() {
		probe := probes[name]
		if !s.inFormation(probe) {
			waiting = cmp.Or(waiting, name)
			continue
		}
		life = max(life, probe.Lives[s.Self])
		sure = sure || probe.Refusal == 0 && probe.Lives[name] > 0
		lost = lost || probe.Refusal != 0
		if probe.Voting {
			voting++
		}
	}
	switch {
	case s.AnnouncedIncarnation > 0 && life <= s.AnnouncedIncarnation:
		life = s.AnnouncedIncarnation
	case life > 0:
		life += 1 + salt
	default:
		life = firstIncarnation
	}
	if waiting != "" && (life == firstIncarnation || voting < s.RecoveryQuorum()) {
		return 0, waiting
	}
	if life == firstIncarnation && s.AnnouncedIncarnation == 0 && lost && !sure {
		return 0, "a core that has its disk"
	}
	return life, ""
}

// lostDisk tells whether the core knows that its disk forgot a life in which it may
// have voted.
func (s State) lostDisk() bool {
	return s.Incarnation() == 0 && s.AnnouncedIncarnation >= secondIncarnation
}

// RecoverySources returns the voters that a core asks to enter in a disk life, by their
// answers to a probe, and how many answers are enough; zero is all. A first
// life needs the answers of all others, also of those that have not entered
// themselves: two cores that are the last to enter wait for each other's.
func (s State) RecoverySources(life uint64, probes map[string]*wire.RecoverResponse) (cores []string, enough int) {
	if life < secondIncarnation {
		return s.Others(), 0
	}
	var voting []string
	for _, core := range s.Others() {
		if probe := probes[core]; probe != nil && probe.Voting {
			voting = append(voting, core)
		}
	}
	if len(voting) < s.RecoveryQuorum() {
		return s.Others(), 0
	}
	return voting, s.RecoveryQuorum()
}

// CompleteRecovery merges the answers of other voters to a Recover into the one record by
// which this core enters. It waits, and says for whom, until all of them have
// answered or, in a later life than the first, a rebuild quorum of voting cores.
// The answer of a core that lost its disk and has not itself recovered since
// does not count.
func (s State) CompleteRecovery(life uint64, answers map[string]*wire.RecoverResponse) (record Record, waiting string) {
	known := s.knownIncarnations(answers)
	if known[s.Self] > life {
		return nil, s.Self
	}
	counted, waiting := s.usableAnswers(life, answers, known)
	if waiting != "" {
		return nil, waiting
	}
	entered := RecoveryCompleted{Incarnations: known, SnapshotSlot: s.SnapshotSlot, Snapshot: s.Snapshot, Chosen: s.Chosen, OpenSlots: map[uint64]SlotState{}}
	learned := s.Learned()
	for _, answer := range counted {
		if top := answer.SnapshotEpoch + uint64(len(answer.Chosen)); top > learned {
			learned = top
			entered.SnapshotSlot, entered.Snapshot, entered.Chosen = answer.SnapshotEpoch, answer.Snapshot, answer.Chosen
		}
		for _, vote := range answer.Votes {
			entered.OpenSlots[vote.Slot] = entered.OpenSlots[vote.Slot].merge(slotStateFromWire(vote))
		}
	}
	known[s.Self] = life
	return entered, ""
}

// usableAnswers returns the answers that a rebuild may rest on, or whom it
// waits for.
func (s State) usableAnswers(life uint64, answers map[string]*wire.RecoverResponse, known map[string]uint64) (counted []*wire.RecoverResponse, waiting string) {
	voting := 0
	for _, name := range s.Others() {
		answer := answers[name]
		switch {
		case !s.inFormation(answer):
			waiting = cmp.Or(waiting, name)
			continue
		case answer.Lives[name] < known[name]:
			waiting = cmp.Or(waiting, fmt.Sprintf("%s (lost its disk too)", name))
			continue
		case answer.Voting:
			voting++
		}
		counted = append(counted, answer)
	}
	if waiting == "" || life >= secondIncarnation && voting >= s.RecoveryQuorum() {
		return counted, ""
	}
	return nil, waiting
}

// knownIncarnations are the disk lives known here and to any of the answers.
func (s State) knownIncarnations(answers map[string]*wire.RecoverResponse) map[string]uint64 {
	known := make(map[string]uint64, len(s.Voters))
	maps.Copy(known, s.Incarnations)
	for _, name := range s.Others() {
		if answer := answers[name]; s.inFormation(answer) {
			raiseIncarnations(known, answer.Lives)
		}
	}
	return known
}

// inFormation tells whether an answer is one of the core's own formation.
func (s State) inFormation(answer *wire.RecoverResponse) bool {
	return answer != nil && answer.Ok && answer.Formation == s.Formation
}

// JoinProbed decides whether a core that has not entered should join the formation
// of a probe's answer: a blank core any that names it; one that waits in
// another formation only if that one has been entered and its own has not, or,
// with neither entered, if its id is the lower.
func (s State) JoinProbed(probe *wire.RecoverResponse) (Record, bool) {
	if s.Incarnation() != 0 || probe.Formation == "" || probe.Formation == s.Formation || !slices.Contains(probe.Voters, s.Self) {
		return nil, false
	}
	if s.Formation != "" {
		here, there := len(s.Incarnations) > 0, len(probe.Lives) > 0
		if here || !there && probe.Formation > s.Formation {
			return nil, false
		}
	}
	return FormationJoined{Formation: probe.Formation, Voters: probe.Voters}, true
}

// FoundFormation decides on a first formation: of the given number of voters, all
// present, all blank, and by the lowest name. Present holds the answers to a
// probe of every other core that is known; a missing answer is nil. The
// snapshot is the highest agreed state that anyone still holds, if any.
func (s State) FoundFormation(id string, count int, present map[string]*wire.RecoverResponse, version uint64, snapshot []byte) (Record, bool) {
	if s.Formation != "" {
		return nil, false
	}
	names := append(slices.Collect(maps.Keys(present)), s.Self)
	slices.Sort(names)
	if len(names) < count || names[0] != s.Self {
		return nil, false
	}
	for _, answer := range present {
		if answer == nil || apierror.Code(answer.Refusal) != apierror.CoreBlank {
			return nil, false
		}
	}
	return FormationJoined{Formation: id, Voters: names[:count], SnapshotSlot: version, Snapshot: snapshot}, true
}

// raiseIncarnations keeps the higher life of each core.
func raiseIncarnations(known, other map[string]uint64) {
	for core, life := range other {
		known[core] = max(known[core], life)
	}
}
