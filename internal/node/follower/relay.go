package follower

import (
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

const (
	// relayFrom is the size of the roster from which a front renews at one core that
	// has the others renew too. A small fleet's renewals cost nothing and go to every
	// core directly.
	relayFrom = 33
	// relayTimeout bounds a relayed renewal. The lease that stands covers it, the
	// renewal at every core that follows when it fails, and one more.
	relayTimeout = 700 * time.Millisecond
	// directFor is how long renewals go to every core after a relayed one brought no
	// majority.
	directFor = 3 * time.Second
)

// renewAll renews the lease at all cores, through one of them where that is due.
func (f *Follower) renewAll() {
	f.holder.SetCores(f.voters())
	if relay, ok := f.relay(f.clock.Now()); ok {
		f.renewBy(relay)
	} else {
		f.renewDirectly()
	}
	f.judge()
}

// renewDirectly renews at each core. In a large fleet cores that stand by are left
// out: they have no part in a lease.
func (f *Follower) renewDirectly() {
	voters := f.voters()
	for _, core := range f.peers.Cores() {
		if len(voters) > 0 && f.isLarge() && !slices.Contains(voters, core.Name) {
			continue
		}
		f.renew(core)
	}
}

func (f *Follower) isLarge() bool { return len(f.view.Load().Roster) >= relayFrom }

// relay returns the core that this front's renewals go through; none while the
// front is unconfirmed, in a small fleet, or of late in vain.
func (f *Follower) relay(now time.Time) (*wire.Process, bool) {
	if f.left || !f.held || f.holder.Unconfirmed() || now.Before(f.directUntil) || !f.isLarge() {
		return nil, false
	}
	return f.nearest(now)
}

// nearest returns a voting core of the own zone, else of the own region, that has
// renewed of late. Fronts whose own zone has none spread over the others.
func (f *Follower) nearest(now time.Time) (*wire.Process, bool) {
	own, voters := f.config.Self(), f.voters()
	var best *wire.Process
	rank := func(core *wire.Process) (sameZone bool, weight uint64) {
		return core.Zone == own.Zone, rendezvous.Weight(core.Name, f.name)
	}
	for _, core := range f.peers.Cores() {
		fresh := now.Sub(f.holder.RenewedAt(core.Name)) < f.config.CoreStaleFor
		if core.Region != own.Region || f.failing[core.Name] || !fresh || !slices.Contains(voters, core.Name) {
			continue
		}
		if best == nil {
			best = core
			continue
		}
		zone, weight := rank(core)
		bestZone, bestWeight := rank(best)
		if zone && !bestZone || zone == bestZone && weight > bestWeight {
			best = core
		}
	}
	return best, best != nil
}

// renewBy renews at one core and has it renew at the others. Where that brings no
// majority the front asks every core itself, at once and for a while; one that is
// behind takes up what it lacks first.
func (f *Follower) renewBy(core *wire.Process) {
	call, begun := f.beginRenewal(core, relayTimeout, true)
	if !begun {
		return
	}
	f.send(call, func() {
		enough := call.err == nil && f.takeRelayed(call)
		again := f.takeAgain(core)
		switch {
		case call.err == nil && again:
			f.renewAll()
		case !enough:
			f.directUntil = f.clock.Now().Add(directFor)
			f.renewDirectly()
		}
	})
}

// takeRelayed takes the answers of all cores to a relayed renewal. It tells
// whether no other way would have brought more: a majority gave the lease, or the
// front is behind.
func (f *Follower) takeRelayed(call *renewal) bool {
	if call.resp.Who {
		return false
	}
	travelled := call.back.Sub(call.sent) - time.Duration(call.resp.HeldUs)*time.Microsecond
	answered := call.back.Add(-max(travelled, 0) / 2)
	granted, behind := 0, false
	for _, answer := range append(call.resp.Others, call.resp) {
		core, known := f.peers.Process(answer.Core)
		if !known {
			continue
		}
		if answer.Granted {
			granted++
		}
		behind = behind || answer.Learned > call.req.Epoch
		f.renewed(core, call, answered, answer)
	}
	return behind || granted >= lease.Majority(len(f.voters()))
}
