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
	firstLife  = 1 // announced by a core that proves that it has never voted
	secondLife = firstLife + 1
)

// Recover answers a core that enters the formation with an empty disk. The new
// life must be synced before the answer leaves. A core that has not entered
// answers too if its disk proves that it never voted; one that lost its disk
// refuses, and marks its answer to a probe with CoreAmnesiac.
func (s State) Recover(req *wire.RecoverRequest) ([]Record, *wire.RecoverResponse) {
	resp := &wire.RecoverResponse{Core: s.Self, Formation: s.Formation, Voters: s.Voters, Lives: s.lives(), Voting: s.Life() != 0}
	refuse := func(code apierror.Code) ([]Record, *wire.RecoverResponse) {
		resp.Refusal = uint32(code)
		return nil, resp
	}
	switch {
	case s.Formation == "":
		return refuse(apierror.CoreBlank)
	case req.Probe:
		resp.Ok = true
		if s.lost() {
			return refuse(apierror.CoreAmnesiac)
		}
		return nil, resp
	case req.Formation != s.Formation:
		return refuse(apierror.WrongFormation)
	case req.Core == s.Self || !slices.Contains(s.Voters, req.Core):
		return refuse(apierror.NotCore)
	case req.Life < s.Lives[req.Core] || req.Life == 0:
		return refuse(apierror.VersionBehind)
	case s.Life() == 0 && s.Announced != firstLife:
		return refuse(apierror.CoreAmnesiac)
	}
	lived := Lived{Core: req.Core, Life: req.Life}
	if s.Lives[req.Core] == req.Life {
		return nil, s.message()
	}
	return []Record{lived}, lived.Fold(s).message()
}

// NextLife returns the life with which to recover, from a probe of the other
// voters; it is to be kept in a Lived record before it is announced. All of them
// must answer, or a rebuild quorum if it knows that this core has had a life
// before; else NextLife says whom it waits for. A first life, which proves that
// this core never voted, needs the word of one that is sure of its own disk, once
// any other core has lost its disk. Salt is the process's own, so that no two
// processes that claim one name ever announce the same life: the votes of both
// would count as one core's. It says nothing where it is zero.
func (s State) NextLife(probes map[string]*wire.RecoverResponse, salt uint64) (life uint64, waiting string) {
	sure, lost, voting := false, false, 0
	for _, name := range s.Others() {
		probe := probes[name]
		if !s.answers(probe) {
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
	case s.Announced > 0 && life <= s.Announced:
		life = s.Announced
	case life > 0:
		life += 1 + salt
	default:
		life = firstLife
	}
	if waiting != "" && (life == firstLife || voting < s.RebuildQuorum()) {
		return 0, waiting
	}
	if life == firstLife && s.Announced == 0 && lost && !sure {
		return 0, "a core that has its disk"
	}
	return life, ""
}

// lost tells whether the core knows that its disk forgot a life in which it may
// have voted.
func (s State) lost() bool { return s.Life() == 0 && s.Announced >= secondLife }

// Sources returns the voters that a core asks to enter in a disk life, by their
// answers to a probe, and how many answers are enough; zero is all. A first
// life needs the answers of all others, also of those that have not entered
// themselves: two cores that are the last to enter wait for each other's.
func (s State) Sources(life uint64, probes map[string]*wire.RecoverResponse) (cores []string, enough int) {
	if life < secondLife {
		return s.Others(), 0
	}
	var voting []string
	for _, core := range s.Others() {
		if probe := probes[core]; probe != nil && probe.Voting {
			voting = append(voting, core)
		}
	}
	if len(voting) < s.RebuildQuorum() {
		return s.Others(), 0
	}
	return voting, s.RebuildQuorum()
}

// Enter merges the answers of other voters to a Recover into the one record by
// which this core enters. It waits, and says for whom, until all of them have
// answered or, in a later life than the first, a rebuild quorum of voting cores.
// The answer of a core that lost its disk and has not itself recovered since
// does not count.
func (s State) Enter(life uint64, answers map[string]*wire.RecoverResponse) (record Record, waiting string) {
	known := s.knownLives(answers)
	if known[s.Self] > life {
		return nil, s.Self
	}
	counted, waiting := s.countedAnswers(life, answers, known)
	if waiting != "" {
		return nil, waiting
	}
	entered := Entered{Lives: known, SnapshotSlot: s.SnapshotSlot, Snapshot: s.Snapshot, Chosen: s.Chosen, Votes: map[uint64]Vote{}}
	learned := s.Learned()
	for _, answer := range counted {
		if top := answer.SnapshotEpoch + uint64(len(answer.Chosen)); top > learned {
			learned = top
			entered.SnapshotSlot, entered.Snapshot, entered.Chosen = answer.SnapshotEpoch, answer.Snapshot, answer.Chosen
		}
		for _, vote := range answer.Votes {
			entered.Votes[vote.Slot] = entered.Votes[vote.Slot].merge(voteOf(vote))
		}
	}
	known[s.Self] = life
	return entered, ""
}

// countedAnswers returns the answers that a rebuild may rest on, or whom it
// waits for.
func (s State) countedAnswers(life uint64, answers map[string]*wire.RecoverResponse, known map[string]uint64) (counted []*wire.RecoverResponse, waiting string) {
	voting := 0
	for _, name := range s.Others() {
		answer := answers[name]
		switch {
		case !s.answers(answer):
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
	if waiting == "" || life >= secondLife && voting >= s.RebuildQuorum() {
		return counted, ""
	}
	return nil, waiting
}

// knownLives are the disk lives known here and to any of the answers.
func (s State) knownLives(answers map[string]*wire.RecoverResponse) map[string]uint64 {
	known := make(map[string]uint64, len(s.Voters))
	maps.Copy(known, s.Lives)
	for _, name := range s.Others() {
		if answer := answers[name]; s.answers(answer) {
			raise(known, answer.Lives)
		}
	}
	return known
}

// answers tells whether an answer is one of the core's own formation.
func (s State) answers(answer *wire.RecoverResponse) bool {
	return answer != nil && answer.Ok && answer.Formation == s.Formation
}

// Rejoin decides whether a core that has not entered should join the formation
// of a probe's answer: a blank core any that names it; one that waits in
// another formation only if that one has been entered and its own has not, or,
// with neither entered, if its id is the lower.
func (s State) Rejoin(probe *wire.RecoverResponse) (Record, bool) {
	if s.Life() != 0 || probe.Formation == "" || probe.Formation == s.Formation || !slices.Contains(probe.Voters, s.Self) {
		return nil, false
	}
	if s.Formation != "" {
		here, there := len(s.Lives) > 0, len(probe.Lives) > 0
		if here || !there && probe.Formation > s.Formation {
			return nil, false
		}
	}
	return Joined{Formation: probe.Formation, Voters: probe.Voters}, true
}

// Establish decides on a first formation: of the given number of voters, all
// present, all blank, and by the lowest name. Present holds the answers to a
// probe of every other core that is known; a missing answer is nil. The
// snapshot is the highest agreed state that anyone still holds, if any.
func (s State) Establish(id string, count int, present map[string]*wire.RecoverResponse, version uint64, snapshot []byte) (Record, bool) {
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
	return Joined{Formation: id, Voters: names[:count], SnapshotSlot: version, Snapshot: snapshot}, true
}

// raise keeps the higher life of each core.
func raise(known, other map[string]uint64) {
	for core, life := range other {
		known[core] = max(known[core], life)
	}
}
