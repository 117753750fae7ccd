package paxos

import (
	"bytes"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// maxFetchBytes limits the total size of the commands in a FetchResponse. A single
// larger command is still returned.
const maxFetchBytes = 4 << 20

// Learn handles chosen values. Behind reports whether this core lacks values of
// earlier slots, which must be fetched from the sender.
func (s State) Learn(req *wire.LearnRequest) (records []Record, resp *wire.LearnResponse, behind bool) {
	if s.checkVoting(req.Formation) != apierror.OK {
		return nil, &wire.LearnResponse{Learned: s.HighestLearnedSlot()}, false
	}
	nextSlot := s.HighestLearnedSlot() + 1
	for _, chosen := range req.Chosen {
		switch {
		case chosen.Epoch > nextSlot:
			behind = true
		case chosen.Epoch == nextSlot:
			slot := s.OpenSlots[nextSlot]
			asAccepted := !slot.Accepted.IsZero() && bytes.Equal(slot.Value, chosen.Command)
			records = append(records, Learned{Slot: nextSlot, Value: chosen.Command, AsAccepted: asAccepted})
			nextSlot++
		}
	}
	return records, &wire.LearnResponse{Learned: nextSlot - 1}, behind
}

// Read returns the highest slot that this core has learned, and the highest in
// which it has learned or accepted a value.
func (s State) Read(req *wire.ReadRequest) *wire.ReadResponse {
	resp := &wire.ReadResponse{
		Core:    s.Self,
		Learned: s.HighestLearnedSlot(),
		Highest: s.HighestSlot(),
		Life:    s.Incarnations[req.Core],
	}
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		resp.Refusal = uint32(code)
	}
	return resp
}

// Fetch returns the chosen values after a slot, preceded by a snapshot if some of
// them are already compacted. The size of the response is limited: if its Learned
// is above its last slot, there are more values to fetch. Fetch returns an error if
// the core does not vote in the formation.
func (s State) Fetch(req *wire.FetchRequest) (*wire.FetchResponse, *apierror.Error) {
	if code := s.checkVoting(req.Formation); code != apierror.OK {
		return nil, apierror.Errorf(code, "fetch from core %s for formation %q refused: the core is in formation %q with disk incarnation %d", s.Self, req.Formation, s.Formation, s.Incarnation())
	}
	resp := &wire.FetchResponse{Learned: s.HighestLearnedSlot()}
	precedingSlot := req.After
	if precedingSlot < s.SnapshotSlot {
		resp.SnapshotEpoch = s.SnapshotSlot
		resp.Snapshot = s.Snapshot
		precedingSlot = s.SnapshotSlot
	}
	if precedingSlot >= s.HighestLearnedSlot() {
		return resp, nil
	}
	size := 0
	for _, chosen := range s.Chosen[precedingSlot-s.SnapshotSlot:] {
		size += len(chosen.Command)
		if size > maxFetchBytes && len(resp.Chosen) > 0 {
			break
		}
		resp.Chosen = append(resp.Chosen, chosen)
	}
	return resp, nil
}

// HandleFetch returns the records to persist for a FetchResponse; none if the core
// does not vote yet.
func (s State) HandleFetch(resp *wire.FetchResponse) []Record {
	if s.Incarnation() == 0 {
		return nil
	}
	var records []Record
	if resp.SnapshotEpoch > s.HighestLearnedSlot() {
		installed := SnapshotInstalled{Slot: resp.SnapshotEpoch, Snapshot: resp.Snapshot}
		records = append(records, installed)
		s = installed.Apply(s)
	}
	learned, _, _ := s.Learn(&wire.LearnRequest{Formation: s.Formation, Chosen: resp.Chosen})
	return append(records, learned...)
}
