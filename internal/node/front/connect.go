package front

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/node/follower"
)

// distance is how far a node is from a caller in terms of failure domains. A node
// in an evacuated region or zone sorts last regardless of its location.
type distance int

const (
	sameZone distance = iota
	sameRegion
	otherRegion
	evacuated
)

// rankedNode is a node with its sort keys.
type rankedNode struct {
	node     clientapi.Node
	distance distance
	// tieBreak orders nodes at the same distance. It is a hash of the request id
	// and the node's name, so that callers spread evenly over these nodes.
	tieBreak uint64
}

// Connect returns the nodes that a caller may use, nearest first: nodes in its
// zone, then in its region, then all others; evacuated nodes are last. The order of
// nodes at the same distance depends on the request id. A service that is not in
// the sheet is rejected as UnknownService.
func (f *Front) Connect(_ context.Context, request *clientapi.Connect) (*clientapi.NearestNodes, *apierror.Error) {
	view := f.views.View()
	if request.Service != "" && view.State.Sheet != nil {
		if _, ok := view.State.Sheet.Services[request.Service]; !ok {
			return nil, apierror.Errorf(apierror.UnknownService, "the sheet in force has no service %q", request.Service)
		}
	}
	region, zone := request.Region, request.Zone
	if region == "" {
		region, zone = f.config.Region, f.config.Zone
	}
	candidates := f.callerNodes(view)
	ranked := make([]rankedNode, 0, len(candidates))
	for _, node := range candidates {
		ranked = append(ranked, rankedNode{
			node:     node,
			distance: distanceTo(node, view.State, region, zone),
			tieBreak: xxhash.Sum64String(request.ID + "/" + node.Name),
		})
	}
	slices.SortFunc(ranked, compareRanked)
	nearest := &clientapi.NearestNodes{
		RequestID: request.ID,
		Service:   request.Service,
		Region:    region,
		Nodes:     []clientapi.Node{},
	}
	for _, candidate := range ranked {
		nearest.Nodes = append(nearest.Nodes, candidate.node)
	}
	return nearest, nil
}

// callerNodes returns the nodes that callers may use: this node and all other
// fronts in the view that are ready and not draining, if they advertise an address.
func (f *Front) callerNodes(view *follower.View) []clientapi.Node {
	nodes := []clientapi.Node{}
	if f.config.Address != "" {
		nodes = append(nodes, clientapi.Node{
			Name:    f.config.Name,
			Address: f.config.Address,
			Region:  f.config.Region,
			Zone:    f.config.Zone,
		})
	}
	for _, process := range view.Fronts {
		if process.Name == f.config.Name && f.config.Address != "" {
			continue
		}
		if process.Front && process.Ready && !process.Leaving && process.CallerAddress != "" {
			nodes = append(nodes, clientapi.Node{
				Name:    process.Name,
				Address: process.CallerAddress,
				Region:  process.Region,
				Zone:    process.Zone,
			})
		}
	}
	return nodes
}

func distanceTo(node clientapi.Node, state statemachine.State, region, zone string) distance {
	switch {
	case plan.IsEvacuated(state, node.Region, node.Zone):
		return evacuated
	case node.Region != region:
		return otherRegion
	case node.Zone != zone:
		return sameRegion
	}
	return sameZone
}

func compareRanked(a, b rankedNode) int {
	if a.distance != b.distance {
		return int(a.distance - b.distance)
	}
	if a.tieBreak < b.tieBreak {
		return -1
	}
	return 1
}
