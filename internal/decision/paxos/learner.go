package paxos

import (
	"bytes"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// maxFetchBytes limits the commands in one response to a Fetch. A single larger
// command is still returned.
const maxFetchBytes = 4 << 20

// Learn takes in chosen values. Behind reports that the values of slots before
// them are missing here, to be fetched from the sender.
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
			slot := s.OpenSlots[next]
			accepted := !slot.Accepted.IsZero() && bytes.Equal(slot.Value, chosen.Command)
			records = append(records, Learned{Slot: next, Command: chosen.Command, AsAccepted: accepted})
			next++
		}
	}
	return records, &wire.LearnResponse{Learned: next - 1}, behind
}

// Read returns the highest slots that this core has learned and accepted.
func (s State) Read(req *wire.ReadRequest) *wire.ReadResponse {
	resp := &wire.ReadResponse{
		Core:    s.Self,
		Learned: s.Learned(),
		Highest: s.HighestSlot(),
		Life:    s.Incarnations[req.Core],
	}
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		resp.Refusal = uint32(code)
	}
	return resp
}

// Fetch returns the chosen values after a slot, and a snapshot before them when
// some of them are already compacted. The response is limited in size: there is
// more to fetch when its Learned is above its last slot.
func (s State) Fetch(req *wire.FetchRequest) (*wire.FetchResponse, *apierror.Error) {
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		return nil, apierror.Errorf(code, "core %s", s.Self)
	}
	resp := &wire.FetchResponse{Learned: s.Learned()}
	after := req.After
	if after < s.SnapshotSlot {
		resp.SnapshotEpoch = s.SnapshotSlot
		resp.Snapshot = s.Snapshot
		after = s.SnapshotSlot
	}
	if after >= s.Learned() {
		return resp, nil
	}
	size := 0
	for _, chosen := range s.Chosen[after-s.SnapshotSlot:] {
		size += len(chosen.Command)
		if size > maxFetchBytes && len(resp.Chosen) > 0 {
			break
		}
		resp.Chosen = append(resp.Chosen, chosen)
	}
	return resp, nil
}

// HandleFetch returns the records that a response to a Fetch makes durable.
func (s State) HandleFetch(resp *wire.FetchResponse) []Record {
	if s.Incarnation() == 0 {
		return nil
	}
	var records []Record
	if resp.SnapshotEpoch > s.Learned() {
		installed := SnapshotInstalled{Slot: resp.SnapshotEpoch, Snapshot: resp.Snapshot}
		records = append(records, installed)
		s = installed.Apply(s)
	}
	learned, _, _ := s.Learn(&wire.LearnRequest{Formation: s.Formation, Chosen: resp.Chosen})
	return append(records, learned...)
}
