package route

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// phaseSteps is the number of initial phases, which differ among fronts so that these
// don't send to the same region at once.
const phaseSteps = 1024

// weightedRoundRobin is a smooth weighted round robin, as in nginx, over the regions
// of one service and region of origin: over any span of requests the shares hold to
// within one request.
type weightedRoundRobin struct {
	entries []regionEntry
	total   float64 // weight of the entries with a pool
}

type regionEntry struct {
	region  string
	weight  float64
	current float64
	pool    *pool // nil: the region has no server
}

// next returns the index of the entry whose turn it is, or -1 without any.
func (w *weightedRoundRobin) next() int {
	best := -1
	for i := range w.entries {
		entry := &w.entries[i]
		if entry.pool == nil {
			continue
		}
		if best < 0 || entry.current+entry.weight > w.entries[best].current+w.entries[best].weight {
			best = i
		}
	}
	return best
}

// advance ends the turn of the entry that next returned, whichever region served the
// request.
func (w *weightedRoundRobin) advance(index int) {
	for i := range w.entries {
		if entry := &w.entries[i]; entry.pool != nil {
			entry.current += entry.weight
		}
	}
	w.entries[index].current -= w.total
}

type shareKey struct{ service, from string }

var noRegions weightedRoundRobin

// regionsOf returns the regions for a request; an origin that the plan doesn't name
// has the shares of the front's own region.
func (t *Table) regionsOf(req *Request) *weightedRoundRobin {
	if regions := t.regions[shareKey{req.Service, req.FromRegion}]; regions != nil {
		return regions
	}
	if regions := t.regions[shareKey{req.Service, t.config.Region}]; regions != nil {
		return regions
	}
	return &noRegions
}

// updateRegions sets the regions' weights by the plan's shares, without the regions
// that have no server. Shares are computed here from the current sheet in two cases:
// all of them if the plan is older than the sheet, which must take effect at once; and
// those of a service to which the plan gives no region that has a server.
func (t *Table) updateRegions() {
	old := t.regions
	t.regions = map[shareKey]*weightedRoundRobin{}
	if t.view.Plan == nil || t.view.State.Sheet == nil {
		return
	}
	if t.view.Plan.Epoch >= t.view.State.SheetVersion {
		t.setRegions(t.view.Plan.Shares, func(string) bool { return true })
	}
	unserved := t.unservedServices()
	if len(unserved) > 0 {
		self := []statemachine.Member{{Name: t.config.Self, Region: t.config.Region}}
		shares := plan.Shares(t.view.State, t.view.Servers, self, t.config.Policy)
		t.setRegions(shares, func(service string) bool { return unserved[service] })
	}
	for key, regions := range t.regions {
		t.initialize(key, regions, old[key])
	}
}

// unservedServices returns the services without a region that has a server, nil if
// there are none.
func (t *Table) unservedServices() map[string]bool {
	var unserved map[string]bool
	for service := range t.view.State.Sheet.Services {
		regions := t.regions[shareKey{service, t.config.Region}]
		if regions != nil && regions.next() >= 0 {
			continue
		}
		if unserved == nil {
			unserved = map[string]bool{}
		}
		unserved[service] = true
	}
	return unserved
}

// setRegions replaces the regions of the wanted services by those of the shares.
func (t *Table) setRegions(shares []*wire.Share, wanted func(service string) bool) {
	fresh := map[shareKey]*weightedRoundRobin{}
	for _, share := range shares {
		if share.Share <= 0 || !wanted(share.Service) {
			continue
		}
		key := shareKey{share.Service, share.FromRegion}
		regions := fresh[key]
		if regions == nil {
			regions = &weightedRoundRobin{}
			fresh[key] = regions
		}
		regions.entries = append(regions.entries, regionEntry{
			region: share.ToRegion,
			weight: share.Share,
			pool:   t.pools[poolKey{share.Service, share.ToRegion}],
		})
	}
	maps.Copy(t.regions, fresh)
}

// initialize continues from the state of the old regions, or begins at a phase of the
// front's own if there are none.
func (t *Table) initialize(key shareKey, regions, old *weightedRoundRobin) {
	for i := range regions.entries {
		entry := &regions.entries[i]
		if entry.pool != nil {
			regions.total += entry.weight
		}
		if old == nil {
			phase := mix(t.self^xxhash.Sum64String(key.service+"/"+key.from+"/"+entry.region)) % phaseSteps
			entry.current = entry.weight * (float64(phase)/phaseSteps - 0.5)
			continue
		}
		at := slices.IndexFunc(old.entries, func(e regionEntry) bool { return e.region == entry.region })
		if at >= 0 && entry.pool != nil {
			entry.current = min(max(old.entries[at].current, -1), 1)
		}
	}
}
