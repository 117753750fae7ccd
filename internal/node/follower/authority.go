package follower

import (
	"time"

	"stepwick/internal/decision/lease"
)

// confirmedVersion is what this front's pings say of its configuration.
type confirmedVersion struct {
	version     uint64
	unconfirmed bool // no majority has confirmed any version since the start
}

// HasAuthority reports whether the front may decide by its view at this very
// moment. It compares the clock with the instant that updateAuthority published, so
// a reader waits for nobody, and a process that was suspended and resumed finds its
// lease expired.
func (f *Follower) HasAuthority() bool { return f.clock.Now().Before(*f.validUntil.Load()) }

// updateAuthority publishes until when the front may decide. The owner calls it
// after whatever may change that: an answer to a renewal or ping, a new version, the
// tick of the pings and the end of the process.
func (f *Follower) updateAuthority() {
	f.checkFleetTime()
	authority := f.holder.Authority(f.clock.Now())
	if f.leaving || !f.FleetTimeReady() {
		authority = lease.Authority{Source: f.authoritySource}
	}
	until := time.Time{}
	if authority.Granted {
		until = authority.Until
	}
	f.validUntil.Store(&until)
	f.confirmed.Store(&confirmedVersion{version: f.configuration.state.Version, unconfirmed: f.holder.Unconfirmed()})
	f.logAuthority(authority)
	if authority.Granted != f.hasAuthority {
		f.hasAuthority = authority.Granted
		f.publish()
	}
}
