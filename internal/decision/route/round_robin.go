package route

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// phaseSteps is the number of different initial phases. The phases differ between fronts so
// that the fronts do not all send to the same region at once.
const phaseSteps = 1024

// weightedRoundRobin is a smooth weighted round robin, as in nginx, over the regions that
// serve one service for one region of origin. In any sequence of consecutive requests each
// region's count deviates from its share by at most about one request.
type weightedRoundRobin struct {
	entries []regionEntry
	total   float64 // sum of the weights of the entries with a pool
}

type regionEntry struct {
	region  string
	weight  float64
	current float64 // current weight in the smooth weighted round robin
	pool    *pool   // nil if the region has no server
}

// next returns the index of the entry whose turn it is, or -1 if no region has a server.
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

// advance ends the turn of the entry at index, which next returned, even if another region
// served the request.
func (w *weightedRoundRobin) advance(index int) {
	for i := range w.entries {
		if entry := &w.entries[i]; entry.pool != nil {
			entry.current += entry.weight
		}
	}
	w.entries[index].current -= w.total
}

// shareKey identifies the shares of a service for requests from one region.
type shareKey struct{ service, from string }

var noRegions weightedRoundRobin

// regionsOf returns the regions for a request. If the plan has no shares for the request's
// region of origin, those of the front's own region are used.
func (t *Table) regionsOf(req *Request) *weightedRoundRobin {
	if regions := t.regions[shareKey{req.Service, req.FromRegion}]; regions != nil {
		return regions
	}
	if regions := t.regions[shareKey{req.Service, t.config.Region}]; regions != nil {
		return regions
	}
	return &noRegions
}

// updateRegions sets the regions and their weights from the plan's shares. In two cases the
// front computes shares from the current sheet instead: all of them if the plan is older
// than the sheet, since a new sheet has to take effect at once; and those of a service for
// which no region in the plan has a server.
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
		t.initializeEntries(key, regions, old[key])
	}
}

// unservedServices returns the services of the sheet for which no region has a server, or
// nil if there are none.
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

// setRegions replaces the regions of the services that include selects by those in shares.
func (t *Table) setRegions(shares []*wire.Share, include func(service string) bool) {
	replacements := map[shareKey]*weightedRoundRobin{}
	for _, share := range shares {
		if share.Share <= 0 || !include(share.Service) {
			continue
		}
		key := shareKey{share.Service, share.FromRegion}
		regions := replacements[key]
		if regions == nil {
			regions = &weightedRoundRobin{}
			replacements[key] = regions
		}
		regions.entries = append(regions.entries, regionEntry{
			region: share.ToRegion,
			weight: share.Share,
			pool:   t.pools[poolKey{share.Service, share.ToRegion}],
		})
	}
	maps.Copy(t.regions, replacements)
}

// initializeEntries initializes the round robin from the state of the old one. If there is
// none it starts at a phase that depends on the front.
func (t *Table) initializeEntries(key shareKey, regions, old *weightedRoundRobin) {
	for i := range regions.entries {
		entry := &regions.entries[i]
		if entry.pool != nil {
			regions.total += entry.weight
		}
		if old == nil {
			phase := splitMix64(t.selfHash^xxhash.Sum64String(key.service+"/"+key.from+"/"+entry.region)) % phaseSteps
			entry.current = entry.weight * (float64(phase)/phaseSteps - 0.5)
			continue
		}
		oldIndex := slices.IndexFunc(old.entries, func(e regionEntry) bool { return e.region == entry.region })
		if oldIndex >= 0 && entry.pool != nil {
			entry.current = min(max(old.entries[oldIndex].current, -1), 1)
		}
	}
}
