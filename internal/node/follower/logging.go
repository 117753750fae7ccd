package follower

import (
	"slices"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// logAuthority logs a change of what the front's authority is based on.
func (f *Follower) logAuthority(authority lease.Authority) {
	if authority.Source == f.authoritySource {
		return
	}
	previous := f.authoritySource
	f.authoritySource = authority.Source
	version := f.configuration.state.Version
	if previous == lease.SourceLease {
		f.log.Emit(events.LeaseExpired, "epoch", version)
	}
	switch authority.Source {
	case lease.SourceLease:
		f.log.Emit(events.LeaseAcquired, "epoch", version)
	case lease.SourceRoster:
		f.log.Emit(events.AuthorityByRoster, "epoch", version)
	}
	hadNone := previous == lease.SourceNone || previous == ""
	hasNone := authority.Source == lease.SourceNone
	if hadNone == hasNone {
		return
	}
	if authority.Granted {
		f.log.Emit(events.AuthorityRegained, "by", authority.Source, "epoch", version)
	} else {
		f.log.Emit(events.AuthorityLost, "epoch", version)
	}
}

// logConfiguration logs what a newer configuration removes or restores.
func (f *Follower) logConfiguration(previous, state statemachine.State) {
	f.log.Emit(events.VersionLearned, "epoch", state.Version, "sheet_epoch", state.SheetVersion)
	for zone := range state.Evacuated {
		if _, before := previous.Evacuated[zone]; !before {
			f.log.Emit(events.ZoneEvacuated, "locality", zone, "epoch", state.Version)
		}
	}
	for zone := range previous.Evacuated {
		if _, still := state.Evacuated[zone]; !still {
			f.log.Emit(events.ZoneRestored, "locality", zone, "epoch", state.Version)
		}
	}
	if previous.Sheet == nil || state.Sheet == nil || previous.Sheet == state.Sheet {
		return
	}
	for name, tenant := range previous.Sheet.Tenants {
		remaining := state.Sheet.Tenants[name].KeyHashes
		for _, hash := range tenant.KeyHashes {
			if !slices.Contains(remaining, hash) {
				f.log.Emit(events.KeyRevoked, "tenant", name, "epoch", state.Version)
			}
		}
	}
}

// recordReachability takes how a peer responded to a ping, and logs a change or a
// restart. The incarnation counts only for a peer that answered.
func (f *Follower) recordReachability(name string, response reachability, incarnation uint64) {
	pings := f.membership.ping(name)
	previous := pings.reachability
	pings.reachability = response
	if response == answersPings {
		if pings.incarnation != 0 && incarnation > pings.incarnation {
			f.log.Emit(events.PeerRestarted, "peer", name, "incarnation", incarnation)
		}
		pings.incarnation = max(pings.incarnation, incarnation)
	}
	firstAnswer := previous == reachabilityUnknown && response == answersPings
	if previous == response || firstAnswer {
		return
	}
	switch response {
	case answersPings:
		f.log.Emit(events.PeerRecovered, "peer", name)
	case refusesConnections:
		f.log.Emit(events.PeerRefused, "peer", name)
	case unresponsive:
		f.log.Emit(events.PeerUnresponsive, "peer", name)
	}
}
