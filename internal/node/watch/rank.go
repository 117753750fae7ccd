package watch

import (
	"github.com/cespare/xxhash/v2"

	"stepwick/internal/wire"
)

// Ranks tells whether a front is among the first count of the candidates for a
// subject by rendezvous hashing. A front that is not among the candidates ranks
// as if it were.
func Ranks(self, subject string, candidates []string, count int) bool {
	mine := weight(self, subject)
	above := 0
	for _, name := range candidates {
		if name == self {
			continue
		}
		if other := weight(name, subject); other > mine || other == mine && name > self {
			above++
		}
	}
	return above < count
}

func weight(front, subject string) uint64 {
	return xxhash.Sum64String(front + "\x00" + subject)
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
