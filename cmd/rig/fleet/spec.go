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

// ZoneName returns the name of the zone, unique across regions: "region/zone".
func (l Location) ZoneName() string { return l.Region + "/" + l.Zone }

// NodeSpec describes one node.
type NodeSpec struct {
	Name string
	Location
	Core     bool
	Settings map[string]string // override those of the fleet
	Binary   string            // path of the node's program; empty for the fleet's binary
}

// Spec describes a deployment.
type Spec struct {
	Nodes            []NodeSpec
	ModelLocations   []Location // one for each model server
	WebLocations     []Location // one for each web server
	ModelSpec        emulator.ModelSpec
	Services         Services
	Settings         map[string]string // of all nodes
	ServersStartWarm bool              // servers start without a warm-up
}

// Services lists the names of the services by the kind of server that offers them.
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

// firstDeploymentZones are the zones of the first deployment.
var firstDeploymentZones = []Location{
	{Region: "lagos", Zone: "a"},
	{Region: "lagos", Zone: "b"},
	{Region: "abeokuta", Zone: "a"},
}

// Size is the number of processes of each kind in a deployment.
type Size struct {
	Cores  int
	Fronts int
	Models int
	Webs   int
}

// SizedDeployment returns a deployment of the given size with the zones and services
// of FirstDeployment; each kind of process is spread evenly over the zones.
func SizedDeployment(size Size) Spec {
	spec := Spec{
		ModelSpec:        emulator.TypicalModelSpec(),
		ServersStartWarm: true,
		Services:         firstDeploymentServices(),
	}
	for i := range size.Cores {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("core%d", i+1),
			Location: zoneForIndex(i),
			Core:     true,
		})
	}
	for i := range size.Fronts {
		spec.Nodes = append(spec.Nodes, NodeSpec{
			Name:     fmt.Sprintf("front%d", i+1),
			Location: zoneForIndex(i),
		})
	}
	for i := range size.Models {
		spec.ModelLocations = append(spec.ModelLocations, zoneForIndex(i))
	}
	for i := range size.Webs {
		spec.WebLocations = append(spec.WebLocations, zoneForIndex(i))
	}
	return spec
}

func zoneForIndex(i int) Location { return firstDeploymentZones[i%len(firstDeploymentZones)] }

func firstDeploymentServices() Services {
	return Services{
		Model: []string{"digest", "helpline", "headline"},
		Web:   []string{"outage", "repairs"},
	}
}

// FirstDeployment returns the standard deployment of the rig: 9 nodes, 3 of them
// cores, in three zones, with 18 model and 3 web servers.
func FirstDeployment() Spec {
	zones := firstDeploymentZones
	lagos, abeokuta := zones[:2], zones[2]
	spec := Spec{
		ModelSpec:        emulator.TypicalModelSpec(),
		WebLocations:     zones,
		ServersStartWarm: true,
		Services:         firstDeploymentServices(),
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
		spec.ModelLocations = append(spec.ModelLocations, lagos[i%len(lagos)])
	}
	for range firstModelsInAbeokuta {
		spec.ModelLocations = append(spec.ModelLocations, abeokuta)
	}
	return spec
}
