package plan

import (
	"maps"
	"slices"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

type room struct {
	region   string
	weight   float64
	capacity float64
	share    float64
}

// Shares returns, for each service and each region of origin, the fraction of
// the traffic that goes to each region. The sheet's weights hold as long as the
// regions have room for the requests now in flight, with the policy's headroom;
// what a region has no room for is spilt over the others by their weights. A
// region without a server that may get requests gets none. A service that no
// region can carry has no shares.
func Shares(state sheet.State, servers map[string]*wire.ServerStatus, fronts []sheet.Member, policy Policy) []*wire.Share {
	if state.Sheet == nil {
		return nil
	}
	policy = policy.WithDefaults()
	capacity, demand := survey(state, servers, policy)
	from := regions(state, servers, fronts)
	var shares []*wire.Share
	for _, service := range slices.Sorted(maps.Keys(state.Sheet.Services)) {
		rooms := divide(state.Sheet.Weights[service], capacity[service], demand[service]*policy.DemandHeadroom)
		for _, origin := range from {
			for _, r := range rooms {
				if r.share > 0 {
					shares = append(shares, &wire.Share{Service: service, FromRegion: origin, ToRegion: r.region, Share: r.share})
				}
			}
		}
	}
	return shares
}

func survey(state sheet.State, servers map[string]*wire.ServerStatus, policy Policy) (capacity map[string]map[string]float64, demand map[string]float64) {
	capacity, demand = map[string]map[string]float64{}, map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		status := servers[name]
		if ExclusionReason(state, status) != "" || len(status.Services) == 0 {
			continue
		}
		part := 1 / float64(len(status.Services))
		for _, service := range status.Services {
			if capacity[service] == nil {
				capacity[service] = map[string]float64{}
			}
			capacity[service][status.Region] += float64(policy.Cap(status)) * part
			demand[service] += float64(status.Running+status.Queued) * part
		}
	}
	return capacity, demand
}

func divide(weights map[string]float64, capacity map[string]float64, demand float64) []room {
	var rooms []room
	total := 0.0
	for _, region := range slices.Sorted(maps.Keys(weights)) {
		if weights[region] > 0 && capacity[region] > 0 {
			rooms = append(rooms, room{region: region, weight: weights[region], capacity: capacity[region]})
			total += capacity[region]
		}
	}
	if len(rooms) == 0 {
		return nil
	}
	if demand >= total {
		return scaled(rooms, func(r room) float64 { return r.capacity })
	}
	left, full := demand, make([]bool, len(rooms))
	for range rooms {
		weight, clipped := 0.0, false
		for i, r := range rooms {
			if !full[i] {
				weight += r.weight
			}
		}
		for i, r := range rooms {
			if !full[i] && left*r.weight/weight > r.capacity {
				full[i], clipped = true, true
				rooms[i].share = r.capacity
			}
		}
		left = demand
		for i := range rooms {
			if full[i] {
				left -= rooms[i].share
			}
		}
		if !clipped {
			for i, r := range rooms {
				if !full[i] {
					rooms[i].share = max(left, 0) * r.weight / weight
				}
			}
			break
		}
	}
	if demand <= 0 {
		return scaled(rooms, func(r room) float64 { return r.weight })
	}
	return scaled(rooms, func(r room) float64 { return r.share })
}

func scaled(rooms []room, part func(room) float64) []room {
	total := 0.0
	for _, r := range rooms {
		total += part(r)
	}
	for i, r := range rooms {
		rooms[i].share = part(r) / total
	}
	return rooms
}

func regions(state sheet.State, servers map[string]*wire.ServerStatus, fronts []sheet.Member) []string {
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
