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
	firstIncarnation  = 1 // announced by a core that has proved that it never voted
	secondIncarnation = firstIncarnation + 1
)

// Recover handles the request of a core that recovers with an empty disk: on its
// first start in the formation, or after it lost its disk. The returned record holds
// the new incarnation and must be synced before the response is sent. From then on,
// Accept and Proposer count no promise or vote of an earlier incarnation of that core,
// so a vote that the core has lost can no longer complete a quorum.
//
// A core that does not vote yet also serves the request if its disk proves that it
// never voted. A core that lost its disk refuses, and answers a probe with the refusal
// code CoreAmnesiac.
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
		resp.Refusal = uint32(apierror.CoreRecovering)
	}
	return resp
}

// checkRecovery returns OK if the requesting core may recover from this one, and
// otherwise the refusal code.
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
		return apierror.CoreRecovering
	}
	return apierror.OK
}

// recoverSummary returns a RecoverResponse without the agreed state and the votes.
func (s State) recoverSummary() *wire.RecoverResponse {
	return &wire.RecoverResponse{
		Core:      s.Self,
		Formation: s.Formation,
		Voters:    s.Voters,
		Lives:     s.reportedIncarnations(),
		Voting:    s.Incarnation() != 0,
	}
}

// reportedIncarnations returns the incarnations that the core reports to the other
// voters. They include its own once it is recorded for the announcement.
func (s State) reportedIncarnations() map[string]uint64 {
	reported := make(map[string]uint64, len(s.Incarnations)+1)
	maps.Copy(reported, s.Incarnations)
	if s.AnnouncedIncarnation > reported[s.Self] {
		reported[s.Self] = s.AnnouncedIncarnation
	}
	return reported
}

// ReplacedIncarnations returns the highest known disk incarnations of the voters of which a
// later one than the first is known: their disk was lost, or another process with an empty
// disk has taken their name. It is nil if there is none.
func (s State) ReplacedIncarnations() map[string]uint64 {
	var replaced map[string]uint64
	for core, incarnation := range s.Incarnations {
		if incarnation == firstIncarnation {
			continue
		}
		if replaced == nil {
			replaced = map[string]uint64{}
		}
		replaced[core] = incarnation
	}
	return replaced
}

// lostDisk reports whether the core knows that it lost a disk on which it may have
// voted.
func (s State) lostDisk() bool {
	return s.Incarnation() == 0 && s.AnnouncedIncarnation >= secondIncarnation
}

// probeSummary combines the other voters' answers to a probe.
type probeSummary struct {
	highestIncarnation uint64 // highest incarnation of the probing core that any voter reports
	firstMissing       string // the first voter without a usable answer, or empty
	voting             int    // number of voting cores
	anyDiskIntact      bool   // some voter knows that its own disk is complete
	anyDiskLost        bool   // some voter has lost its disk
}

func (s State) summarizeProbes(probes map[string]*wire.RecoverResponse) probeSummary {
	var summary probeSummary
	for _, name := range s.OtherVoters() {
		probe := probes[name]
		if !s.isFromFormation(probe) {
			summary.firstMissing = cmp.Or(summary.firstMissing, name)
			continue
		}
		summary.highestIncarnation = max(summary.highestIncarnation, probe.Lives[s.Self])
		if probe.Refusal == 0 && probe.Lives[name] > 0 {
			summary.anyDiskIntact = true
		}
		if probe.Refusal != 0 {
			summary.anyDiskLost = true
		}
		if probe.Voting {
			summary.voting++
		}
	}
	return summary
}

// NextIncarnation returns the incarnation with which this core recovers, given the
// other voters' answers to a probe. It must be synced in an IncarnationRecorded before
// it is announced. All other voters must have answered; a recovery quorum of voting
// cores suffices if an earlier incarnation of this core is known. Otherwise missing
// describes the first core that is still needed.
//
// The first incarnation proves that this core never voted. If any other core has lost
// its disk, it also requires an answer from a core whose own disk is proved intact.
//
// Salt is a random number of the process, so that two processes with the same name
// never announce the same later incarnation: their votes would count as those of one
// core.
func (s State) NextIncarnation(probes map[string]*wire.RecoverResponse, salt uint64) (incarnation uint64, missing string) {
	summary := s.summarizeProbes(probes)
	switch {
	case s.AnnouncedIncarnation > 0 && summary.highestIncarnation <= s.AnnouncedIncarnation:
		incarnation = s.AnnouncedIncarnation
	case summary.highestIncarnation > 0:
		incarnation = summary.highestIncarnation + 1 + salt
	default:
		incarnation = firstIncarnation
	}
	if summary.firstMissing != "" && (incarnation == firstIncarnation || summary.voting < s.RecoveryQuorum()) {
		return 0, summary.firstMissing
	}
	if incarnation == firstIncarnation && s.AnnouncedIncarnation == 0 && summary.anyDiskLost && !summary.anyDiskIntact {
		return 0, "a core whose disk is intact"
	}
	return incarnation, ""
}

