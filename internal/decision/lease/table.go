package lease

import (
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// releaseRetention is how long a release is kept, so that a renewal in flight when
// the member released its lease doesn't restore the lease.
const releaseRetention = time.Minute

// lostRetention is how long the time of a member's last contact is kept; without it, the
// start of the core takes its place.
const lostRetention = time.Hour

// Table is the core's side of the lease protocol: it tracks the leases that the
// core granted and the members without contact. It is kept in memory only: after a
// restart, the leases granted by the core's former incarnation have expired once the
// core has been up for a TTL, and their holders are fenced after fencedAfter. It is not
// safe for concurrent use.
type Table struct {
	core      string
	ttl       time.Duration
	startedAt time.Time
	leases    map[string]*memberLease
	// refusals has the time of the newest refused connection of each member that has not
	// been in contact since. A refusal shows neither that a process has ended nor that its
	// lease has: a partition may refuse connections too.
	refusals map[string]time.Time
	releases map[string]release
	// lostContactAt has the time of the last contact of members without a lease record.
	lostContactAt map[string]time.Time
}

// memberLease is a core's record of a member that renews: its newest incarnation,
// the process record and version that this incarnation reported, and its lease.
type memberLease struct {
	member      statemachine.Member
	process     *wire.Process
	incarnation uint64
	// confirmedVersion is the highest version that this incarnation has confirmed.
	confirmedVersion uint64
	// expiresAt is when the lease expires; zero when none was granted.
	expiresAt time.Time
	// contactAt is when the member last renewed or answered a ping.
	contactAt time.Time
}

// active reports whether the lease has not expired. It is the only expiry check on
// the core's side. The core counts from the arrival of the renewal, so the lease
// expires here no earlier than at the holder; see Holder.Authority.
func (l *memberLease) active(now time.Time) bool { return now.Before(l.expiresAt) }

// mayServe reports whether the member may still have authority by the lease or, after it,
// by the roster.
func (l *memberLease) mayServe(ttl time.Duration, now time.Time) bool {
	return !l.expiresAt.IsZero() && now.Before(l.expiresAt.Add(fencedAfter(ttl)-ttl))
}

// release records that a member released its lease.
type release struct {
	incarnation uint64
	releasedAt  time.Time
}

// NewTable returns the empty table of a core that starts now.
func NewTable(core string, ttl time.Duration, now time.Time) *Table {
	return &Table{
		core:      core,
		ttl:       ttl,
		startedAt: now,
		leases:    map[string]*memberLease{},
		refusals:  map[string]time.Time{},
		releases:  map[string]release{},

		lostContactAt: map[string]time.Time{},
	}
}

// Renew renews the lease of a member that has confirmed coreVersion, the newest
// version that the core has learned, or a later one. Any other member, and any
// stale incarnation, is refused with the code VersionBehind and coreVersion. If a
// request carries no process record and the table has none of that incarnation,
// the response has Who set, which requests the record. Renew must not be called
// before the core has caught up with a majority of cores since it started.
func (t *Table) Renew(req *wire.RenewRequest, coreVersion uint64, now time.Time) *wire.RenewResponse {
	record := t.renewalRecord(req)
	if record == nil {
		return &wire.RenewResponse{Core: t.core, TimeUs: now.UnixMicro(), Who: true}
	}
	resp := &wire.RenewResponse{
		Core:    t.core,
		Learned: coreVersion,
		TtlMs:   uint32(t.ttl.Milliseconds()),
		TimeUs:  now.UnixMicro(),
	}
	if t.isStaleIncarnation(record) {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	lease := t.recordMember(record, now)
	lease.confirmedVersion = max(lease.confirmedVersion, req.Epoch)
	if req.Epoch == 0 || req.Epoch < coreVersion {
		resp.Refusal = uint32(apierror.VersionBehind)
		return resp
	}
	lease.expiresAt = now.Add(t.ttl)
	resp.Granted = true
	return resp
}

// isStaleIncarnation reports whether a record belongs to an incarnation that has
// released its lease or was replaced by a later one.
func (t *Table) isStaleIncarnation(record *wire.Process) bool {
	if released, ok := t.releases[record.Name]; ok && record.Incarnation <= released.incarnation {
		return true
	}
	lease, ok := t.leases[record.Name]
	return ok && record.Incarnation < lease.incarnation
}

// recordMember records a contact with a member and its process record. A later
// incarnation does not inherit the lease of the previous one.
func (t *Table) recordMember(record *wire.Process, now time.Time) *memberLease {
	lease, ok := t.leases[record.Name]
	if !ok || record.Incarnation > lease.incarnation {
		lease = &memberLease{incarnation: record.Incarnation}
		t.leases[record.Name] = lease
	}
	if !SameProcessRecord(lease.process, record) && !isOlderRecord(record, lease.process) {
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
	t.recordContact(record.Name, now)
	return lease
}

// recordContact records that a member has answered or renewed.
func (t *Table) recordContact(name string, now time.Time) {
	delete(t.refusals, name)
	t.lostContactAt[name] = now
}

// RenewalMemberName returns the name of the member whose lease a request renews; "" when
// the request names none.
func RenewalMemberName(req *wire.RenewRequest) string {
	if req.Self != nil {
		return req.Self.Name
	}
	return req.Name
}

// renewalRecord returns the process record that a renewal carries or refers to; nil
// when the table has no record of the incarnation referred to.
func (t *Table) renewalRecord(req *wire.RenewRequest) *wire.Process {
	if req.Self != nil {
		return req.Self
	}
	return t.ProcessRecord(req.Name, req.Incarnation)
}

// ProcessRecord returns the process record that a member sent in the given
// incarnation; nil when the table has none or the incarnation is not the member's
// newest. Callers must not modify it.
func (t *Table) ProcessRecord(name string, incarnation uint64) *wire.Process {
	lease, ok := t.leases[name]
	if !ok || lease.process == nil || lease.process.Incarnation != incarnation || lease.incarnation != incarnation {
		return nil
	}
	return lease.process
}

// Release ends the lease of a member that shuts down. Renewals by that incarnation
// or an earlier one that arrive afterwards get no lease.
func (t *Table) Release(name string, incarnation uint64, now time.Time) {
	if lease, ok := t.leases[name]; ok && lease.incarnation <= incarnation {
		delete(t.leases, name)
	}
	if released, ok := t.releases[name]; !ok || released.incarnation <= incarnation {
		t.releases[name] = release{incarnation: incarnation, releasedAt: now}
	}
}

// RecordPingResponse records a member's answer to a ping from this core. An answer
// by a later incarnation ends the lease of the previous one.
func (t *Table) RecordPingResponse(name string, incarnation uint64, now time.Time) {
	t.recordContact(name, now)
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

// RecordRefusal records a connection refused by a member. Target identifies the member as
// it was known when the connection was attempted; if it has renewed as another incarnation
// since then, the refusal is ignored.
func (t *Table) RecordRefusal(target MemberID, now time.Time) {
	if lease, ok := t.leases[target.Name]; ok && lease.incarnation != target.Incarnation {
		return
	}
	t.refusals[target.Name] = now
}

// refuses reports whether a member has refused a connection within the last TTL.
func (t *Table) refuses(name string, now time.Time) bool {
	refusedAt, refused := t.refusals[name]
	return refused && now.Sub(refusedAt) < t.ttl
}

// Prune deletes obsolete entries: members that are fenced and that had no contact for two
// TTLs, refusals that are two TTLs old, releases older than releaseRetention, and the last
// contact of members that were lost for longer than lostRetention. It ends no lease; see
// memberLease.active.
func (t *Table) Prune(now time.Time) {
	for name, lease := range t.leases {
		if !lease.mayServe(t.ttl, now) && now.Sub(lease.contactAt) >= 2*t.ttl {
			delete(t.leases, name)
		}
	}
	for name, refusedAt := range t.refusals {
		if now.Sub(refusedAt) >= 2*t.ttl {
			delete(t.refusals, name)
		}
	}
	for name, released := range t.releases {
		if now.Sub(released.releasedAt) >= releaseRetention {
			delete(t.releases, name)
		}
	}
	for name, contactAt := range t.lostContactAt {
		if now.Sub(contactAt) >= lostRetention {
			delete(t.lostContactAt, name)
		}
	}
}
