package follower

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

const (
	// minLargeRoster is the size of the roster from which a front renews at one
	// core that relays the renewal to the others. In a small fleet renewals go to
	// every core directly, which costs little.
	minLargeRoster = maxSmallRoster + 1
	// relayTimeout bounds a relayed renewal. The current lease outlasts a relayed
	// renewal that times out, the direct renewals that follow it, and one more
	// round of renewals.
	relayTimeout = 700 * time.Millisecond
	// directRenewalPeriod is how long renewals go to every core directly after a
	// relayed renewal was not granted by a majority.
	directRenewalPeriod = 3 * time.Second
)

// isLargeFleet reports whether the fleet is large enough for relayed renewals.
func (f *Follower) isLargeFleet() bool { return len(f.view.Load().Roster) >= minLargeRoster }

// renewAll renews the lease at all cores, through a relay if one is available.
func (f *Follower) renewAll() {
	f.holder.SetCores(f.voters())
	if relay, ok := f.chooseRelay(f.clock.Now()); ok {
		f.renewThroughRelay(relay)
	} else {
		f.renewDirectly()
	}
	f.updateAuthority()
}

// renewDirectly renews at each core with a separate call. In a large fleet standby
// cores are skipped, because their grants don't count.
func (f *Follower) renewDirectly() {
	voters := f.voters()
	for _, core := range f.peers.Cores() {
		if len(voters) > 0 && f.isLargeFleet() && !slices.Contains(voters, core.Name) {
			continue
		}
		f.renew(core)
	}
}

// chooseRelay returns the core through which this front renews. It returns false
// while the front is leaving, has no configuration or is unconfirmed, in a small
// fleet, for directRenewalPeriod after a relayed renewal failed, and if no core is
// suitable.
func (f *Follower) chooseRelay(now time.Time) (*wire.Process, bool) {
	mayRelay := !f.leaving && f.configuration.received && !f.holder.Unconfirmed()
	if !mayRelay || now.Before(f.renewals.directUntil) || !f.isLargeFleet() {
		return nil, false
	}
	return f.bestRelay(now)
}

// bestRelay returns a voting core in the front's zone, otherwise in its region,
// that is neither failing nor stale. Rendezvous hashing selects among several, so
// that fronts without a core in their zone spread over the others.
func (f *Follower) bestRelay(now time.Time) (*wire.Process, bool) {
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

// isBetterRelay reports whether one core of the front's region is preferred to
// another as a relay. zone is the front's zone.
func (f *Follower) isBetterRelay(core, other *wire.Process, zone string) bool {
	inZone := core.Zone == zone
	otherInZone := other.Zone == zone
	if inZone != otherInZone {
		return inZone
	}
	return rendezvous.Weight(core.Name, f.name) > rendezvous.Weight(other.Name, f.name)
}

// renewThroughRelay renews at one core, which renews at the others for this front.
// If no majority grants that, the front renews at every core itself, immediately
// and for directRenewalPeriod. A front whose configuration is outdated catches up
// first.
func (f *Follower) renewThroughRelay(relay *wire.Process) {
	call, started := f.beginRenewal(relay, relayTimeout, true)
	if !started {
		return
	}
	f.sendRenewal(call, func() {
		sufficient := call.err == nil && f.recordRelayedRenewal(call)
		renewAgain := f.renewals.clearRenewAgain(relay.Name)
		switch {
		case call.err == nil && renewAgain:
			f.renewAll()
		case !sufficient:
			f.renewals.directUntil = f.clock.Now().Add(directRenewalPeriod)
			f.renewDirectly()
		}
	})
}

// recordRelayedRenewal records the answers of all cores to a relayed renewal. It
// reports whether direct renewals can't achieve more: a majority granted the lease,
// or the front's configuration is outdated.
func (f *Follower) recordRelayedRenewal(call *renewalCall) bool {
	if call.resp.Who {
		return false
	}
	// The time for which the relay held the call is not network time.
	networkTime := call.roundTrip() - time.Duration(call.resp.HeldUs)*time.Microsecond
	answeredAt := call.returnedAt.Add(-max(networkTime, 0) / 2)
	grants := 0
	lagsBehind := false
	for _, answer := range append(call.resp.Others, call.resp) {
		core, known := f.peers.Process(answer.Core)
		if !known {
			continue
		}
		if answer.Granted {
			grants++
		}
		lagsBehind = lagsBehind || answer.Learned > call.req.Epoch
		f.recordRenewal(core, call, answeredAt, answer)
	}
	return lagsBehind || grants >= lease.Majority(len(f.voters()))
}
