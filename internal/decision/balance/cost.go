package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs in milliseconds of a client's waiting.
const (
	// otherRegionCost and otherZoneCost stand for the round trip to a server and for
	// the price of the bytes.
	otherRegionCost = 30
	otherZoneCost   = 1
	// inFlightCost is how much one more request at a server delays the others.
	inFlightCost = 4
	// stalledCost keeps requests from a stalled server while there is any other.
	stalledCost = 5000
	// costPerFailure is added for each recent failure.
	costPerFailure = 200
	// prefixMissWeight is how much more a prefix miss costs than the time of its
	// prefill, since the prefix evicts others.
	prefixMissWeight = 3
	// tieSpread separates servers of equal cost.
	tieSpread = 0.5
)

// cost returns the cost of having a request served by a server. The order of the
// sum decides its rounding, on which the choice between servers depends.
func (t *Table) cost(srv *server, request *Request, preferred *server, now time.Time) float64 {
	perToken := t.speed(request.Service).perToken()
	cost := srv.load.backlogTokens*perToken + float64(srv.load.inFlight)*inFlightCost
	if !t.config.Disabled[PrefixMissCost] {
		cost += t.uncachedTokens(srv, request, preferred, now) * perToken * prefixMissWeight
	}
	if t.misplaced(srv, request, now) {
		cost += misplacedCost
	}
	if !t.config.Disabled[NetworkCost] {
		cost += t.networkCost(srv)
	}
	if !t.config.Disabled[StallAvoidance] && t.stallLevel(srv, now) >= Stalled {
		cost += stalledCost
	}
	if !t.config.Disabled[SuspicionCost] {
		cost += srv.suspicion.cost(now)
	}
	return cost + tieSpread*t.tieBreak(srv, request)
}

func (t *Table) networkCost(srv *server) float64 {
	switch {
	case srv.status.Region != t.config.Region:
		return otherRegionCost
	case srv.status.Zone != t.config.Zone:
		return otherZoneCost
	}
	return 0
}

// tieBreak returns a number in [0, 1) that orders servers differently for each
// prefix, or request without one, and node.
func (t *Table) tieBreak(srv *server, request *Request) float64 {
	key := request.Affinity
	if key == 0 {
		key = xxhash.Sum64String(request.ID)
	}
	return unitInterval(mix(srv.hash ^ key ^ t.selfHash))
}
