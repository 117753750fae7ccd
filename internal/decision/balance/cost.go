package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Costs, in milliseconds of client latency, and factors on them.
const (
	// otherRegionCost and otherZoneCost account for the round-trip time to a server and
	// the price of the traffic.
	otherRegionCost = 30
	otherZoneCost   = 1
	// inFlightCost is the delay that each request in flight at a server adds.
	inFlightCost = 4
	// stalledCost keeps requests away from a stalled server as long as another server
	// is available.
	stalledCost = 5000
	// costPerFailure is added for each recent failure of a server.
	costPerFailure = 200
	// prefixMissWeight is a factor on the prefill time of a prefix miss. It exceeds 1
	// since the prefix evicts others from the server's cache.
	prefixMissWeight = 3
	// maxTieBreakCost bounds the cost that separates otherwise equal servers.
	maxTieBreakCost = 0.5
)

// cost returns the cost of sending a request to a server, in milliseconds. The order
// of the additions must not change: it determines the rounding of the sum, on which
// the choice between servers depends.
func (t *Table) cost(srv *server, request *Request, preferred *server, now time.Time) float64 {
	msPerToken := t.prefillSpeed(request.Service).msPerToken()
	cost := srv.load.backlogTokens*msPerToken + float64(srv.load.inFlight)*inFlightCost
	if !t.config.Disabled[PrefixMissCost] {
		cost += t.uncachedTokens(srv, request, preferred, now) * msPerToken * prefixMissWeight
	}
	if t.isMisplaced(srv, request, now) {
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
	return cost + maxTieBreakCost*t.tieBreak(srv, request)
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

// tieBreak returns a number in [0, 1) that orders servers differently on each node and
// for each shared prefix, or for each request without one.
func (t *Table) tieBreak(srv *server, request *Request) float64 {
	key := request.PrefixDigest
	if key == 0 {
		key = xxhash.Sum64String(request.ID)
	}
	return toUnitInterval(splitMix64Finalizer(srv.hash ^ key ^ t.selfHash))
}
