package plan

import (
	"maps"
	"slices"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Shares returns, for each service and region of origin, the fraction of the traffic
// that goes to each region. The sheet's weights apply as long as the regions have
// capacity for the current demand, which is the running and queued requests times the
// policy's headroom. Demand that exceeds a region's capacity is distributed over the
// other regions by weight. A region without a usable server has no share, and a
// service without capacity in any region has no shares.
func Shares(state statemachine.State, servers map[string]*wire.ServerStatus, fronts []statemachine.Member, policy Policy) []*wire.Share {
	if state.Sheet == nil {
		return nil
	}
	policy = policy.WithDefaults()
	totals := sumTotals(state, servers, policy)
	origins := regionNames(state, servers, fronts)
	var shares []*wire.Share
	for _, service := range slices.Sorted(maps.Keys(state.Sheet.Services)) {
		demand := totals.demand[service] * policy.DemandHeadroom
		regions := divideDemand(state.Sheet.Weights[service], totals.capacity[service], demand)
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

// serviceTotals contains the capacity and the demand of each service, both as numbers
// of requests in flight.
type serviceTotals struct {
	capacity map[string]map[string]float64 // by service and region
	demand   map[string]float64            // by service
}

// sumTotals adds up the capacity and the demand of the usable servers. A server that
// serves several services is divided equally among them.
func sumTotals(state statemachine.State, servers map[string]*wire.ServerStatus, policy Policy) serviceTotals {
	totals := serviceTotals{
		capacity: map[string]map[string]float64{},
		demand:   map[string]float64{},
	}
	// Floating-point sums depend on the order, which must be the same on each leader.
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		status := servers[name]
		if ExclusionReason(state, status) == "" {
			totals.addServer(status, policy.Cap(status))
		}
	}
	return totals
}

func (t serviceTotals) addServer(status *wire.ServerStatus, serverCap int) {
	fraction := 1 / float64(len(status.Services))
	for _, service := range status.Services {
		if t.capacity[service] == nil {
			t.capacity[service] = map[string]float64{}
		}
		t.capacity[service][status.Region] += float64(serverCap) * fraction
		t.demand[service] += float64(status.Running+status.Queued) * fraction
	}
}

// regionShare is a region that may receive traffic of a service.
type regionShare struct {
	name     string
	weight   float64
	capacity float64
	// share is a number of requests in flight until normalize turns it into a fraction
	// of the traffic.
	share float64
}

// divideDemand returns the share of each region that has a weight and capacity, sorted
// by name. The shares sum to 1. They are proportional to the weights if there is no
// demand, and to the capacities if the demand reaches the total capacity.
func divideDemand(weights, capacity map[string]float64, demand float64) []regionShare {
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

// fillByWeight divides a demand below the total capacity by weight. A region whose part
// would exceed its capacity is limited to its capacity, and the remaining demand is
// divided again among the other regions.
func fillByWeight(regions []regionShare, demand float64) {
	remaining := demand
	saturated := make([]bool, len(regions))
	for range regions {
		weight := unsaturatedWeight(regions, saturated)
		anySaturated := saturateRegions(regions, saturated, remaining, weight)
		remaining = demand
		for i := range regions {
			if saturated[i] {
				remaining -= regions[i].share
			}
		}
		if !anySaturated {
			fillUnsaturated(regions, saturated, remaining, weight)
			return
		}
	}
}

// unsaturatedWeight returns the total weight of the regions that are below capacity.
func unsaturatedWeight(regions []regionShare, saturated []bool) float64 {
	weight := 0.0
	for i, region := range regions {
		if !saturated[i] {
			weight += region.weight
		}
	}
	return weight
}

// saturateRegions limits the regions whose part of the remaining demand exceeds their
// capacity to that capacity, marks them as saturated and returns whether there were any.
func saturateRegions(regions []regionShare, saturated []bool, remaining, weight float64) bool {
	anySaturated := false
	for i, region := range regions {
		if !saturated[i] && remaining*region.weight/weight > region.capacity {
			saturated[i] = true
			regions[i].share = region.capacity
			anySaturated = true
		}
	}
	return anySaturated
}

// fillUnsaturated divides the remaining demand among the unsaturated regions by weight.
func fillUnsaturated(regions []regionShare, saturated []bool, remaining, weight float64) {
	for i, region := range regions {
		if !saturated[i] {
			regions[i].share = max(remaining, 0) * region.weight / weight
		}
	}
}

// normalize sets each region's share to its measure divided by the sum of all measures.
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

// regionNames returns the sorted names of all regions that have a weight, a server or
// a front.
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
