package follower

import (
	"slices"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
)

// noticeVerdict logs when what the node rules by changes.
func (f *Follower) noticeVerdict(verdict lease.Authority) {
	if verdict.Source == f.ruledBy {
		return
	}
	was := f.ruledBy
	f.ruledBy = verdict.Source
	version := f.state.Version
	if was == lease.SourceLease {
		f.log.Emit(events.LeaseLapsed, "epoch", version)
	}
	switch verdict.Source {
	case lease.SourceLease:
		f.log.Emit(events.LeaseGained, "epoch", version)
	case lease.SourceRoster:
		f.log.Emit(events.RulingByRoster, "epoch", version)
	}
	if (was == lease.SourceNone || was == "") != (verdict.Source == lease.SourceNone) {
		if verdict.Granted {
			f.log.Emit(events.RulingRegained, "by", verdict.Source, "epoch", version)
		} else {
			f.log.Emit(events.RulingLost, "epoch", version)
		}
	}
}

// noticeState logs what a newer state takes away or gives back.
func (f *Follower) noticeState(old, state sheet.State) {
	f.log.Emit(events.VersionLearned, "epoch", state.Version, "sheet_epoch", state.SheetVersion)
	for zone := range state.Evacuated {
		if _, before := old.Evacuated[zone]; !before {
			f.log.Emit(events.ZoneEvacuated, "locality", zone, "epoch", state.Version)
		}
	}
	for zone := range old.Evacuated {
		if _, still := state.Evacuated[zone]; !still {
			f.log.Emit(events.ZoneRestored, "locality", zone, "epoch", state.Version)
		}
	}
	if old.Sheet == nil || state.Sheet == nil || old.Sheet == state.Sheet {
		return
	}
	for name, tenant := range old.Sheet.Tenants {
		kept := state.Sheet.Tenants[name].KeyHashes
		for _, hash := range tenant.KeyHashes {
			if !slices.Contains(kept, hash) {
				f.log.Emit(events.KeyRevoked, "tenant", name, "epoch", state.Version)
			}
		}
	}
}

// presence is how a peer last met a ping.
type presence string

const (
	answers presence = "answers"
	silent  presence = "silent"
	refuses presence = "refuses"
)

// noticePeer logs when a peer's presence changes or it has restarted.
func (f *Follower) noticePeer(name string, now presence, incarnation uint64) {
	was, known := f.presence[name]
	f.presence[name] = now
	if now == answers {
		if before := f.lives[name]; before != 0 && incarnation > before {
			f.log.Emit(events.PeerRestarted, "peer", name, "incarnation", incarnation)
		}
		f.lives[name] = max(f.lives[name], incarnation)
	}
	if was == now || (!known && now == answers) {
		return
	}
	switch now {
	case answers:
		f.log.Emit(events.PeerBack, "peer", name)
	case refuses:
		f.log.Emit(events.PeerRefused, "peer", name)
	case silent:
		f.log.Emit(events.PeerSilent, "peer", name)
	}
}
