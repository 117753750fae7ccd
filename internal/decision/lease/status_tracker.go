package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// StatusTracker records the last status that a core published for each member, so
// that only changes are published. It is not safe for concurrent use.
type StatusTracker struct {
	published map[string]*wire.Sight
}

// NewStatusTracker returns the tracker of a core that has published no status.
func NewStatusTracker() *StatusTracker {
	return &StatusTracker{published: map[string]*wire.Sight{}}
}

// Published returns the last published status of each tracked member, in no
// particular order.
func (s *StatusTracker) Published() []*wire.Sight {
	statuses := make([]*wire.Sight, 0, len(s.published))
	for _, status := range s.published {
		statuses = append(statuses, status)
	}
	return statuses
}

// Update returns the status of a member and records it as published if it differs
// from the last published one; otherwise it returns nil. A member without a status
// is no longer tracked.
func (s *StatusTracker) Update(table *Table, name string, roster map[string]statemachine.Member, now time.Time) *wire.Sight {
	_, listed := roster[name]
	current := table.memberStatus(name, listed, now)
	if current == nil {
		delete(s.published, name)
		return nil
	}
	if last := s.published[name]; last != nil && sameStatus(last, current) {
		return nil
	}
	s.published[name] = current
	return current
}

// UpdateAll calls Update for every member that has a lease record in the table, is
// on the roster or is tracked, and returns the changed statuses.
func (s *StatusTracker) UpdateAll(table *Table, roster map[string]statemachine.Member, now time.Time) []*wire.Sight {
	var changed []*wire.Sight
	update := func(name string) {
		if status := s.Update(table, name, roster, now); status != nil {
			changed = append(changed, status)
		}
	}
	for name := range table.leases {
		update(name)
	}
	for name := range roster {
		if _, done := table.leases[name]; !done {
			update(name)
		}
	}
	for name := range s.published {
		if _, done := table.leases[name]; !done {
			update(name)
		}
	}
	return changed
}

// memberStatus returns the status of a member, nil when the table has no
// information about it. Only a member that has released its lease is gone; one that
// refuses connections is unresponsive. A listed member without contact since the core
// started is reported as unresponsive only once the startup grace is over.
func (t *Table) memberStatus(name string, listed bool, now time.Time) *wire.Sight {
	if lease, ok := t.leases[name]; ok {
		return &wire.Sight{Process: lease.process, Silent: now.Sub(lease.contactAt) >= t.ttl || t.refuses(name, now)}
	}
	_, released := t.releases[name]
	switch {
	case released:
		return &wire.Sight{Process: &wire.Process{Name: name}, Gone: true}
	case listed && (t.StartupGraceOver(now) || t.refuses(name, now)):
		return &wire.Sight{Process: &wire.Process{Name: name}, Silent: true}
	}
	return nil
}

func sameStatus(a, b *wire.Sight) bool {
	return a.Gone == b.Gone && a.Silent == b.Silent && SameProcessRecord(a.Process, b.Process)
}

// SameProcessRecord reports whether two process records are equal in every field except
// the counter, which only orders records of one incarnation.
func SameProcessRecord(a, b *wire.Process) bool {
	if a == b {
		return true
	}
	if a == nil || b == nil {
		return false
	}
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		a.Address == b.Address && a.CallerAddress == b.CallerAddress && a.Region == b.Region && a.Zone == b.Zone &&
		a.Core == b.Core && a.Front == b.Front && a.Standing == b.Standing && a.Formation == b.Formation &&
		a.DiskLife == b.DiskLife && a.RulesLevel == b.RulesLevel && slices.Equal(a.Voters, b.Voters)
}

// isOlderRecord reports whether a record precedes another record of the same
// member, by incarnation and then by counter.
func isOlderRecord(record, other *wire.Process) bool {
	return other != nil && (record.Incarnation < other.Incarnation ||
		(record.Incarnation == other.Incarnation && record.Counter < other.Counter))
}
