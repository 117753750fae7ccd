package statemachine

import (
	"strconv"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// Evacuate drains a region, or a zone written as region/zone. It is idempotent.
type Evacuate struct {
	Order
	Zone string `json:"locality"`
}

// Restore ends the evacuation of a region or zone. It is idempotent.
type Restore struct {
	Order
	Zone string `json:"locality"`
}

// Verb implements Command.
func (Evacuate) Verb() string { return sheet.VerbEvacuate }

// Verb implements Command.
func (Restore) Verb() string { return sheet.VerbRestore }

// Apply evacuates the zone; for one that is evacuated already, the version of
// the first evacuation stays.
func (c Evacuate) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.order()
	if result, decided := s.checkZoneOrder(order, c.Zone); decided {
		return s, result
	}
	if _, evacuated := s.Evacuated[c.Zone]; !evacuated {
		s.Evacuated = cloned(s.Evacuated)
		s.Evacuated[c.Zone] = version
	}
	return s.accepted(order, c.Verb(), c.Zone)
}

// Apply ends the evacuation of the zone, if there is one.
func (c Restore) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.order()
	if result, decided := s.checkZoneOrder(order, c.Zone); decided {
		return s, result
	}
	if _, evacuated := s.Evacuated[c.Zone]; evacuated {
		s.Evacuated = cloned(s.Evacuated)
		delete(s.Evacuated, c.Zone)
	}
	return s.accepted(order, c.Verb(), c.Zone)
}

// IsEvacuated reports whether a zone, or the region that it is in, is
// evacuated.
func (s State) IsEvacuated(region, zone string) bool {
	if len(s.Evacuated) == 0 {
		return false
	}
	if _, evacuated := s.Evacuated[region]; evacuated {
		return true
	}
	_, evacuated := s.Evacuated[sheet.ZoneName(region, zone)]
	return evacuated
}

// checkZoneOrder returns the result of an order on a zone that changes nothing:
// one that was accepted before, or whose zone has no valid name.
func (s State) checkZoneOrder(order Order, zone string) (Result, bool) {
	if result, known := s.checkReplay(order); known {
		return result, true
	}
	if apiErr := checkZone(zone); apiErr != nil {
		return s.rejected(apiErr), true
	}
	return Result{}, false
}

// checkZone rejects a text that is neither the name of a region nor of a zone.
func checkZone(name string) *apierror.Error {
	if sheet.ValidZoneName(name) {
		return nil
	}
	return apierror.Errorf(apierror.UnknownZone, "%s is neither a region nor region/zone", strconv.Quote(strictjson.Excerpt(name)))
}

func (c Evacuate) order() Order {
	return c.withDigest(sheet.VerbEvacuate, func() any { return c.Zone })
}

func (c Restore) order() Order {
	return c.withDigest(sheet.VerbRestore, func() any { return c.Zone })
}

func (Evacuate) byOperator() bool { return true }
func (Restore) byOperator() bool  { return true }

func (c Evacuate) withOrder(order Order) Command {
	c.Order = order
	return c
}

func (c Restore) withOrder(order Order) Command {
	c.Order = order
	return c
}
