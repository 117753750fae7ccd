package lease

import (
	"fmt"
	"slices"
	"strings"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// ConfirmationCheck is the input of the rules of confirmation.
type ConfirmationCheck struct {
	Version uint64
	// Voters is the number of voting cores.
	Voters int
	// Views are the cores' answers of one round. Nil ones, repeated ones of a core
	// and those of cores that have not learned the version are left out.
	Views []*wire.LeaseViewResponse
	// Roster and PriorRoster are those of the state at the version or later;
	// PriorRoster is nil or empty when the last roster change is settled.
	Roster      map[string]sheet.Member
	PriorRoster map[string]sheet.Member
}

// ConfirmationCount is how many members of a roster have confirmed a version, of
// those that do not refuse connections.
type ConfirmationCount struct {
	Confirmed int
	Eligible  int
}

// IsMajority reports whether more than half has confirmed. A roster of which no
// member is left to serve sets no condition.
func (c ConfirmationCount) IsMajority() bool { return c.Eligible <= 0 || c.Confirmed*2 > c.Eligible }

// VersionConfirmed reports whether a version is in force, so that a configuration
// change may be acknowledged: no front serves by an older one. Its conditions are
// that a majority of cores, up for longer than a TTL, has learned the version;
// that every lease known to them is confirmed at it or has expired; and that more
// than half of the roster, and of the prior one while a change of it is not
// settled, has confirmed it. Missing describes the first condition that is not
// met, for operators.
func VersionConfirmed(check ConfirmationCheck) (confirmed bool, missing string) {
	joined := joinViews(check)
	if missing := joined.missingCores(check.Voters); missing != "" {
		return false, missing
	}
	if len(joined.unconfirmed) > 0 {
		return false, "leases not confirmed and not lapsed: " + strings.Join(joined.unconfirmed, ", ")
	}
	return rostersConfirmed(check, joined)
}

// RosterChangeConfirmed reports whether a roster change may be settled: a majority
// of cores has learned its version, and more than half of the roster and of the
// prior one has confirmed it. Missing is as for VersionConfirmed.
func RosterChangeConfirmed(check ConfirmationCheck) (confirmed bool, missing string) {
	joined := joinViews(check)
	if missing := joined.missingCores(check.Voters); missing != "" {
		return false, missing
	}
	return rostersConfirmed(check, joined)
}

// CountConfirmations counts the members of the roster that confirmed the version.
func CountConfirmations(check ConfirmationCheck) ConfirmationCount {
	return joinViews(check).count(check.Roster)
}

func rostersConfirmed(check ConfirmationCheck, joined joinedViews) (confirmed bool, missing string) {
	if count := joined.count(check.Roster); !count.IsMajority() {
		return false, fmt.Sprintf("confirmed by %d of %d of the roster", count.Confirmed, count.Eligible)
	}
	if count := joined.count(check.PriorRoster); !count.IsMajority() {
		return false, fmt.Sprintf("confirmed by %d of %d of the prior roster", count.Confirmed, count.Eligible)
	}
	return true, ""
}

// joinedViews is what the lease views of several cores say together.
type joinedViews struct {
	cores int
	// newest is the newest incarnation of each member that holds a lease,
	// confirmed the newest one that confirmed the version.
	newest    map[string]uint64
	confirmed map[string]uint64
	// refusing are the members that refuse connections of at least one core.
	refusing map[string]bool
	// unconfirmed names, in order, the members whose newest incarnation holds a
	// lease without having confirmed the version.
	unconfirmed []string
}

// joinViews joins the views of the cores that count. The newest incarnation of a
// member is the one that must confirm; a confirmation of an earlier one is void.
func joinViews(check ConfirmationCheck) joinedViews {
	views := countedViews(check)
	joined := joinedViews{
		cores:     len(views),
		newest:    map[string]uint64{},
		confirmed: map[string]uint64{},
		refusing:  map[string]bool{},
	}
	for _, view := range views {
		joined.add(view)
	}
	for _, view := range views {
		for _, text := range view.Waiting {
			id := ParseMemberID(text)
			if joined.newest[id.Name] == id.Incarnation && joined.confirmed[id.Name] != id.Incarnation {
				joined.unconfirmed = append(joined.unconfirmed, id.Name)
			}
		}
	}
	slices.Sort(joined.unconfirmed)
	joined.unconfirmed = slices.Compact(joined.unconfirmed)
	return joined
}

// countedViews returns the first view of each core that has learned the version
// and whose own earlier leases have expired.
func countedViews(check ConfirmationCheck) []*wire.LeaseViewResponse {
	seen := map[string]bool{}
	var counted []*wire.LeaseViewResponse
	for _, view := range check.Views {
		if view == nil || !view.Settled || view.Learned < check.Version || seen[view.Core] {
			continue
		}
		seen[view.Core] = true
		counted = append(counted, view)
	}
	return counted
}

func (j *joinedViews) add(view *wire.LeaseViewResponse) {
	for _, text := range view.Confirmed {
		id := ParseMemberID(text)
		j.newest[id.Name] = max(j.newest[id.Name], id.Incarnation)
		j.confirmed[id.Name] = max(j.confirmed[id.Name], id.Incarnation)
	}
	for _, text := range view.Waiting {
		id := ParseMemberID(text)
		j.newest[id.Name] = max(j.newest[id.Name], id.Incarnation)
	}
	for _, name := range view.Gone {
		j.refusing[name] = true
	}
}

// missingCores describes the lack of a majority of cores, "" when there is one.
func (j joinedViews) missingCores(voters int) string {
	if j.cores >= Majority(voters) {
		return ""
	}
	return fmt.Sprintf("learned and settled at %d of %d cores", j.cores, voters)
}

// count counts the fronts of a roster. One that refuses connections leaves the
// count only if it holds no lease at any core.
func (j joinedViews) count(roster map[string]sheet.Member) ConfirmationCount {
	var count ConfirmationCount
	for name := range frontNames(roster) {
		newest, hasLease := j.newest[name]
		incarnation, hasConfirmed := j.confirmed[name]
		if !hasLease && j.refusing[name] {
			continue
		}
		count.Eligible++
		if hasConfirmed && incarnation == newest && !j.refusing[name] {
			count.Confirmed++
		}
	}
	return count
}
