package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Found handles the founder's invitation to join a new formation. It joins only
// if it is blank and one of the formation's voters.
func (s State) Found(req *wire.FoundRequest) ([]Record, *wire.FoundResponse) {
	if s.Formation != "" || !slices.Contains(req.Voters, s.Self) {
		return nil, &wire.FoundResponse{
			Joined:    s.Formation == req.Formation,
			Formation: s.Formation,
			Standing:  s.Standing(),
		}
	}
	joined := FormationJoined{Formation: req.Formation, Voters: req.Voters}
	return []Record{joined}, &wire.FoundResponse{
		Joined:    true,
		Formation: req.Formation,
		Standing:  joined.Apply(s).Standing(),
	}
}

// JoinProbedFormation decides whether a core that does not vote yet joins the formation that
// another core reported in its answer to a probe. A blank core joins any formation
// that lists it as a voter. A core that has joined a formation switches only if it
// knows of no announced incarnation in its own and either the answer reports one in
// the other formation or the other ID is lower. A core that has announced its own
// incarnation never switches: other cores may have recorded the incarnation, and since
// switching discards it, the core would return as one that lost its disk.
func (s State) JoinProbedFormation(probe *wire.RecoverResponse) (Record, bool) {
	if s.Incarnation() != 0 || probe.Formation == "" || probe.Formation == s.Formation {
		return nil, false
	}
	if !slices.Contains(probe.Voters, s.Self) {
		return nil, false
	}
	if s.Formation != "" {
		announcedHere := len(s.Incarnations) > 0 || s.AnnouncedIncarnation > 0
		announcedThere := len(probe.Lives) > 0
		if announcedHere || !announcedThere && probe.Formation > s.Formation {
			return nil, false
		}
	}
	return FormationJoined{Formation: probe.Formation, Voters: probe.Voters}, true
}

// FoundFormation decides whether this core founds the first formation. That requires
// voterCount cores, all of them reachable and blank, of which this core has the lowest
// name. Probes holds the answers of all other known cores to a probe; a missing answer
// is nil. The snapshot is the latest agreed state that any process still holds, or nil.
func (s State) FoundFormation(formationID string, voterCount int, probes map[string]*wire.RecoverResponse, snapshotSlot uint64, snapshot []byte) (Record, bool) {
	if s.Formation != "" {
		return nil, false
	}
	names := append(slices.Collect(maps.Keys(probes)), s.Self)
	slices.Sort(names)
	if len(names) < voterCount || names[0] != s.Self {
		return nil, false
	}
	for _, answer := range probes {
		if answer == nil || apierror.Code(answer.Refusal) != apierror.CoreBlank {
			return nil, false
		}
	}
	return FormationJoined{Formation: formationID, Voters: names[:voterCount], SnapshotSlot: snapshotSlot, Snapshot: snapshot}, true
}
