package healthcheck

import (
	"slices"

	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

// Ranks tells whether a front is among the first count of the candidates for a
// subject by rendezvous hashing. A front that is not among the candidates ranks
// as if it were.
func Ranks(self, subject string, candidates []string, count int) bool {
	mine := rendezvous.Weight(self, subject)
	above := 0
	for _, name := range candidates {
		if name == self {
			continue
		}
		if other := rendezvous.Weight(name, subject); other > mine || other == mine && name > self {
			above++
		}
	}
	return above < count
}

// mine tells whether this front watches a subject at a place: by the fronts of
// its zone, or of its region when the zone has none (or none is asked for), or
// by all when the region has none.
func (w *Watcher) mine(fronts []*wire.Process, subject, region, zone string, count int) bool {
	var inZone, inRegion, all []string
	for _, p := range fronts {
		if !p.Front || p.Leaving {
			continue
		}
		all = append(all, p.Name)
		if p.Region != region {
			continue
		}
		inRegion = append(inRegion, p.Name)
		if p.Zone == zone {
			inZone = append(inZone, p.Name)
		}
	}
	here := w.cfg.Region == region
	switch {
	case zone != "" && (len(inZone) > 0 || here && w.cfg.Zone == zone):
		return here && w.cfg.Zone == zone && Ranks(w.cfg.Self, subject, inZone, count)
	case len(inRegion) > 0 || here:
		return here && Ranks(w.cfg.Self, subject, inRegion, count)
	}
	return Ranks(w.cfg.Self, subject, all, count)
}

// readsList tells whether this front is among those of its region that read the
// list. It is found out anew when other fronts are known.
func (w *Watcher) readsList(fronts []*wire.Process) bool {
	if known := w.readers; known.found && slices.Equal(known.fronts, fronts) {
		return known.reads
	}
	w.readers = readers{found: true, fronts: fronts, reads: w.mine(fronts, "", w.cfg.Region, "", w.cfg.ListFronts)}
	return w.readers.reads
}

// readers tells whether this front read the list when these fronts were known.
type readers struct {
	found  bool
	fronts []*wire.Process
	reads  bool
}
