package lease

import (
	"slices"
	"strings"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// HasLease reports whether a member holds a lease at this core.
func (t *Table) HasLease(name string, now time.Time) bool {
	lease, ok := t.leases[name]
	return ok && lease.active(now)
}

// StartupGraceOver reports whether the core has been up for longer than a TTL, so
// that no lease of its former incarnation is left.
func (t *Table) StartupGraceOver(now time.Time) bool { return now.Sub(t.startedAt) > t.ttl }

// View returns the core's part of the check whether a version is confirmed.
// Leases are named by MemberID.
func (t *Table) View(version, learned uint64, now time.Time) *wire.LeaseViewResponse {
	view := t.newView(learned, now)
	for name, lease := range t.leases {
		if !lease.active(now) {
			continue
		}
		id := MemberID{Name: name, Incarnation: lease.incarnation}.String()
		if lease.version >= version {
			view.Confirmed = append(view.Confirmed, id)
		} else {
			view.Waiting = append(view.Waiting, id)
		}
	}
	for name, streak := range t.refusals {
		if now.Sub(streak.last) < t.ttl {
			view.Gone = append(view.Gone, name)
		}
	}
	slices.Sort(view.Confirmed)
	slices.Sort(view.Waiting)
	slices.Sort(view.Gone)
	return view
}

// MemberView returns a view reduced to the lease of one member, at any version.
func (t *Table) MemberView(name string, learned uint64, now time.Time) *wire.LeaseViewResponse {
	view := t.newView(learned, now)
	if lease, ok := t.leases[name]; ok && lease.active(now) {
		view.Confirmed = []string{MemberID{Name: name, Incarnation: lease.incarnation}.String()}
	}
	return view
}

func (t *Table) newView(learned uint64, now time.Time) *wire.LeaseViewResponse {
	return &wire.LeaseViewResponse{Core: t.core, Learned: learned, Settled: t.StartupGraceOver(now)}
}

// ConfirmedAt reports whether every lease here is confirmed at a version, and
// their holders are more than half of the members of the roster that do not
// refuse connections. It is this core's part of VersionConfirmed, without the
// cost of a view.
func (t *Table) ConfirmedAt(version uint64, roster map[string]sheet.Member, now time.Time) bool {
	confirmed := 0
	for _, lease := range t.leases {
		if !lease.active(now) {
			continue
		}
		if lease.version < version {
			return false
		}
		confirmed++
	}
	eligible := len(roster)
	for name := range t.refusals {
		if _, listed := roster[name]; listed {
			eligible--
		}
	}
	return confirmed*2 > eligible
}

// PingTargets returns the members, on the roster or known here, without contact
// for a span, sorted by name. A member that has not renewed since the core started
// has no known incarnation.
func (t *Table) PingTargets(roster map[string]sheet.Member, span time.Duration, now time.Time) []MemberID {
	var targets []MemberID
	for name, lease := range t.leases {
		if now.Sub(lease.contactAt) >= span {
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

// UnlistedMembers returns the members that renew here but are not on the roster,
// sorted by name.
func (t *Table) UnlistedMembers(roster map[string]sheet.Member, now time.Time) []sheet.Member {
	var members []sheet.Member
	for name, lease := range t.leases {
		if _, listed := roster[name]; !listed && name != "" && now.Sub(lease.contactAt) < t.ttl {
			members = append(members, lease.member)
		}
	}
	slices.SortFunc(members, func(a, b sheet.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// RefusingMembers returns the members of the roster that have refused connections
// without interruption for a span, sorted.
func (t *Table) RefusingMembers(roster map[string]sheet.Member, span time.Duration, now time.Time) []string {
	var names []string
	for name, streak := range t.refusals {
		if _, listed := roster[name]; listed && now.Sub(streak.last) < t.ttl && streak.last.Sub(streak.first) >= span {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
