package lease

import (
	"slices"
	"time"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Sights keeps what a core last told of processes, so that only what changed is
// told. It has one owner.
type Sights struct {
	told map[string]*wire.Sight
}

// NewSights returns a table in which nothing was told.
func NewSights() *Sights { return &Sights{told: map[string]*wire.Sight{}} }

// Told returns what was told last of each process that is still of interest.
func (s *Sights) Told() []*wire.Sight {
	out := make([]*wire.Sight, 0, len(s.told))
	for _, sight := range s.told {
		out = append(out, sight)
	}
	return out
}

// Look returns the sight of a process if it differs from what was told last,
// and takes it as told; nil otherwise.
func (s *Sights) Look(l *Ledger, name string, roster map[string]statemachine.Member, now time.Time) *wire.Sight {
	_, member := roster[name]
	next, have := l.sight(name, member, now), s.told[name]
	if next == nil {
		delete(s.told, name)
		return nil
	}
	if have != nil && have.Gone == next.Gone && have.Silent == next.Silent && SameProcess(have.Process, next.Process) {
		return nil
	}
	s.told[name] = next
	return next
}

// LookAll is Look at every process that renews, is on the roster or was told of.
func (s *Sights) LookAll(l *Ledger, roster map[string]statemachine.Member, now time.Time) []*wire.Sight {
	var changed []*wire.Sight
	look := func(name string) {
		if sight := s.Look(l, name, roster, now); sight != nil {
			changed = append(changed, sight)
		}
	}
	for name := range l.members {
		look(name)
	}
	for name := range roster {
		if _, seen := l.members[name]; !seen {
			look(name)
		}
	}
	for name := range s.told {
		if _, seen := l.members[name]; !seen {
			look(name)
		}
	}
	return changed
}

// sight tells of one process; nil when nothing is known of it. Of a member that
// has not been heard since the core started nothing is, until the core is
// settled.
func (l *Ledger) sight(name string, member bool, now time.Time) *wire.Sight {
	if e, ok := l.members[name]; ok {
		return &wire.Sight{Process: e.process, Silent: now.Sub(e.heard) >= l.ttl}
	}
	_, refuses := l.gone[name]
	_, left := l.left[name]
	switch {
	case refuses || left:
		return &wire.Sight{Process: &wire.Process{Name: name}, Gone: true}
	case member && l.Settled(now):
		return &wire.Sight{Process: &wire.Process{Name: name}, Silent: true}
	}
	return nil
}

// SameProcess tells whether two records of a process say the same; the counter
// aside, which only orders them.
func SameProcess(a, b *wire.Process) bool {
	if a == b {
		return true
	}
	if a == nil || b == nil {
		return false
	}
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Ready == b.Ready && a.Leaving == b.Leaving &&
		a.Address == b.Address && a.CallerAddress == b.CallerAddress && a.Region == b.Region && a.Zone == b.Zone &&
		a.Core == b.Core && a.Front == b.Front && a.Standing == b.Standing && a.Formation == b.Formation &&
		a.DiskLife == b.DiskLife && slices.Equal(a.Voters, b.Voters)
}

// before tells whether a record is an older one than another of the process.
func before(a, b *wire.Process) bool {
	return b != nil && (a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.Counter < b.Counter))
}
