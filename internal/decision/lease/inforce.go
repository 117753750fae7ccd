package lease

import (
	"fmt"
	"slices"
	"strings"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Question asks whether a version is in force. Views are the cores' answers of
// one round. Roster and Prior are those of the state at the version or later;
// Prior is nil or empty when the last change of the roster is settled.
type Question struct {
	Version uint64
	Voters  int
	Views   []*wire.LeaseViewResponse
	Roster  map[string]statemachine.Member
	Prior   map[string]statemachine.Member
}

// Count is the part of a roster that has confirmed, of those that do not
// refuse connections.
type Count struct {
	Confirmed int
	Of        int
}

// Met tells whether more than half has confirmed. A roster of which nobody is
// left to rule sets no condition.
func (c Count) Met() bool { return c.Of <= 0 || c.Confirmed*2 > c.Of }

// InForce is the rule of acknowledgement: a majority of cores, up for longer
// than a TTL, has learned the version; every lease known to them is confirmed at
// it or lapsed; and more than half of the roster, and of the prior one while
// that stands, has confirmed. Why names the first condition that is not met.
func InForce(q Question) (met bool, why string) {
	f := fold(q)
	if f.cores < Majority(q.Voters) {
		return false, fmt.Sprintf("learned and settled at %d of %d cores", f.cores, q.Voters)
	}
	if len(f.waiting) > 0 {
		return false, "leases not confirmed and not lapsed: " + strings.Join(f.waiting, ", ")
	}
	return rosters(q, f)
}

// Settled is the rule of a roster change in force: more than half of the
// roster and of the prior one has confirmed the version of the change.
func Settled(q Question) (met bool, why string) {
	f := fold(q)
	if f.cores < Majority(q.Voters) {
		return false, fmt.Sprintf("learned and settled at %d of %d cores", f.cores, q.Voters)
	}
	return rosters(q, f)
}

// Confirmations counts who of the roster has confirmed the version.
func Confirmations(q Question) Count { return fold(q).count(q.Roster) }

func rosters(q Question, f folded) (bool, string) {
	if c := f.count(q.Roster); !c.Met() {
		return false, fmt.Sprintf("confirmed by %d of %d of the roster", c.Confirmed, c.Of)
	}
	if c := f.count(q.Prior); !c.Met() {
		return false, fmt.Sprintf("confirmed by %d of %d of the prior roster", c.Confirmed, c.Of)
	}
	return true, ""
}

type folded struct {
	cores     int
	newest    map[string]uint64
	confirmed map[string]uint64
	gone      map[string]bool
	waiting   []string
}

// fold joins the views of the cores that count. The newest life of a member
// is the one that is asked for; a confirmation of an earlier one is void.
func fold(q Question) folded {
	f := folded{newest: map[string]uint64{}, confirmed: map[string]uint64{}, gone: map[string]bool{}}
	seen := map[string]bool{}
	var counted []*wire.LeaseViewResponse
	for _, view := range q.Views {
		if view == nil || !view.Settled || view.Learned < q.Version || seen[view.Core] {
			continue
		}
		seen[view.Core] = true
		counted = append(counted, view)
	}
	f.cores = len(counted)
	for _, view := range counted {
		for _, id := range view.Confirmed {
			name, life := ParseMemberID(id)
			f.newest[name] = max(f.newest[name], life)
			f.confirmed[name] = max(f.confirmed[name], life)
		}
		for _, id := range view.Waiting {
			name, life := ParseMemberID(id)
			f.newest[name] = max(f.newest[name], life)
		}
		for _, name := range view.Gone {
			f.gone[name] = true
		}
	}
	for _, view := range counted {
		for _, id := range view.Waiting {
			name, life := ParseMemberID(id)
			if f.newest[name] == life && f.confirmed[name] != life {
				f.waiting = append(f.waiting, name)
			}
		}
	}
	slices.Sort(f.waiting)
	f.waiting = slices.Compact(f.waiting)
	return f
}

func (f folded) count(roster map[string]statemachine.Member) Count {
	var c Count
	for name := range fronts(roster) {
		life, live := f.newest[name]
		confirmed, ok := f.confirmed[name]
		switch {
		case live && ok && confirmed == life && !f.gone[name]:
			c.Confirmed++
			c.Of++
		case !live && f.gone[name]:
		default:
			c.Of++
		}
	}
	return c
}
