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

// Recover answers a core that enters the formation with an empty disk: for the first
// time, or after its disk was lost. Once this answer has left, Accept and Proposer
// count no promise or vote of an earlier incarnation of that core, and so nothing
// that the core has forgotten can complete a quorum any more. The new
// incarnation must be synced before the answer leaves. A core that doesn't vote
// answers too if its disk proves that it never voted; one that lost its disk
// refuses, and marks its answer to a probe with CoreAmnesiac.
func (s State) Recover(req *wire.RecoverRequest) ([]Record, *wire.RecoverResponse) {
	if req.Probe && s.Formation != "" {
		return nil, s.answerProbe()
	}
	if code := s.checkRecovery(req); code != apierror.OK {
		resp := s.recoverSummary()
		resp.Refusal = uint32(code)
		return nil, resp
	}
	if s.Incarnations[req.Core] == req.Life {
		return nil, s.recoverResponse()
	}
	recorded := IncarnationRecorded{Core: req.Core, Incarnation: req.Life}
	return []Record{recorded}, recorded.Apply(s).recoverResponse()
}

func (s State) answerProbe() *wire.RecoverResponse {
	resp := s.recoverSummary()
	resp.Ok = true
	if s.lostDisk() {
		resp.Refusal = uint32(apierror.CoreAmnesiac)
	}
	return resp
}

// checkRecovery returns OK when a core may recover from this one, and otherwise
// the code with which it is refused.
func (s State) checkRecovery(req *wire.RecoverRequest) apierror.Code {
	switch {
	case s.Formation == "":
		return apierror.CoreBlank
	case req.Formation != s.Formation:
		return apierror.WrongFormation
	case req.Core == s.Self || !slices.Contains(s.Voters, req.Core):
		return apierror.NotCore
	case req.Life < s.Incarnations[req.Core] || req.Life == 0:
		return apierror.VersionBehind
	case s.Incarnation() == 0 && s.AnnouncedIncarnation != firstIncarnation:
		return apierror.CoreAmnesiac
	}
	return apierror.OK
}

// recoverSummary is a response to a Recover without the agreed state.
func (s State) recoverSummary() *wire.RecoverResponse {
	return &wire.RecoverResponse{
		Core:      s.Self,
		Formation: s.Formation,
		Voters:    s.Voters,
		Lives:     s.reportedIncarnations(),
		Voting:    s.Incarnation() != 0,
	}
}

// reportedIncarnations returns the incarnations that the core reports to others,
// with its own from when it is announced.
func (s State) reportedIncarnations() map[string]uint64 {
	reported := make(map[string]uint64, len(s.Incarnations)+1)
	maps.Copy(reported, s.Incarnations)
	if s.AnnouncedIncarnation > reported[s.Self] {
		reported[s.Self] = s.AnnouncedIncarnation
	}
	return reported
}

// lostDisk reports whether the core knows that its disk forgot an incarnation in
// which it may have voted.
func (s State) lostDisk() bool {
	return s.Incarnation() == 0 && s.AnnouncedIncarnation >= secondIncarnation
}

// probeSummary is what the other voters' answers to a probe say together.
type probeSummary struct {
	highest    uint64 // incarnation of the probing core that any of them knows
	missing    string // the first voter without an answer; empty when all answered
	voting     int    // voters that vote
	anyCertain bool   // one knows its own disk to be complete
	anyLost    bool   // one has lost its disk
}

func (s State) summarize(probes map[string]*wire.RecoverResponse) probeSummary {
	var summary probeSummary
	for _, name := range s.Others() {
		probe := probes[name]
		if !s.inFormation(probe) {
			summary.missing = cmp.Or(summary.missing, name)
			continue
		}
		summary.highest = max(summary.highest, probe.Lives[s.Self])
		if probe.Refusal == 0 && probe.Lives[name] > 0 {
			summary.anyCertain = true
		}
		if probe.Refusal != 0 {
			summary.anyLost = true
		}
		if probe.Voting {
			summary.voting++
		}
	}
	return summary
}

