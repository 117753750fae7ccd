package serverstatus

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/wire"
)

// Severity orders states by how much they keep requests away; the worst of the
// fresh sights is the state.
func Severity(state wire.ServerState) int {
	switch state {
	case wire.ServerState_SERVER_STATE_READY:
		return 1
	case wire.ServerState_SERVER_STATE_COLD:
		return 2
	case wire.ServerState_SERVER_STATE_DRAINING:
		return 3
	case wire.ServerState_SERVER_STATE_LEAVING:
		return 4
	case wire.ServerState_SERVER_STATE_GONE:
		return 5
	}
	return 0
}

func worst(a, b wire.ServerState) wire.ServerState {
	if Severity(b) > Severity(a) {
		return b
	}
	return a
}

func (e *entry) fold(name string, fresh int64) *wire.ServerStatus {
	held, ok := newestFold(e.sightings)
	if !ok {
		return fold(name, e.sightings, fresh)
	}
	since := map[string]sighting{}
	for watcher, s := range e.sightings {
		if _, sight := ParseWatcherID(watcher); sight != SourceMerged && s.at > held.at {
			since[watcher] = s
		}
	}
	return onFold(held, e.load, fold(name, since, fresh))
}

// onFold lays newer load and the front's own newer sights over a core's fold.
func onFold(held sighting, load *wire.Load, own *wire.ServerStatus) *wire.ServerStatus {
	status := proto.Clone(held.report.Status).(*wire.ServerStatus)
	if load != nil && load.Incarnation == status.Incarnation && load.AtMs > held.at {
		status.Running, status.Queued, status.Answered, status.KvUsed = load.Running, load.Queued, load.Answered, float64(load.KvUsed)
	}
	if own == nil {
		return status
	}
	status.State = worst(status.State, own.State)
	status.ColdUntilMs = max(status.ColdUntilMs, own.ColdUntilMs)
	if own.LeaveAtMs > 0 && (status.LeaveAtMs == 0 || own.LeaveAtMs < status.LeaveAtMs) {
		status.LeaveAtMs = own.LeaveAtMs
	}
	if own.Incarnation > status.Incarnation || (own.Incarnation == status.Incarnation && own.Answered > status.Answered) {
		status.Incarnation, status.Answered, status.Slots = own.Incarnation, own.Answered, own.Slots
		status.Running, status.Queued, status.KvUsed = own.Running, own.Queued, own.KvUsed
		status.TokensPerSecond, status.PrefillPerSecond = own.TokensPerSecond, own.PrefillPerSecond
	}
	return status
}

func newestFold(sightings map[string]sighting) (newest sighting, found bool) {
	for watcher, s := range sightings {
		if _, sight := ParseWatcherID(watcher); sight != SourceMerged {
			continue
		}
		if !found || s.at > newest.at || (s.at == newest.at && watcher > newest.report.Watcher) {
			newest, found = s, true
		}
	}
	return newest, found
}

func fold(name string, sightings map[string]sighting, fresh int64) *wire.ServerStatus {
	listed := counting(sightings, SourceList, fresh)
	own := outlived(counting(sightings, SourceServer, fresh), listed, fresh)
	place := identity(listed, own)
	if place == nil {
		return nil
	}
	status := &wire.ServerStatus{Name: name, Address: place.Address, Kind: place.Kind, Services: place.Services,
		Region: place.Region, Zone: place.Zone}
	for _, s := range listed {
		said := s.report.Status
		status.State = worst(status.State, said.State)
		status.Slots = max(status.Slots, said.Slots)
		status.ColdUntilMs = max(status.ColdUntilMs, said.ColdUntilMs)
		if said.LeaveAtMs > 0 && (status.LeaveAtMs == 0 || said.LeaveAtMs < status.LeaveAtMs) {
			status.LeaveAtMs = said.LeaveAtMs
		}
	}
	foldOwn(status, own)
	if status.State == wire.ServerState_SERVER_STATE_UNSPECIFIED && status.Reachable {
		status.State = wire.ServerState_SERVER_STATE_READY
	}
	return status
}

func foldOwn(status *wire.ServerStatus, own []sighting) {
	refused, silent := 0, 0
	var load *wire.ServerStatus
	for _, s := range own {
		said := s.report.Status
		switch {
		case !said.Reachable && said.State == wire.ServerState_SERVER_STATE_GONE:
			refused++
		case !said.Reachable:
			silent++
		default:
			status.State = worst(status.State, said.State)
			if load == nil || said.Incarnation > load.Incarnation {
				load = said
			}
		}
	}
	if refused > 0 && refused == len(own) {
		status.State = wire.ServerState_SERVER_STATE_GONE
	}
	status.Reachable = 2*(refused+silent) <= len(own)
	if load == nil {
		return
	}
	status.Incarnation, status.Answered = load.Incarnation, load.Answered
	status.Slots, status.Running, status.Queued = load.Slots, load.Running, load.Queued
	status.TokensPerSecond, status.PrefillPerSecond, status.KvUsed = load.TokensPerSecond, load.PrefillPerSecond, load.KvUsed
}

func counting(sightings map[string]sighting, kind Source, fresh int64) []sighting {
	var all []sighting
	for watcher, s := range sightings {
		if _, sight := ParseWatcherID(watcher); sight == kind {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b sighting) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.report.Watcher, b.report.Watcher))
	})
	for i, s := range all {
		if s.at < all[0].at-fresh {
			return all[:i]
		}
	}
	return all
}

// outlived drops the word that a server is silent once the list has been seen
// so much later that whoever said so would have said it again.
func outlived(own, listed []sighting, fresh int64) []sighting {
	if len(listed) == 0 {
		return own
	}
	return slices.DeleteFunc(own, func(s sighting) bool {
		silent := !s.report.Status.Reachable && s.report.Status.State == wire.ServerState_SERVER_STATE_UNSPECIFIED
		return silent && s.at < listed[0].at-fresh
	})
}

func identity(listed, own []sighting) *wire.ServerStatus {
	for _, sights := range [][]sighting{listed, own} {
		for _, s := range sights {
			if s.report.Status.Address != "" {
				return s.report.Status
			}
		}
	}
	return nil
}

func same(a, b *wire.ServerStatus) bool {
	if a == nil || b == nil {
		return a == b
	}
	return proto.Equal(a, b)
}
