package lease

import (
	"fmt"
	"slices"
	"strings"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// ConfirmationCheck is the input of VersionConfirmed, RosterChangeConfirmed and
// CountConfirmations.
type ConfirmationCheck struct {
	Version uint64
	// Voters is the number of voting cores.
	Voters int
	// Views are the cores' answers of one round. Nil views, further views of the
	// same core, views of cores that have not learned the version, views of cores
	// still in their startup grace and views of replaced cores are ignored.
	Views []*wire.LeaseViewResponse
	// Roster and PriorRoster come from the state at the version or a later one;
	// PriorRoster is nil or empty once the last roster change is committed.
	Roster      map[string]statemachine.Member
	PriorRoster map[string]statemachine.Member
}

// ConfirmationCount counts the fronts of a roster, and those that have confirmed a
// version.
type ConfirmationCount struct {
	Confirmed int
	Fronts    int
}

// IsMajority reports whether more than half of the fronts have confirmed. A roster
// without a front imposes no condition.
func (c ConfirmationCount) IsMajority() bool { return c.Fronts <= 0 || c.Confirmed*2 > c.Fronts }

// VersionConfirmed reports whether a version is in force, that is, no front serves
// with an older one, so that a configuration change may be acknowledged. The
// conditions are: a majority of cores, each up for longer than a TTL, has learned
// the version; every lease that these cores granted is confirmed at the version
// or has expired; and no front can serve with an older version by the roster. The
// last is met if more than half of the roster has confirmed the version, as has more
// than half of the prior roster while a roster change is uncommitted; or if every front
// that has not confirmed it is fenced.
// Missing describes the first unmet condition to an operator; it is empty when
// all are met.
func VersionConfirmed(check ConfirmationCheck) (confirmed bool, missing string) {
	merged := mergeViews(check)
	if missing := merged.missingCoreMajority(check.Voters); missing != "" {
		return false, missing
	}
	if len(merged.unconfirmedMembers) > 0 {
		return false, "leases not confirmed and not lapsed: " + strings.Join(merged.unconfirmedMembers, ", ")
	}
	return rostersConfirmed(check, merged)
}

// RosterChangeConfirmed reports whether a roster change may be committed: a
// majority of cores, each up for longer than a TTL, has learned its version, and
// more than half of the roster and of the prior roster has confirmed it or every other
// front is fenced. Missing is as for VersionConfirmed.
func RosterChangeConfirmed(check ConfirmationCheck) (confirmed bool, missing string) {
	merged := mergeViews(check)
	if missing := merged.missingCoreMajority(check.Voters); missing != "" {
		return false, missing
	}
	return rostersConfirmed(check, merged)
}

// CountConfirmations counts the fronts of the roster that confirmed the version.
func CountConfirmations(check ConfirmationCheck) ConfirmationCount {
	return mergeViews(check).countConfirmations(check.Roster)
}

func rostersConfirmed(check ConfirmationCheck, merged mergedViews) (confirmed bool, missing string) {
	if merged.othersFenced(check.Voters) {
		return true, ""
	}
	if count := merged.countConfirmations(check.Roster); !count.IsMajority() {
		return false, fmt.Sprintf("confirmed by %d of %d of the roster%s", count.Confirmed, count.Fronts, merged.unfencedText())
	}
	if count := merged.countConfirmations(check.PriorRoster); !count.IsMajority() {
		return false, fmt.Sprintf("confirmed by %d of %d of the prior roster%s", count.Confirmed, count.Fronts, merged.unfencedText())
	}
	return true, ""
}

// mergedViews combines the lease views of several cores.
type mergedViews struct {
	coreCount int
	// newestIncarnation has, for each member, the newest incarnation that holds a
	// lease; confirmedIncarnation has the newest that also confirmed the version.
	newestIncarnation    map[string]uint64
	confirmedIncarnation map[string]uint64
	// unconfirmedMembers has the sorted names of the members whose newest
	// incarnation holds a lease but has not confirmed the version; unfencedMembers also
	// those whose lease has lapsed but that may still serve by the roster.
	unconfirmedMembers []string
	unfencedMembers    []string
	// fenceCount is the number of cores that know every member that is not fenced.
	fenceCount int
}

// mergeViews merges the eligible views. Only the newest incarnation of a member
// can confirm; confirmations by earlier incarnations are disregarded.
func mergeViews(check ConfirmationCheck) mergedViews {
	views := eligibleViews(check)
	merged := mergedViews{
		coreCount:            len(views),
		newestIncarnation:    map[string]uint64{},
		confirmedIncarnation: map[string]uint64{},
	}
	for _, view := range views {
		merged.merge(view)
	}
	for _, view := range views {
		merged.unconfirmedMembers = merged.appendUnconfirmed(merged.unconfirmedMembers, view.Waiting)
		merged.unfencedMembers = merged.appendUnconfirmed(merged.unfencedMembers, view.Unfenced)
	}
	slices.Sort(merged.unconfirmedMembers)
	slices.Sort(merged.unfencedMembers)
	merged.unconfirmedMembers = slices.Compact(merged.unconfirmedMembers)
	merged.unfencedMembers = slices.Compact(merged.unfencedMembers)
	return merged
}

// appendUnconfirmed appends the names of the members, given by the text form of MemberID,
// whose newest incarnation is listed and has not confirmed the version.
func (m *mergedViews) appendUnconfirmed(names, listed []string) []string {
	for _, text := range listed {
		id := ParseMemberID(text)
		if m.newestIncarnation[id.Name] == id.Incarnation && m.confirmedIncarnation[id.Name] != id.Incarnation {
			names = append(names, id.Name)
		}
	}
	return names
}

// othersFenced reports whether every front that has not confirmed the version is fenced,
// by the knowledge of a majority of cores.
func (m *mergedViews) othersFenced(voters int) bool {
	return m.fenceCount >= Majority(voters) && len(m.unfencedMembers) == 0
}

// unfencedText names the members that may still serve with an older version.
func (m *mergedViews) unfencedText() string {
	if len(m.unfencedMembers) == 0 {
		return ""
	}
	return "; not yet fenced: " + strings.Join(m.unfencedMembers, ", ")
}

// eligibleViews returns the first view of each core that has learned the version
// and whose startup grace is over, so that the leases granted by its former
// incarnation have expired. Views of replaced cores are left out.
func eligibleViews(check ConfirmationCheck) []*wire.LeaseViewResponse {
	seen := map[string]bool{}
	var eligible []*wire.LeaseViewResponse
	for _, view := range check.Views {
		if view == nil || !view.Settled || view.Learned < check.Version || seen[view.Core] {
			continue
		}
		seen[view.Core] = true
		eligible = append(eligible, view)
	}
	replaced := map[string]uint64{}
	for _, view := range eligible {
		for core, incarnation := range view.Replaced {
			replaced[core] = max(replaced[core], incarnation)
		}
	}
	return slices.DeleteFunc(eligible, func(view *wire.LeaseViewResponse) bool {
		return isReplaced(view.DiskLife, replaced[view.Core])
	})
}

func (m *mergedViews) merge(view *wire.LeaseViewResponse) {
	for _, text := range view.Confirmed {
		id := ParseMemberID(text)
		m.newestIncarnation[id.Name] = max(m.newestIncarnation[id.Name], id.Incarnation)
		m.confirmedIncarnation[id.Name] = max(m.confirmedIncarnation[id.Name], id.Incarnation)
	}
	for _, text := range slices.Concat(view.Waiting, view.Unfenced) {
		id := ParseMemberID(text)
		m.newestIncarnation[id.Name] = max(m.newestIncarnation[id.Name], id.Incarnation)
	}
	if view.KnowsFenced {
		m.fenceCount++
	}
}

// missingCoreMajority describes the lack of a majority of cores; it returns "" when
// there is a majority.
func (m mergedViews) missingCoreMajority(voters int) string {
	if m.coreCount >= Majority(voters) {
		return ""
	}
	return fmt.Sprintf("version learned by %d of %d cores past their startup grace", m.coreCount, voters)
}

// countConfirmations counts the fronts of a roster and their confirmations.
func (m mergedViews) countConfirmations(roster map[string]statemachine.Member) ConfirmationCount {
	var count ConfirmationCount
	for name := range frontNames(roster) {
		count.Fronts++
		if incarnation, hasConfirmed := m.confirmedIncarnation[name]; hasConfirmed && incarnation == m.newestIncarnation[name] {
			count.Confirmed++
		}
	}
	return count
}