// RecoverySources returns the voters from which this core recovers with an
// incarnation, given their answers to a probe, and how many of them must answer; zero
// means all. The first incarnation requires all other voters, including those that do
// not vote yet: the last two cores to recover in a new formation need each other's
// answers.
func (s State) RecoverySources(incarnation uint64, probes map[string]*wire.RecoverResponse) (cores []string, required int) {
	if incarnation < secondIncarnation {
		return s.OtherVoters(), 0
	}
	var voting []string
	for _, core := range s.OtherVoters() {
		if probe := probes[core]; probe != nil && probe.Voting {
			voting = append(voting, core)
		}
	}
	if len(voting) < s.RecoveryQuorum() {
		return s.OtherVoters(), 0
	}
	return voting, s.RecoveryQuorum()
}

// CompleteRecovery merges the other voters' responses to a RecoverRequest into the
// record after which this core may vote. It requires the responses of all of them or,
// in a later incarnation than the first, of a recovery quorum of voting cores;
// otherwise the record is nil and missing describes the first core that is still
// needed. The response of a core that has lost its disk since does not count.
func (s State) CompleteRecovery(incarnation uint64, answers map[string]*wire.RecoverResponse) (record Record, missing string) {
	knownIncarnations := s.knownIncarnations(answers)
	if knownIncarnations[s.Self] > incarnation {
		return nil, s.Self
	}
	usable, missing := s.usableAnswers(incarnation, answers, knownIncarnations)
	if missing != "" {
		return nil, missing
	}
	completed := RecoveryCompleted{
		SnapshotSlot: s.SnapshotSlot,
		Snapshot:     s.Snapshot,
		Chosen:       s.Chosen,
		OpenSlots:    map[uint64]SlotState{},
	}
	learned := s.HighestLearnedSlot()
	for _, answer := range usable {
		if answerLearned := answer.SnapshotEpoch + uint64(len(answer.Chosen)); answerLearned > learned {
			learned = answerLearned
			completed.SnapshotSlot = answer.SnapshotEpoch
			completed.Snapshot = answer.Snapshot
			completed.Chosen = answer.Chosen
		}
		for _, vote := range answer.Votes {
			completed.OpenSlots[vote.Slot] = completed.OpenSlots[vote.Slot].merge(slotStateFromWire(vote))
		}
	}
	knownIncarnations[s.Self] = incarnation
	completed.Incarnations = knownIncarnations
	return completed, ""
}

// usableAnswers returns the answers from which a recovery can be completed, or
// describes the first voter that is still needed.
func (s State) usableAnswers(incarnation uint64, answers map[string]*wire.RecoverResponse, knownIncarnations map[string]uint64) (usable []*wire.RecoverResponse, missing string) {
	voting := 0
	for _, name := range s.OtherVoters() {
		answer := answers[name]
		if !s.isFromFormation(answer) {
			missing = cmp.Or(missing, name)
			continue
		}
		if answer.Lives[name] < knownIncarnations[name] {
			missing = cmp.Or(missing, fmt.Sprintf("%s (its disk was lost too)", name))
			continue
		}
		if answer.Voting {
			voting++
		}
		usable = append(usable, answer)
	}
	recoveryQuorumReached := incarnation >= secondIncarnation && voting >= s.RecoveryQuorum()
	if missing == "" || recoveryQuorumReached {
		return usable, ""
	}
	return nil, missing
}

// knownIncarnations returns, for each voter, the highest incarnation that this core
// knows or any of the answers reports.
func (s State) knownIncarnations(answers map[string]*wire.RecoverResponse) map[string]uint64 {
	known := make(map[string]uint64, len(s.Voters))
	maps.Copy(known, s.Incarnations)
	for _, name := range s.OtherVoters() {
		if answer := answers[name]; s.isFromFormation(answer) {
			mergeIncarnations(known, answer.Lives)
		}
	}
	return known
}

// isFromFormation reports whether an answer was received, without an error, from a
// member of this core's formation.
func (s State) isFromFormation(answer *wire.RecoverResponse) bool {
	return answer != nil && answer.Ok && answer.Formation == s.Formation
}

// mergeIncarnations raises the known incarnations to the reported ones where these
// are higher.
func mergeIncarnations(known, reported map[string]uint64) {
	for core, incarnation := range reported {
		known[core] = max(known[core], incarnation)
	}
}
