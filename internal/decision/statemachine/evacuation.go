package statemachine

import (
	"slices"
	"strconv"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// Evacuate drains a region, or a zone given as region/zone. If its order has a base,
// it is applied only if no other order on the zone was accepted after that version, so
// that a delayed copy can't undo a newer order.
type Evacuate struct {
	Order
	Zone string `json:"locality"`
}

// Restore ends the evacuation of a region or zone. Its base is that of Evacuate.
type Restore struct {
	Order
	Zone string `json:"locality"`
}

// Verb implements Command.
func (Evacuate) Verb() string { return sheet.VerbEvacuate }

// Verb implements Command.
func (Restore) Verb() string { return sheet.VerbRestore }

// Apply evacuates the zone. If the zone is already evacuated, the recorded version
// remains that of the first evacuation.
func (c Evacuate) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	order := c.order()
	if result, decided := state.checkZoneOrder(order, c.Zone, true); decided {
		return state, result
	}
	if _, evacuated := state.Evacuated[c.Zone]; !evacuated {
		state.Evacuated = cloneMap(state.Evacuated)
		state.Evacuated[c.Zone] = version
	}
	return state.recordAccepted(order, c.Verb(), c.Zone)
}

// Apply ends the evacuation of the zone, if it is evacuated.
func (c Restore) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	order := c.order()
	if result, decided := state.checkZoneOrder(order, c.Zone, false); decided {
		return state, result
	}
	if _, evacuated := state.Evacuated[c.Zone]; evacuated {
		state.Evacuated = cloneMap(state.Evacuated)
		delete(state.Evacuated, c.Zone)
	}
	return state.recordAccepted(order, c.Verb(), c.Zone)
}

// IsEvacuated reports whether the zone or its region is evacuated.
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

// checkZoneOrder returns the result of an order on a zone that is not to be applied: a
// replay, an order with an invalid name, or one whose base is older than the last order
// on the zone. The latter succeeds if the zone is already as the order wants it, unless it
// has an id: its success would leave no record by which a copy of it is recognised (see
// Rebase). The second result is false if the order is to be applied.
func (s State) checkZoneOrder(order Order, zone string, evacuate bool) (Result, bool) {
	if result, replayed := s.checkReplay(order); replayed {
		return result, true
	}
	if apiErr := checkZone(zone); apiErr != nil {
		return s.rejection(apiErr), true
	}
	lastOrder := s.lastZoneOrder(zone)
	if order.Base == 0 || lastOrder <= order.Base {
		return Result{}, false
	}
	result := s.result(apierror.BaseConflict, "base %d: epoch %d has a later order on %s", order.Base, lastOrder, zone)
	if order.OrderID == "" && s.isOrdered(zone, evacuate) {
		result = s.result(apierror.OK, "")
	}
	result.Version = lastOrder
	return result, true
}

// Rebase returns an order on a zone that is rejected only because a later order has already
// brought the zone into the state that it wants, with that order's version as its base: it
// is then applied and recorded, unless a contrary order is accepted first. The second
// result is false for all other commands.
func (s State) Rebase(command Command) (Command, bool) {
	switch order := command.(type) {
	case Evacuate:
		base, rebased := s.rebasedVersion(order.Order, order.Zone, true)
		order.Base = base
		return order, rebased
	case Restore:
		base, rebased := s.rebasedVersion(order.Order, order.Zone, false)
		order.Base = base
		return order, rebased
	}
	return command, false
}

// rebasedVersion returns the base that Rebase gives to an order on a zone. The second
// result is false if the order keeps its base.
func (s State) rebasedVersion(order Order, zone string, evacuate bool) (uint64, bool) {
	lastOrder := s.lastZoneOrder(zone)
	if order.Base == 0 || order.Base >= lastOrder || !s.isOrdered(zone, evacuate) {
		return order.Base, false
	}
	return lastOrder, true
}

// isOrdered reports whether a zone is evacuated, or is not, as an order wants it.
func (s State) isOrdered(zone string, evacuate bool) bool {
	_, evacuated := s.Evacuated[zone]
	return evacuated == evacuate
}

// lastZoneOrder returns the version of the last accepted order on a zone. If the history
// contains none, it returns the version up to which the history may have dropped one.
func (s State) lastZoneOrder(zone string) uint64 {
	for _, record := range slices.Backward(s.History) {
		if (record.Verb == sheet.VerbEvacuate || record.Verb == sheet.VerbRestore) && record.Summary == zone {
			return record.Version
		}
	}
	if len(s.History) < MaxHistory {
		return 0
	}
	return s.History[0].Version
}

// EffectiveVersion returns the version that must be in force before an order that was
// accepted at a version is acknowledged. For an order on a zone that was as the order wants
// it before, that is the version since which it has been so without interruption: a copy of
// an order does not wait for a version of its own. For all others it is the given version.
func (s State) EffectiveVersion(command Command, version uint64) uint64 {
	since := uint64(0)
	switch order := command.(type) {
	case Evacuate:
		since = s.Evacuated[order.Zone]
	case Restore:
		since = s.restoredSince(order.Zone)
	}
	if since == 0 || since > version {
		return version
	}
	return since
}

// restoredSince returns the version of the oldest order in the history since which the zone
// has not been evacuated; 0 if it is evacuated or if there is none.
func (s State) restoredSince(zone string) uint64 {
	since := uint64(0)
	for _, record := range slices.Backward(s.History) {
		if record.Summary != zone {
			continue
		}
		if record.Verb == sheet.VerbEvacuate {
			break
		}
		if record.Verb == sheet.VerbRestore {
			since = record.Version
		}
	}
	return since
}

// checkZone returns an UnknownZone error unless name has the form of a region or
// region/zone.
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
