package paxos

import (
	"bytes"
	"maps"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// maxFetchBytes bounds the commands of one answer to a Fetch.
const maxFetchBytes = 4 << 20

// Prepare decides on a ballot's opening. A ballot is promised once: the same
// one again is refused, so that a core that forgot its own unsynced ballot
// in a crash cannot open it a second time.
func (s State) Prepare(req *wire.PrepareRequest) ([]Record, *wire.PrepareResponse) {
	resp := &wire.PrepareResponse{Core: s.Self, Learned: s.Learned(), Lives: maps.Clone(s.Incarnations)}
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		resp.Refusal = uint32(code)
		return nil, resp
	}
	if req.Slot <= s.Learned() {
		resp.ChosenValue, resp.Chosen = s.Command(req.Slot)
		if !resp.Chosen {
			resp.Refusal = uint32(apierror.VersionBehind)
		}
		return nil, resp
	}
	vote, asked := s.OpenSlots[req.Slot], BallotFromWire(req.Ballot)
	if !vote.Promised.Less(asked) {
		resp.PromisedBallot = vote.Promised.ToWire()
		return nil, resp
	}
	resp.Promised, resp.PromisedBallot = true, asked.ToWire()
	resp.AcceptedBallot, resp.AcceptedValue = vote.Accepted.ToWire(), vote.Value
	return []Record{Promised{Slot: req.Slot, Ballot: asked}}, resp
}

// Accept decides on a value. It is refused below the promise, and when it
// rests on the promise of a core whose disk is known to be lost since.
func (s State) Accept(req *wire.AcceptRequest) ([]Record, *wire.AcceptResponse) {
	resp := &wire.AcceptResponse{Core: s.Self, Learned: s.Learned(), Lives: maps.Clone(s.Incarnations)}
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		resp.Refusal = uint32(code)
		return nil, resp
	}
	if req.Slot <= s.Learned() {
		resp.ChosenValue, resp.Chosen = s.Command(req.Slot)
		if !resp.Chosen {
			resp.Refusal = uint32(apierror.VersionBehind)
		}
		return nil, resp
	}
	for core, life := range req.PromisedLives {
		if s.Incarnations[core] > life {
			resp.Refusal = uint32(apierror.CoreAmnesiac)
			return nil, resp
		}
	}
	vote, asked := s.OpenSlots[req.Slot], BallotFromWire(req.Ballot)
	resp.PromisedBallot = vote.Promised.ToWire()
	switch {
	case asked.Less(vote.Promised):
		return nil, resp
	case asked == vote.Accepted && !bytes.Equal(vote.Value, req.Value):
		resp.Refusal = uint32(apierror.Internal)
		return nil, resp
	case asked == vote.Accepted:
		resp.Accepted = true
		return nil, resp
	}
	resp.Accepted, resp.PromisedBallot = true, asked.ToWire()
	return []Record{Accepted{Slot: req.Slot, Ballot: asked, Value: req.Value}}, resp
}

// Learn takes chosen versions in. Behind tells that versions before them are
// missing here, to be fetched from the sender.
func (s State) Learn(req *wire.LearnRequest) (records []Record, resp *wire.LearnResponse, behind bool) {
	if s.checkVoting(req.Formation) != apierror.OK {
		return nil, &wire.LearnResponse{Learned: s.Learned()}, false
	}
	next := s.Learned() + 1
	for _, chosen := range req.Chosen {
		switch {
		case chosen.Epoch > next:
			behind = true
		case chosen.Epoch == next:
			vote := s.OpenSlots[next]
			same := !vote.Accepted.IsZero() && bytes.Equal(vote.Value, chosen.Command)
			records = append(records, Learned{Slot: next, Command: chosen.Command, AsAccepted: same})
			next++
		}
	}
	return records, &wire.LearnResponse{Learned: next - 1}, behind
}

// Read tells how far the core has learned and accepted.
func (s State) Read(req *wire.ReadRequest) *wire.ReadResponse {
	resp := &wire.ReadResponse{Core: s.Self, Learned: s.Learned(), Highest: s.HighestSlot(), Life: s.Incarnations[req.Core]}
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		resp.Refusal = uint32(code)
	}
	return resp
}

// Fetch gives versions after a place, after a snapshot where those are no longer
// kept singly. The answer is bounded; Learned above its last version says there
// is more.
func (s State) Fetch(req *wire.FetchRequest) (*wire.FetchResponse, *apierror.Error) {
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		return nil, apierror.Errorf(code, "core %s", s.Self)
	}
	resp := &wire.FetchResponse{Learned: s.Learned()}
	after := req.After
	if after < s.SnapshotSlot {
		resp.SnapshotEpoch, resp.Snapshot = s.SnapshotSlot, s.Snapshot
		after = s.SnapshotSlot
	}
	if after >= s.Learned() {
		return resp, nil
	}
	size := 0
	for _, chosen := range s.Chosen[after-s.SnapshotSlot:] {
		if size += len(chosen.Command); size > maxFetchBytes && len(resp.Chosen) > 0 {
			break
		}
		resp.Chosen = append(resp.Chosen, chosen)
	}
	return resp, nil
}

// HandleFetch turns a Fetch's answer into records.
func (s State) HandleFetch(resp *wire.FetchResponse) []Record {
	if s.Incarnation() == 0 {
		return nil
	}
	var records []Record
	if resp.SnapshotEpoch > s.Learned() {
		records = append(records, SnapshotInstalled{Slot: resp.SnapshotEpoch, Snapshot: resp.Snapshot})
		s = records[0].Apply(s)
	}
	more, _, _ := s.Learn(&wire.LearnRequest{Formation: s.Formation, Chosen: resp.Chosen})
	return append(records, more...)
}

// Found decides on an invitation into a first formation.
func (s State) Found(req *wire.FoundRequest) ([]Record, *wire.FoundResponse) {
	if s.Formation == "" && slices.Contains(req.Voters, s.Self) {
		join := FormationJoined{Formation: req.Formation, Voters: req.Voters}
		return []Record{join}, &wire.FoundResponse{Joined: true, Formation: req.Formation, Standing: join.Apply(s).Standing()}
	}
	return nil, &wire.FoundResponse{Joined: s.Formation == req.Formation, Formation: s.Formation, Standing: s.Standing()}
}
