package healthcheck

import (
	"slices"

	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

// location is a region and a zone of it; the zone is empty for the whole region.
type location struct {
	region string
	zone   string
}

// isAmongFirst reports whether self is among the first count of the candidates for
// a subject by rendezvous hashing. Where self is not a candidate, its rank is
// computed as if it were.
func isAmongFirst(self, subject string, candidates []string, count int) bool {
	ownWeight := rendezvous.Weight(self, subject)
	above := 0
	for _, name := range candidates {
		if name == self {
			continue
		}
		weight := rendezvous.Weight(name, subject)
		if weight > ownWeight || weight == ownWeight && name > self {
			above++
		}
	}
	return above < count
}

// isAssigned reports whether this front is one of count fronts that check a subject
// at a location: fronts of its zone, of its region where the zone has none or none
// is given, or of any region where that has none either.
func (c *Checker) isAssigned(fronts []*wire.Process, subject string, target location, count int) bool {
	var inZone, inRegion, all []string
	for _, front := range fronts {
		if !front.Front || front.Leaving {
			continue
		}
		all = append(all, front.Name)
		if front.Region != target.region {
			continue
		}
		inRegion = append(inRegion, front.Name)
		if front.Zone == target.zone {
			inZone = append(inZone, front.Name)
		}
	}
	isInRegion := c.config.Region == target.region
	isInZone := isInRegion && c.config.Zone == target.zone
	switch {
	case target.zone != "" && (len(inZone) > 0 || isInZone):
		return isInZone && isAmongFirst(c.config.Self, subject, inZone, count)
	case len(inRegion) > 0 || isInRegion:
		return isInRegion && isAmongFirst(c.config.Self, subject, inRegion, count)
	}
	return isAmongFirst(c.config.Self, subject, all, count)
}

// listAssignment is whether this front reads the list, as computed from some known
// fronts.
type listAssignment struct {
	isComputed bool
	fronts     []*wire.Process
	isReader   bool
}

// readsList reports whether this front is among those of its region that read the
// list. It is computed again only when the known fronts change.
func (c *Checker) readsList(fronts []*wire.Process) bool {
	last := &c.discovery.assignment
	if last.isComputed && slices.Equal(last.fronts, fronts) {
		return last.isReader
	}
	*last = listAssignment{
		isComputed: true,
		fronts:     fronts,
		isReader:   c.isAssigned(fronts, "", location{region: c.config.Region}, c.config.ListReaders),
	}
	return last.isReader
}
