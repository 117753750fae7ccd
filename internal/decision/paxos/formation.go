package paxos

import (
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Found answers an invitation into a first formation.
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

// JoinProbed decides whether a core that doesn't vote yet joins the formation of
// a probe's answer. A blank core joins any that names it. One that waits in
// another formation changes over only if that one has voting cores and its own
// has none or, with none in either, if that one's id is the lower. It stays
// once it has announced its own disk incarnation, which others may have recorded: it
// would forget it, and come back as a core that lost its disk.
func (s State) JoinProbed(probe *wire.RecoverResponse) (Record, bool) {
	if s.Incarnation() != 0 || probe.Formation == "" || probe.Formation == s.Formation {
		return nil, false
	}
	if !slices.Contains(probe.Voters, s.Self) {
		return nil, false
	}
	if s.Formation != "" {
		enteredHere := len(s.Incarnations) > 0 || s.AnnouncedIncarnation > 0
		enteredThere := len(probe.Lives) > 0
		if enteredHere || !enteredThere && probe.Formation > s.Formation {
			return nil, false
		}
	}
	return FormationJoined{Formation: probe.Formation, Voters: probe.Voters}, true
}

// FoundFormation decides whether this core founds the first formation: it needs
// the given number of cores, all of them present and blank, and the lowest name
// among them. Present holds the answers of every other known core to a probe; a
// missing answer is nil. The snapshot, at its slot, is the highest agreed state
// that any process still has, if there is one.
func (s State) FoundFormation(id string, count int, present map[string]*wire.RecoverResponse, slot uint64, snapshot []byte) (Record, bool) {
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
	return FormationJoined{Formation: id, Voters: names[:count], SnapshotSlot: slot, Snapshot: snapshot}, true
}
