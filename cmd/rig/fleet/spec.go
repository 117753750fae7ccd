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

// firstZones are the zones of the first deployment.
var firstZones = []Location{
	{Region: "lagos", Zone: "a"},
	{Region: "lagos", Zone: "b"},
	{Region: "abeokuta", Zone: "a"},
}

// Size is how many processes of each kind a deployment has.
type Size struct {
	Cores  int
	Fronts int
	Models int
	Webs   int
}

// SizedDeployment returns a deployment of a size in the zones and with the services
// of the first deployment; each kind of process is spread evenly.
func SizedDeployment(size Size) Spec {
	spec := Spec{
		ModelSpec:   emulator.TypicalModelSpec(),
		ServersWarm: true,
		Services:    firstServices(),
	}
	for i := range size.Cores {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("core%d", i+1),
			Location: zoneOf(i),
			Core:     true,
		})
	}
	for i := range size.Fronts {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("front%d", i+1),
			Location: zoneOf(i),
		})
	}
	for i := range size.Models {
		spec.Models = append(spec.Models, zoneOf(i))
	}
	for i := range size.Webs {
		spec.Webs = append(spec.Webs, zoneOf(i))
	}
	return spec
}

func zoneOf(i int) Location { return firstZones[i%len(firstZones)] }

func firstServices() Services {
	return Services{
		Model: []string{"digest", "helpline", "headline"},
		Web:   []string{"outage", "repairs"},
	}
}

// FirstDeployment returns the first deployment: 9 nodes, 3 of them cores, in three
// zones; 18 model and 3 web servers.
func FirstDeployment() Spec {
	zones := firstZones
	lagos, abeokuta := zones[:2], zones[2]
	spec := Spec{
		ModelSpec:   emulator.TypicalModelSpec(),
		Webs:        zones,
		ServersWarm: true,
		Services:    firstServices(),
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