// NextIncarnation returns the incarnation with which to recover, from a probe of
// the other voters; it must be synced in an IncarnationRecorded before it is
// announced. All of them must answer, or a recovery quorum if it knows an
// earlier incarnation of this core; otherwise missing names the first that is
// waited for.
//
// A first incarnation, which proves that this core never voted, needs the answer
// of one that is certain of its own disk once any other core has lost its disk.
//
// Salt is random to the process, so that no two processes that use one name ever
// announce the same incarnation: the votes of both would count as one core's.
func (s State) NextIncarnation(probes map[string]*wire.RecoverResponse, salt uint64) (incarnation uint64, missing string) {
	summary := s.summarize(probes)
	switch {
	case s.AnnouncedIncarnation > 0 && summary.highest <= s.AnnouncedIncarnation:
		incarnation = s.AnnouncedIncarnation
	case summary.highest > 0:
		incarnation = summary.highest + 1 + salt
	default:
		incarnation = firstIncarnation
	}
	if summary.missing != "" && (incarnation == firstIncarnation || summary.voting < s.RecoveryQuorum()) {
		return 0, summary.missing
	}
	if incarnation == firstIncarnation && s.AnnouncedIncarnation == 0 && summary.anyLost && !summary.anyCertain {
		return 0, "a core that has its disk"
	}
	return incarnation, ""
}

// RecoverySources returns the voters from which a core recovers in an
// incarnation, by their answers to a probe, and how many answers are enough;
// zero is all. A first incarnation needs the answers of all others, also of
// those that don't vote yet: two cores that are the last to enter need each
// other's.
func (s State) RecoverySources(incarnation uint64, probes map[string]*wire.RecoverResponse) (cores []string, enough int) {
	if incarnation < secondIncarnation {
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

// CompleteRecovery merges the answers of other voters to a Recover into the
// record by which this core enters the formation. Until all of them have
// answered or, in a later incarnation than the first, a recovery quorum of
// voting cores, there is no record and missing names the first that is waited
// for. The answer of a core that has lost its disk since does not count.
func (s State) CompleteRecovery(incarnation uint64, answers map[string]*wire.RecoverResponse) (record Record, missing string) {
	known := s.knownIncarnations(answers)
	if known[s.Self] > incarnation {
		return nil, s.Self
	}
	usable, missing := s.usableAnswers(incarnation, answers, known)
	if missing != "" {
		return nil, missing
	}
	completed := RecoveryCompleted{
		SnapshotSlot: s.SnapshotSlot,
		Snapshot:     s.Snapshot,
		Chosen:       s.Chosen,
		OpenSlots:    map[uint64]SlotState{},
	}
	learned := s.Learned()
	for _, answer := range usable {
		if theirs := answer.SnapshotEpoch + uint64(len(answer.Chosen)); theirs > learned {
			learned = theirs
			completed.SnapshotSlot = answer.SnapshotEpoch
			completed.Snapshot = answer.Snapshot
			completed.Chosen = answer.Chosen
		}
		for _, vote := range answer.Votes {
			completed.OpenSlots[vote.Slot] = completed.OpenSlots[vote.Slot].merge(slotStateFromWire(vote))
		}
	}
	known[s.Self] = incarnation
	completed.Incarnations = known
	return completed, ""
}

// usableAnswers returns the answers on which a recovery may rest, or the first
// voter that is waited for.
func (s State) usableAnswers(incarnation uint64, answers map[string]*wire.RecoverResponse, known map[string]uint64) (usable []*wire.RecoverResponse, missing string) {
	voting := 0
	for _, name := range s.Others() {
		answer := answers[name]
		if !s.inFormation(answer) {
			missing = cmp.Or(missing, name)
			continue
		}
		if answer.Lives[name] < known[name] {
			missing = cmp.Or(missing, fmt.Sprintf("%s (lost its disk too)", name))
			continue
		}
		if answer.Voting {
			voting++
		}
		usable = append(usable, answer)
	}
	enoughVoting := incarnation >= secondIncarnation && voting >= s.RecoveryQuorum()
	if missing == "" || enoughVoting {
		return usable, ""
	}
	return nil, missing
}

// knownIncarnations returns the highest incarnations known here or to any of the
// answers.
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

// inFormation reports whether there is an answer and it is of the core's own
// formation.
func (s State) inFormation(answer *wire.RecoverResponse) bool {
	return answer != nil && answer.Ok && answer.Formation == s.Formation
}

// raiseIncarnations raises each core's known incarnation to the other one.
func raiseIncarnations(known, other map[string]uint64) {
	for core, incarnation := range other {
		known[core] = max(known[core], incarnation)
	}
}
