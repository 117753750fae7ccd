package follower

import (
	"time"

	"stepwick/internal/decision/lease"
)

// confirmedVersion is the configuration version that the front states in its pings
// and in its answers to pings.
type confirmedVersion struct {
	version     uint64
	unconfirmed bool // no majority of cores has confirmed a version since the start
}

// HasAuthority reports whether the front may serve with its view now. It compares
// the clock with the published expiry of the authority, so it never waits for the
// owner goroutine, and a process that resumes after a suspension does not rely on
// authority that has expired in the meantime.
func (f *Follower) HasAuthority() bool { return f.clock.Now().Before(*f.authorityUntil.Load()) }

// updateAuthority publishes when the front's authority expires. The owner calls it
// after every event that may change this: an answer to a renewal or a ping, a new
// version, a ping tick, and Leave.
func (f *Follower) updateAuthority() {
	f.updateFleetTimeReady()
	authority := f.holder.Authority(f.clock.Now())
	if f.leaving || !f.FleetTimeReady() {
		authority = lease.Authority{Source: f.authoritySource}
	}
	until := time.Time{}
	if authority.Granted {
		until = authority.Until
	}
	f.authorityUntil.Store(&until)
	f.confirmed.Store(&confirmedVersion{version: f.configuration.state.Version, unconfirmed: f.holder.Unconfirmed()})
	f.logAuthority(authority)
	if authority.Granted != f.hasAuthority {
		f.hasAuthority = authority.Granted
		f.publish()
	}
}
