package balance

import (
	"cmp"
	"slices"
	"time"

	"stepwick/internal/decision/plan"
)

// Update takes a new view in. Drains, evacuations and lost servers bite at once. A
// server of which the view says what the last one did costs a comparison.
func (t *Table) Update(view View, now time.Time) {
	sameState := t.view.State.Version == view.State.Version && t.view.Servers != nil
	sameFronts := slices.Equal(t.view.Fronts, view.Fronts) && slices.Equal(t.view.Members, view.Members)
	t.view = view
	if !sameFronts || t.coldRanked == nil {
		t.fronts = withSelf(view.Fronts, t.config.Self)
		t.coldRanked = union(t.fronts, view.Members)
	}
	moved := t.forget(view)
	for name, status := range view.Servers {
		s := t.servers[name]
		if s == nil {
			s = newServer(name)
			t.servers[name] = s
		} else if sameState && s.status == status && !s.left {
			continue
		}
		s.left = false
		before := placeOf(s)
		t.learn(s, status, now)
		moved = moved || !placeOf(s).same(before)
	}
	if moved {
		t.pool()
		t.isolate(now)
	}
}

// forget takes servers out that the view does not have; it tells whether there is
// one.
func (t *Table) forget(view View) (moved bool) {
	for name, s := range t.servers {
		if view.Servers[name] != nil {
			continue
		}
		moved = moved || s.excluded == ""
		s.excluded, s.left = plan.ReasonGone, true
		if s.inFlight == 0 {
			delete(t.servers, name)
		}
	}
	return moved
}

// serverPlace is what decides in which pools a server is, and which of them are
// set aside.
type serverPlace struct {
	excluded, region string
	services         []string
	slots            uint32
	cold             time.Time
}

func placeOf(s *server) serverPlace {
	if s.status == nil {
		return serverPlace{excluded: plan.ReasonGone}
	}
	return serverPlace{excluded: s.excluded, region: s.status.Region, services: s.status.Services, slots: s.status.Slots, cold: s.cold.until}
}

func (p serverPlace) same(other serverPlace) bool {
	return p.excluded == other.excluded && p.region == other.region && p.slots == other.slots && p.cold.Equal(other.cold) &&
		slices.Equal(p.services, other.services)
}

// pool parts the servers that may get requests by service, in the order of their
// names.
func (t *Table) pool() {
	clear(t.pools)
	for name := range t.view.Servers {
		s := t.servers[name]
		if s.excluded != "" {
			continue
		}
		for _, service := range s.status.Services {
			t.pools[service] = append(t.pools[service], s)
		}
	}
	for _, pool := range t.pools {
		slices.SortFunc(pool, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	}
}

func withSelf(fronts []string, self string) []string {
	if slices.Contains(fronts, self) {
		return fronts
	}
	return append(slices.Clone(fronts), self)
}

// union returns the names of both lists, each once.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
