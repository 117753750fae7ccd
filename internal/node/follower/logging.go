package follower

import (
	"slices"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// logAuthority logs a change of the source of the front's authority.
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
	lackedAuthority := previous == lease.SourceNone || previous == ""
	lacksAuthority := authority.Source == lease.SourceNone
	if lackedAuthority == lacksAuthority {
		return
	}
	if authority.Granted {
		f.log.Emit(events.AuthorityRegained, "by", authority.Source, "epoch", version)
	} else {
		f.log.Emit(events.AuthorityLost, "epoch", version)
	}
}

// logConfiguration logs the version of a newer configuration, the zones that it
// evacuates or restores, and the keys that it revokes.
func (f *Follower) logConfiguration(previous, state statemachine.State) {
	f.log.Emit(events.VersionLearned, "epoch", state.Version, "sheet_epoch", state.SheetVersion)
	for zone := range state.Evacuated {
		if _, wasEvacuated := previous.Evacuated[zone]; !wasEvacuated {
			f.log.Emit(events.ZoneEvacuated, "locality", zone, "epoch", state.Version)
		}
	}
	for zone := range previous.Evacuated {
		if _, stillEvacuated := state.Evacuated[zone]; !stillEvacuated {
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

// recordReachability records how a peer responded to a ping, and logs when this
// changes or when the peer was restarted. The incarnation is used only if the peer
// answered.
func (f *Follower) recordReachability(name string, observed reachability, incarnation uint64) {
	pings := f.membership.ensurePings(name)
	previous := pings.reachability
	pings.reachability = observed
	if observed == reachabilityAnswering {
		if pings.incarnation != 0 && incarnation > pings.incarnation {
			f.log.Emit(events.PeerRestarted, "peer", name, "incarnation", incarnation)
		}
		pings.incarnation = max(pings.incarnation, incarnation)
	}
	firstAnswer := previous == reachabilityUnknown && observed == reachabilityAnswering
	if previous == observed || firstAnswer {
		return
	}
	switch observed {
	case reachabilityAnswering:
		f.log.Emit(events.PeerRecovered, "peer", name)
	case reachabilityRefusing:
		f.log.Emit(events.PeerRefused, "peer", name)
	case reachabilityUnresponsive:
		f.log.Emit(events.PeerUnresponsive, "peer", name)
	}
}
