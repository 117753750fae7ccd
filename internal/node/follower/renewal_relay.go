package follower

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

const (
	// largeRoster is the size of the roster from which a front renews at one core
	// that relays the renewal to the others. In a small fleet renewals go to every
	// core directly, which costs little.
	largeRoster = smallRoster + 1
	// relayTimeout bounds a relayed renewal. The current lease outlasts it, the
	// renewal at every core that follows when it fails, and one more.
	relayTimeout = 700 * time.Millisecond
	// directRenewalPeriod is how long renewals go to every core after a relayed one
	// brought no majority.
	directRenewalPeriod = 3 * time.Second
)

// isLarge reports whether the fleet is one whose renewals are relayed.
func (f *Follower) isLarge() bool { return len(f.view.Load().Roster) >= largeRoster }

// renewAll renews the lease at all cores, through a relay where there is one.
func (f *Follower) renewAll() {
	f.holder.SetCores(f.voters())
	if relay, ok := f.relay(f.clock.Now()); ok {
		f.renewThrough(relay)
	} else {
		f.renewDirectly()
	}
	f.updateAuthority()
}

// renewDirectly renews at each core. In a large fleet standby cores are left out,
// as their grants don't count.
func (f *Follower) renewDirectly() {
	voters := f.voters()
	for _, core := range f.peers.Cores() {
		if len(voters) > 0 && f.isLarge() && !slices.Contains(voters, core.Name) {
			continue
		}
		f.renew(core)
	}
}

// relay returns the core through which this front renews. There is none while the
// front is unconfirmed, in a small fleet, and for a while after a relayed renewal
// failed.
func (f *Follower) relay(now time.Time) (*wire.Process, bool) {
	relayable := !f.leaving && f.configuration.learned && !f.holder.Unconfirmed()
	if !relayable || now.Before(f.renewals.directUntil) || !f.isLarge() {
		return nil, false
	}
	return f.nearestCore(now)
}

// nearestCore returns a voting core of the own zone, else of the own region, whose
// last renewal is not stale. Fronts whose own zone has none are spread over the
// others by rendezvous hashing.
func (f *Follower) nearestCore(now time.Time) (*wire.Process, bool) {
	self := f.config.Self()
	voters := f.voters()
	var best *wire.Process
	for _, core := range f.peers.Cores() {
		isFresh := now.Sub(f.holder.RenewedAt(core.Name)) < f.config.CoreStaleAfter
		if core.Region != self.Region || f.renewals.isFailing(core.Name) || !isFresh || !slices.Contains(voters, core.Name) {
			continue
		}
		if best == nil || f.isBetterRelay(core, best, self.Zone) {
			best = core
		}
	}
	return best, best != nil
}

// isBetterRelay reports whether a core of the own region goes before another.
func (f *Follower) isBetterRelay(core, other *wire.Process, zone string) bool {
	inZone := core.Zone == zone
	otherInZone := other.Zone == zone
	if inZone != otherInZone {
		return inZone
	}
	return rendezvous.Weight(core.Name, f.name) > rendezvous.Weight(other.Name, f.name)
}

// renewThrough renews at one core and has it renew at the others. Where that brings
// no majority the front renews at every core itself, at once and for a while; one
// that lags behind catches up first.
func (f *Follower) renewThrough(relay *wire.Process) {
	call, begun := f.beginRenewal(relay, relayTimeout, true)
	if !begun {
		return
	}
	f.sendRenewal(call, func() {
		sufficient := call.err == nil && f.recordRelayedRenewal(call)
		again := f.renewals.takeRenewAgain(relay.Name)
		switch {
		case call.err == nil && again:
			f.renewAll()
		case !sufficient:
			f.renewals.directUntil = f.clock.Now().Add(directRenewalPeriod)
			f.renewDirectly()
		}
	})
}

// recordRelayedRenewal takes the answers of all cores to a relayed renewal. It
// reports whether direct renewals would not have brought more: a majority granted
// the lease, or the front lags behind.
func (f *Follower) recordRelayedRenewal(call *renewalCall) bool {
	if call.resp.Who {
		return false
	}
	// What the relay held the call for is not part of its way there and back.
	travelled := call.roundTrip() - time.Duration(call.resp.HeldUs)*time.Microsecond
	answeredAt := call.returnedAt.Add(-max(travelled, 0) / 2)
	granted := 0
	behind := false
	for _, answer := range append(call.resp.Others, call.resp) {
		core, known := f.peers.Process(answer.Core)
		if !known {
			continue
		}
		if answer.Granted {
			granted++
		}
		behind = behind || answer.Learned > call.req.Epoch
		f.recordRenewal(core, call, answeredAt, answer)
	}
	return behind || granted >= lease.Majority(len(f.voters()))
}
