package lease

import (
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// releaseRetention is how long a release is remembered, so that a renewal that
// was on its way when the member released its lease doesn't restore it.
const releaseRetention = time.Minute

// Table is a core's side of leases: what it granted, and which members refuse
// connections. It is kept in memory alone: after a restart, whatever the former
// incarnation granted has expired once the core has been up for a TTL. It has
// one owner.
type Table struct {
	core      string
	ttl       time.Duration
	startedAt time.Time
	leases    map[string]*memberLease
	refusals  map[string]refusalStreak
	releases  map[string]release
}

// memberLease is what a core knows of a member that renews: its newest
// incarnation, what that said of itself and confirmed, and its lease.
type memberLease struct {
	member      statemachine.Member
	process     *wire.Process
	incarnation uint64
	// version is the highest one that this incarnation has confirmed.
	version uint64
	// expiresAt is when the lease ends; in the past, or zero, without a lease.
	expiresAt time.Time
	// contactAt is when the member last renewed or answered a ping.
	contactAt time.Time
}

// active reports whether the lease has not expired. It alone decides on the core's
// side that a lease has lapsed, and since the core counts from the arrival of the
// renewal, no earlier than the holder decides it by Holder.Authority.
func (l *memberLease) active(now time.Time) bool { return now.Before(l.expiresAt) }

// refusalStreak is a run of refused connections, each within a TTL of the last.
type refusalStreak struct {
	first time.Time
	last  time.Time
}

// release is a lease that its holder gave up.
type release struct {
	incarnation uint64
	at          time.Time
}

// NewTable returns the empty table of a core that starts now.
func NewTable(core string, ttl time.Duration, now time.Time) *Table {
	return &Table{
		core:      core,
		ttl:       ttl,
		startedAt: now,
		leases:    map[string]*memberLease{},
		refusals:  map[string]refusalStreak{},
		releases:  map[string]release{},
	}
}

// Renew renews the lease of a member that has confirmed the version that the core
// learned; any other gets the code VersionBehind and the learned version. A
// request without a process record, of an incarnation that is unknown here, is
// answered with Who, which requests the record. Renew must not be called before
// the core has caught up with a majority since its own start.
func (t *Table) Renew(req *wire.RenewRequest, learned uint64, now time.Time) *wire.RenewResponse {
	record := t.requestRecord(req)
	if record == nil {
		return &wire.RenewResponse{Core: t.core, TimeUs: now.UnixMicro(), Who: true}
	}
	resp := &wire.RenewResponse{
		Core:    t.core,
		Learned: learned,
		TtlMs:   uint32(t.ttl.Milliseconds()),
		TimeUs:  now.UnixMicro(),
	}
	if t.outdated(record) {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	lease := t.recordMember(record, now)
	lease.version = max(lease.version, req.Epoch)
	if req.Epoch == 0 || req.Epoch < learned {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	lease.expiresAt = now.Add(t.ttl)
	resp.Granted = true
	return resp
}

// outdated reports whether a record is of an incarnation that was released or
// that a later one replaced.
func (t *Table) outdated(record *wire.Process) bool {
	if released, ok := t.releases[record.Name]; ok && record.Incarnation <= released.incarnation {
		return true
	}
	lease, ok := t.leases[record.Name]
	return ok && record.Incarnation < lease.incarnation
}

// recordMember records contact with a member and the record that it sent. A later
// incarnation starts without the lease of the one before.
func (t *Table) recordMember(record *wire.Process, now time.Time) *memberLease {
	lease, ok := t.leases[record.Name]
	if !ok || record.Incarnation > lease.incarnation {
		lease = &memberLease{incarnation: record.Incarnation}
		t.leases[record.Name] = lease
	}
	if !SameProcess(lease.process, record) && !olderRecord(record, lease.process) {
		lease.process = record
	}
	lease.member = statemachine.Member{
		Name:   record.Name,
		Region: record.Region,
		Zone:   record.Zone,
		Core:   record.Core,
		Front:  record.Front,
	}
	lease.contactAt = now
	delete(t.refusals, record.Name)
	return lease
}

// RenewedMember returns the name of the member that a renewal is for, "" for none.
func RenewedMember(req *wire.RenewRequest) string {
	if req.Self != nil {
		return req.Self.Name
	}
	return req.Name
}

// requestRecord returns the record that a renewal carries or refers to, nil where
// the latter is unknown.
func (t *Table) requestRecord(req *wire.RenewRequest) *wire.Process {
	if req.Self != nil {
		return req.Self
	}
	return t.ProcessRecord(req.Name, req.Incarnation)
}

// ProcessRecord returns what a member said of itself in one incarnation, nil when
// that is unknown. It must not be changed.
func (t *Table) ProcessRecord(name string, incarnation uint64) *wire.Process {
	lease, ok := t.leases[name]
	if !ok || lease.process == nil || lease.process.Incarnation != incarnation || lease.incarnation != incarnation {
		return nil
	}
	return lease.process
}

// Release ends the lease of a member that shuts down. Renewals of that
// incarnation that arrive later get no lease.
func (t *Table) Release(name string, incarnation uint64, now time.Time) {
	if lease, ok := t.leases[name]; ok && lease.incarnation <= incarnation {
		delete(t.leases, name)
	}
	if released, ok := t.releases[name]; !ok || released.incarnation <= incarnation {
		t.releases[name] = release{incarnation: incarnation, at: now}
	}
}

// RecordPingResponse records a member's answer to the core's own ping. A later
// incarnation ends the lease of the one before.
func (t *Table) RecordPingResponse(name string, incarnation uint64, now time.Time) {
	delete(t.refusals, name)
	lease, ok := t.leases[name]
	switch {
	case !ok || incarnation < lease.incarnation:
	case incarnation == lease.incarnation:
		lease.contactAt = now
	default:
		t.leases[name] = &memberLease{
			member:      lease.member,
			process:     lease.process,
			incarnation: incarnation,
			contactAt:   now,
		}
	}
}

// RecordRefusal records a refused connection: no process listens there, so its
// lease ends at once. Tried is the member as it was known when the connection was
// tried; one that has renewed as another incarnation since keeps its lease.
func (t *Table) RecordRefusal(tried MemberID, now time.Time) {
	if lease, ok := t.leases[tried.Name]; ok {
		if lease.incarnation != tried.Incarnation {
			return
		}
		delete(t.leases, tried.Name)
	}
	streak, ok := t.refusals[tried.Name]
	if !ok || now.Sub(streak.last) >= t.ttl {
		streak.first = now
	}
	streak.last = now
	t.refusals[tried.Name] = streak
}

// Prune forgets what no longer counts: members whose lease has expired and without
// contact for two TTLs, refusals that ended, and releases past their retention. It ends no lease; see memberLease.active.
func (t *Table) Prune(now time.Time) {
	for name, lease := range t.leases {
		if !lease.active(now) && now.Sub(lease.contactAt) >= 2*t.ttl {
			delete(t.leases, name)
		}
	}
	for name, streak := range t.refusals {
		if now.Sub(streak.last) >= 2*t.ttl {
			delete(t.refusals, name)
		}
	}
	for name, released := range t.releases {
		if now.Sub(released.at) >= releaseRetention {
			delete(t.releases, name)
		}
	}
}
