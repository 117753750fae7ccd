package plan

import (
	"maps"
	"slices"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Shares returns, for each service and region of origin, the fraction of the traffic
// that goes to each region. The sheet's weights apply as long as the regions have
// capacity for the requests now in flight, with the policy's headroom; the excess of
// a region is spread over the others by their weights. A region without a server
// that may get requests has no share, and a service that no region has capacity for
// has none at all.
func Shares(state statemachine.State, servers map[string]*wire.ServerStatus, fronts []statemachine.Member, policy Policy) []*wire.Share {
	if state.Sheet == nil {
		return nil
	}
	policy = policy.WithDefaults()
	totals := totalsOf(state, servers, policy)
	origins := regionNames(state, servers, fronts)
	var shares []*wire.Share
	for _, service := range slices.Sorted(maps.Keys(state.Sheet.Services)) {
		demand := totals.demand[service] * policy.DemandHeadroom
		regions := divide(state.Sheet.Weights[service], totals.capacity[service], demand)
		for _, origin := range origins {
			shares = appendShares(shares, service, origin, regions)
		}
	}
	return shares
}

func appendShares(shares []*wire.Share, service, origin string, regions []regionShare) []*wire.Share {
	for _, region := range regions {
		if region.share > 0 {
			shares = append(shares, &wire.Share{
				Service:    service,
				FromRegion: origin,
				ToRegion:   region.name,
				Share:      region.share,
			})
		}
	}
	return shares
}

// serviceTotals are the capacity and the demand of each service, in requests in
// flight.
type serviceTotals struct {
	capacity map[string]map[string]float64 // by service and region
	demand   map[string]float64            // by service
}

// totalsOf adds up the servers that may get requests. One that serves several
// services counts for each with an equal part.
func totalsOf(state statemachine.State, servers map[string]*wire.ServerStatus, policy Policy) serviceTotals {
	totals := serviceTotals{
		capacity: map[string]map[string]float64{},
		demand:   map[string]float64{},
	}
	// In the order of names, as sums of floats depend on it.
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		status := servers[name]
		if ExclusionReason(state, status) == "" {
			totals.add(status, policy.Cap(status))
		}
	}
	return totals
}

func (t serviceTotals) add(status *wire.ServerStatus, serverCap int) {
	part := 1 / float64(len(status.Services))
	for _, service := range status.Services {
		if t.capacity[service] == nil {
			t.capacity[service] = map[string]float64{}
		}
		t.capacity[service][status.Region] += float64(serverCap) * part
		t.demand[service] += float64(status.Running+status.Queued) * part
	}
}

// regionShare is a region that may get traffic of a service.
type regionShare struct {
	name     string
	weight   float64
	capacity float64
	// share is in requests in flight while the demand is divided, and then the
	// fraction of the traffic.
	share float64
}

// divide returns the share of each region with a weight and capacity, sorted by
// name; the shares sum to 1. Without demand they are the weights; with more than
// the total capacity, the capacities.
func divide(weights, capacity map[string]float64, demand float64) []regionShare {
	var regions []regionShare
	totalCapacity := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		if weights[name] > 0 && capacity[name] > 0 {
			regions = append(regions, regionShare{name: name, weight: weights[name], capacity: capacity[name]})
			totalCapacity += capacity[name]
		}
	}
	if len(regions) == 0 {
		return nil
	}
	if demand >= totalCapacity {
		return normalize(regions, func(region regionShare) float64 { return region.capacity })
	}
	if demand <= 0 {
		return normalize(regions, func(region regionShare) float64 { return region.weight })
	}
	fillByWeight(regions, demand)
	return normalize(regions, func(region regionShare) float64 { return region.share })
}

// fillByWeight divides a demand below the total capacity by weight. A region that
// would get more than its capacity gets just that, and the remaining demand is
// divided again over the others.
func fillByWeight(regions []regionShare, demand float64) {
	remaining := demand
	full := make([]bool, len(regions))
	for range regions {
		weight := openWeight(regions, full)
		clipped := clip(regions, full, remaining, weight)
		remaining = demand
		for i := range regions {
			if full[i] {
				remaining -= regions[i].share
			}
		}
		if !clipped {
			fillOpen(regions, full, remaining, weight)
			return
		}
	}
}

// openWeight returns the sum of the weights of the regions that are not full.
func openWeight(regions []regionShare, full []bool) float64 {
	weight := 0.0
	for i, region := range regions {
		if !full[i] {
			weight += region.weight
		}
	}
	return weight
}

// clip gives the regions that would get more than their capacity just that, marks
// them as full and reports whether there were any.
func clip(regions []regionShare, full []bool, remaining, weight float64) bool {
	clipped := false
	for i, region := range regions {
		if !full[i] && remaining*region.weight/weight > region.capacity {
			full[i] = true
			regions[i].share = region.capacity
			clipped = true
		}
	}
	return clipped
}

func fillOpen(regions []regionShare, full []bool, remaining, weight float64) {
	for i, region := range regions {
		if !full[i] {
			regions[i].share = max(remaining, 0) * region.weight / weight
		}
	}
}

// normalize sets the shares to a measure of each region, divided by its sum.
func normalize(regions []regionShare, measure func(regionShare) float64) []regionShare {
	total := 0.0
	for _, region := range regions {
		total += measure(region)
	}
	for i, region := range regions {
		regions[i].share = measure(region) / total
	}
	return regions
}

// regionNames returns the names of all regions, sorted: those with a weight, a
// server or a front.
func regionNames(state statemachine.State, servers map[string]*wire.ServerStatus, fronts []statemachine.Member) []string {
	names := map[string]bool{}
	for _, weights := range state.Sheet.Weights {
		for region := range weights {
			names[region] = true
		}
	}
	for _, status := range servers {
		names[status.Region] = true
	}
	for _, member := range fronts {
		names[member.Region] = true
	}
	delete(names, "")
	return slices.Sorted(maps.Keys(names))
}
