package fleet

import (
	"fmt"

	"stepwick/cmd/rig/emulator"
)

// Location is the failure domain of a process.
type Location struct {
	Region string
	Zone   string
}

// ZoneName returns the zone's name over all regions: "region/zone".
func (l Location) ZoneName() string { return l.Region + "/" + l.Zone }

// NodeSpec describes one node.
type NodeSpec struct {
	Name string
	Location
	Core     bool
	Settings map[string]string // override those of the fleet
	Binary   string            // path of the node's program; empty for the fleet's
}

// Spec describes a deployment.
type Spec struct {
	Nodes       []NodeSpec
	Models      []Location // of the model servers
	Webs        []Location // of the web servers
	ModelSpec   emulator.ModelSpec
	Services    Services
	Settings    map[string]string // of all nodes
	ServersWarm bool              // servers begin warm
}

// Services are the names of the services, by the kind of their servers.
type Services struct {
	Model []string
	Web   []string
}

// Sizes of the first deployment.
const (
	firstFronts           = 6
	firstModelsInLagos    = 10
	firstModelsInAbeokuta = 8
)

// FirstDeployment returns the first deployment: 9 nodes, 3 of them cores, in three
// zones; 18 model and 3 web servers.
func FirstDeployment() Spec {
	zones := []Location{
		{Region: "lagos", Zone: "a"},
		{Region: "lagos", Zone: "b"},
		{Region: "abeokuta", Zone: "a"},
	}
	lagos, abeokuta := zones[:2], zones[2]
	spec := Spec{
		ModelSpec:   emulator.TypicalModel(),
		Webs:        zones,
		ServersWarm: true,
		Services: Services{
			Model: []string{"digest", "helpline", "headline"},
			Web:   []string{"outage", "repairs"},
		},
	}
	for i, zone := range zones {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("core%d", i+1),
			Location: zone,
			Core:     true,
		})
	}
	for i := range firstFronts {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("front%d", i+1),
			Location: zones[i%len(zones)],
		})
	}
	for i := range firstModelsInLagos {
		spec.Models = append(spec.Models, lagos[i%len(lagos)])
	}
	for range firstModelsInAbeokuta {
		spec.Models = append(spec.Models, abeokuta)
	}
	return spec
}
