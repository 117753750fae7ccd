package lease

import (
	"slices"
	"strings"
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// HasLease reports whether a member holds a lease at this core.
func (t *Table) HasLease(name string, now time.Time) bool {
	lease, ok := t.leases[name]
	return ok && lease.active(now)
}

// knowsFenced reports whether the core has been up for long enough to know every member
// that may have authority by the roster.
func (t *Table) knowsFenced(now time.Time) bool { return now.Sub(t.startedAt) > fencedAfter(t.ttl) }

// StartupGraceOver reports whether the core has been up for longer than a TTL, so
// that all leases granted by its former incarnation have expired.
func (t *Table) StartupGraceOver(now time.Time) bool { return now.Sub(t.startedAt) > t.ttl }

// View returns this core's contribution to the check of whether a version is
// confirmed. Leases are listed by the text form of MemberID.
func (t *Table) View(version, coreVersion uint64, now time.Time) *wire.LeaseViewResponse {
	view := t.newView(coreVersion, now)
	for name, lease := range t.leases {
		id := MemberID{Name: name, Incarnation: lease.incarnation}.String()
		confirmed := lease.confirmedVersion >= version
		switch {
		case lease.active(now) && confirmed:
			view.Confirmed = append(view.Confirmed, id)
		case lease.active(now):
			view.Waiting = append(view.Waiting, id)
		}
		if lease.mayServe(t.ttl, now) && !confirmed {
			view.Unfenced = append(view.Unfenced, id)
		}
	}
	for name := range t.refusals {
		if t.refuses(name, now) {
			view.Gone = append(view.Gone, name)
		}
	}
	slices.Sort(view.Confirmed)
	slices.Sort(view.Waiting)
	slices.Sort(view.Unfenced)
	slices.Sort(view.Gone)
	return view
}

// MemberView returns a view that lists only the lease of one member, as confirmed
// whatever version it confirmed.
func (t *Table) MemberView(name string, coreVersion uint64, now time.Time) *wire.LeaseViewResponse {
	view := t.newView(coreVersion, now)
	if lease, ok := t.leases[name]; ok && lease.active(now) {
		view.Confirmed = []string{MemberID{Name: name, Incarnation: lease.incarnation}.String()}
	}
	return view
}

func (t *Table) newView(coreVersion uint64, now time.Time) *wire.LeaseViewResponse {
	return &wire.LeaseViewResponse{Core: t.core, Learned: coreVersion, Settled: t.StartupGraceOver(now), KnowsFenced: t.knowsFenced(now)}
}

// ConfirmsVersion reports whether every active lease of this core is confirmed at a
// version, and either the number of these leases is more than half of the roster's size
// or every other member is fenced. It evaluates this core's part of VersionConfirmed
// without the cost of building a view.
func (t *Table) ConfirmsVersion(version uint64, roster map[string]statemachine.Member, now time.Time) bool {
	confirmed := 0
	othersFenced := t.knowsFenced(now)
	for _, lease := range t.leases {
		isBehind := lease.confirmedVersion < version
		if lease.mayServe(t.ttl, now) && isBehind {
			othersFenced = false
		}
		if !lease.active(now) {
			continue
		}
		if isBehind {
			return false
		}
		confirmed++
	}
	return othersFenced || confirmed*2 > len(roster)
}

// PingTargets returns, sorted by name, the members that have had no contact with
// this core for at least quietPeriod, and the members of the roster that have no
// lease record here. The incarnation of the latter is unknown.
func (t *Table) PingTargets(roster map[string]statemachine.Member, quietPeriod time.Duration, now time.Time) []MemberID {
	var targets []MemberID
	for name, lease := range t.leases {
		if now.Sub(lease.contactAt) >= quietPeriod {
			targets = append(targets, MemberID{Name: name, Incarnation: lease.incarnation})
		}
	}
	for name := range roster {
		if _, known := t.leases[name]; !known {
			targets = append(targets, MemberID{Name: name, Incarnation: unknownIncarnation})
		}
	}
	slices.SortFunc(targets, func(a, b MemberID) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

// UnlistedMembers returns the members that have been in contact with this core
// within the last TTL but are not on the roster, sorted by name.
func (t *Table) UnlistedMembers(roster map[string]statemachine.Member, now time.Time) []statemachine.Member {
	var members []statemachine.Member
	for name, lease := range t.leases {
		if _, listed := roster[name]; !listed && name != "" && now.Sub(lease.contactAt) < t.ttl {
			members = append(members, lease.member)
		}
	}
	slices.SortFunc(members, func(a, b statemachine.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// LostMembers returns the sorted names of the roster members without any contact for
// minDuration, or for minReleased if they have released their lease.
func (t *Table) LostMembers(roster map[string]statemachine.Member, minDuration, minReleased time.Duration, now time.Time) []string {
	var names []string
	for name := range roster {
		since, known := t.lostContactAt[name]
		if !known {
			since = t.startedAt
		}
		lostFor := now.Sub(since)
		_, released := t.releases[name]
		if _, hasRecord := t.leases[name]; !hasRecord && (lostFor >= minDuration || released && lostFor >= minReleased) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
