package healthcheck

import (
	"slices"

	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

// location is a zone of a region, or the whole region if the zone is empty.
type location struct {
	region string
	zone   string
}

// isAmongFirst reports whether self ranks among the first count candidates for a
// subject by rendezvous hashing. If candidates does not contain self, self is ranked
// as if it did.
func isAmongFirst(self, subject string, candidates []string, count int) bool {
	ownWeight := rendezvous.Weight(self, subject)
	higherRanked := 0
	for _, name := range candidates {
		if name == self {
			continue
		}
		weight := rendezvous.Weight(name, subject)
		if weight > ownWeight || weight == ownWeight && name > self {
			higherRanked++
		}
	}
	return higherRanked < count
}

// isAssigned reports whether this front is one of the count fronts that check a
// subject at the target location. Candidates are the fronts in the target's zone; if
// there are none or the zone is empty, those in its region; and if there are none
// either, all fronts. Fronts that are leaving are no candidates.
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

// listAssignment caches whether this front is assigned to read the list, with the
// fronts from which that was computed.
type listAssignment struct {
	isComputed bool
	fronts     []*wire.Process
	isReader   bool
}

// readsList reports whether this front is one of the list readers of its region. The
// result is cached until the fronts in the view change.
func (c *Checker) readsList(fronts []*wire.Process) bool {
	last := &c.discovery.assignment
	if last.isComputed && slices.Equal(last.fronts, fronts) {
		return last.isReader
	}
	*last = listAssignment{
		isComputed: true,
		fronts:     fronts,
		isReader:   c.isAssigned(fronts, "", location{region: c.config.Region}, c.config.ListReadersPerRegion),
	}
	return last.isReader
}
