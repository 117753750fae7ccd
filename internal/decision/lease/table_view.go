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

// StartupGraceOver reports whether the core has been up for longer than a TTL, so
// that all leases granted by its former incarnation have expired.
func (t *Table) StartupGraceOver(now time.Time) bool { return now.Sub(t.startedAt) > t.ttl }

// View returns this core's contribution to the check of whether a version is
// confirmed. Leases are listed by the text form of MemberID.
func (t *Table) View(version, coreVersion uint64, now time.Time) *wire.LeaseViewResponse {
	view := t.newView(coreVersion, now)
	for name, lease := range t.leases {
		if !lease.active(now) {
			continue
		}
		id := MemberID{Name: name, Incarnation: lease.incarnation}.String()
		if lease.confirmedVersion >= version {
			view.Confirmed = append(view.Confirmed, id)
		} else {
			view.Waiting = append(view.Waiting, id)
		}
	}
	for name, streak := range t.refusals {
		if now.Sub(streak.lastAt) < t.ttl {
			view.Gone = append(view.Gone, name)
		}
	}
	slices.Sort(view.Confirmed)
	slices.Sort(view.Waiting)
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
	return &wire.LeaseViewResponse{Core: t.core, Learned: coreVersion, Settled: t.StartupGraceOver(now)}
}

// ConfirmsVersion reports whether every active lease of this core is confirmed at a
// version, and the number of these leases is more than half the number of roster
// members that do not refuse connections. It evaluates this core's part of
// VersionConfirmed without the cost of building a view.
func (t *Table) ConfirmsVersion(version uint64, roster map[string]statemachine.Member, now time.Time) bool {
	confirmed := 0
	for _, lease := range t.leases {
		if !lease.active(now) {
			continue
		}
		if lease.confirmedVersion < version {
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

// RefusingMembers returns the sorted names of the roster members whose current
// streak of refused connections has lasted at least minDuration.
func (t *Table) RefusingMembers(roster map[string]statemachine.Member, minDuration time.Duration, now time.Time) []string {
	var names []string
	for name, streak := range t.refusals {
		if _, listed := roster[name]; listed && now.Sub(streak.lastAt) < t.ttl && streak.lastAt.Sub(streak.firstAt) >= minDuration {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
