package front

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
)

// Connect tells which nodes a caller should talk to: those of its own
// zone first, then of its region, then all others; evacuated ones last.
// Equally near ones come in an order that differs from request to request.
func (f *Front) Connect(_ context.Context, ask *clientapi.Connect) (*clientapi.Nearest, *apierror.Error) {
	view := f.views.View()
	if ask.Service != "" && view.State.Sheet != nil {
		if _, known := view.State.Sheet.Services[ask.Service]; !known {
			return nil, apierror.Errorf(apierror.UnknownService, "the sheet in force has no service %q", ask.Service)
		}
	}
	region, zone := ask.Region, ask.Zone
	if region == "" {
		region, zone = f.config.Region, f.config.Zone
	}
	type place struct {
		node clientapi.Node
		far  int
		draw uint64
	}
	places := []place{}
	add := func(name, address, atRegion, atZone string) {
		p := place{node: clientapi.Node{Name: name, Address: address, Region: atRegion, Zone: atZone}, draw: xxhash.Sum64String(ask.ID + "/" + name)}
		switch {
		case plan.IsEvacuated(view.State, atRegion, atZone):
			p.far = 3
		case atRegion != region:
			p.far = 2
		case atZone != zone:
			p.far = 1
		}
		places = append(places, p)
	}
	if f.config.Address != "" {
		add(f.config.Name, f.config.Address, f.config.Region, f.config.Zone)
	}
	for _, front := range view.Fronts {
		if front.Name == f.config.Name && f.config.Address != "" {
			continue
		}
		if front.Front && front.Ready && !front.Leaving && front.CallerAddress != "" {
			add(front.Name, front.CallerAddress, front.Region, front.Zone)
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.far != b.far {
			return a.far - b.far
		}
		if a.draw < b.draw {
			return -1
		}
		return 1
	})
	nearest := &clientapi.Nearest{RequestID: ask.ID, Service: ask.Service, Region: region, Nodes: []clientapi.Node{}}
	for _, p := range places {
		nearest.Nodes = append(nearest.Nodes, p.node)
	}
	return nearest, nil
}
