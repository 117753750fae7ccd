package balance

import (
	"cmp"
	"slices"
	"time"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// Update applies a new view. Drained, evacuated and unreachable servers receive no
// further requests. While the state version is unchanged, a server whose status is
// unchanged costs one pointer comparison.
func (t *Table) Update(view View, now time.Time) {
	sameState := t.view.State.Version == view.State.Version && t.view.Servers != nil
	sameNodes := slices.Equal(t.view.Fronts, view.Fronts) && slices.Equal(t.view.Members, view.Members)
	t.view = view
	if !sameNodes || t.slowStartNodes == nil {
		t.fronts = withSelf(view.Fronts, t.config.Self)
		t.slowStartNodes = sortedUnion(t.fronts, view.Members)
	}
	changed := t.removeMissing(view)
	for name, status := range view.Servers {
		srv := t.servers[name]
		if srv == nil {
			srv = newServer(name)
			t.servers[name] = srv
		} else if sameState && srv.status == status && !srv.removed {
			continue
		}
		srv.removed = false
		previous := poolMembershipOf(srv)
		t.applyStatus(srv, status, now)
		changed = changed || !poolMembershipOf(srv).equal(previous)
	}
	if changed {
		t.rebuildPools()
		t.recomputeIsolation(now)
	}
}

// removeMissing removes the servers that are missing from the view; those with
// requests in flight are only excluded. It reports whether any of them was in a pool.
func (t *Table) removeMissing(view View) (changed bool) {
	for name, srv := range t.servers {
		if view.Servers[name] != nil {
			continue
		}
		changed = changed || srv.exclusion == ""
		srv.exclusion = plan.ReasonGone
		srv.removed = true
		if srv.load.inFlight == 0 {
			delete(t.servers, name)
		}
	}
	return changed
}

func (t *Table) applyStatus(srv *server, status *wire.ServerStatus, now time.Time) {
	srv.status = status
	srv.exclusion = plan.ExclusionReason(t.view.State, status)
	if srv.replaced {
		srv.exclusion = plan.ReasonGone
	}
	srv.slowStart.until = time.Time{}
	if status.ColdUntilMs != 0 {
		remaining := time.UnixMilli(status.ColdUntilMs).Sub(t.view.FleetNow)
		srv.slowStart.until = now.Add(remaining)
	}
}

// poolMembership holds the properties that determine which pools a server belongs to
// and whether it may be isolated.
type poolMembership struct {
	exclusion      string
	region         string
	services       []string
	slots          uint32
	slowStartUntil time.Time
}

func poolMembershipOf(srv *server) poolMembership {
	if srv.status == nil {
		return poolMembership{exclusion: plan.ReasonGone}
	}
	return poolMembership{
		exclusion:      srv.exclusion,
		region:         srv.status.Region,
		services:       srv.status.Services,
		slots:          srv.status.Slots,
		slowStartUntil: srv.slowStart.until,
	}
}

func (m poolMembership) equal(other poolMembership) bool {
	return m.exclusion == other.exclusion &&
		m.region == other.region &&
		m.slots == other.slots &&
		m.slowStartUntil.Equal(other.slowStartUntil) &&
		slices.Equal(m.services, other.services)
}

// rebuildPools groups the servers that are not excluded by service and sorts each
// pool by name.
func (t *Table) rebuildPools() {
	clear(t.pools)
	for name := range t.view.Servers {
		srv := t.servers[name]
		if srv.exclusion != "" {
			continue
		}
		for _, service := range srv.status.Services {
			t.pools[service] = append(t.pools[service], srv)
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

// sortedUnion returns the names of both lists, sorted and without duplicates.
func sortedUnion(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
