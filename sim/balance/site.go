// Package balance simulates the choices of internal/decision/balance for many fronts in
// front of emulated model servers, in virtual time. The choices are the product's
// own code; servers, links, clients and the reports of unresponsive servers between
// fronts are modelled. It compares policies under many seeds, at sizes that one
// machine can't run as processes.
//
// Not modelled: faults, second attempts, tenants and cold servers.
package balance

import (
	"embed"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Site is the shape of a fleet and of its load. Times are in milliseconds,
// rates a second, sizes in tokens or bytes.
type Site struct {
	Name        string   `yaml:"name"`
	Seconds     float64  `yaml:"seconds"`
	Regions     []Region `yaml:"regions"`
	Zones       int      `yaml:"zones"` // of each region
	InZone      float64  `yaml:"in_zone"`
	CrossZone   float64  `yaml:"cross_zone"`
	CrossRegion float64  `yaml:"cross_region"`
	ToClient    float64  `yaml:"to_client"`
	Swing       float64  `yaml:"swing"`  // of the load around its mean
	Period      float64  `yaml:"period"` // of the swing, in seconds; regions are out of step
	Engine      Engine   `yaml:"engine"`
	Kinds       []Kind   `yaml:"kinds"`
	Burst       Burst    `yaml:"burst"`
	// Remembered is how long, in seconds, a shared part that is read anew by
	// another server counts as read again.
	Remembered float64 `yaml:"remembered"`
}

// Burst is a span in which a kind of requests comes more often.
type Burst struct {
	Kind  string  `yaml:"kind"`
	At    float64 `yaml:"at"`  // seconds
	For   float64 `yaml:"for"` // seconds
	Times float64 `yaml:"times"`
}

// Region is one region's size.
type Region struct {
	Name    string `yaml:"name"`
	Fronts  int    `yaml:"fronts"`
	Servers int    `yaml:"servers"`
}

// Engine is a model server: it works in steps, in each of which every running
// request gets a token and the waiting prompts are read, one after the other, up
// to a chunk.
type Engine struct {
	Slots       int     `yaml:"slots"`
	Step        float64 `yaml:"step"`
	StepPerSlot float64 `yaml:"step_per_slot"`
	ReadPerMS   float64 `yaml:"read_per_ms"` // tokens
	PairsPerM   float64 `yaml:"pairs_per_m"` // ms for a million pairs of tokens
	First       float64 `yaml:"first"`       // before a prompt is looked at
	Chunk       float64 `yaml:"chunk"`
	Memory      float64 `yaml:"memory"` // tokens
	Stride      int     `yaml:"stride"` // tokens of an event
}

// Kind is one kind of requests.
type Kind struct {
	Name      string   `yaml:"name"`
	PerSecond float64  `yaml:"per_second"` // of the whole site
	Objective float64  `yaml:"objective"`
	Pause     float64  `yaml:"pause"` // the longest between two events of an answer in time
	Worth     float64  `yaml:"worth"`
	LateWorth float64  `yaml:"late_worth"`
	Shared    []Shared `yaml:"shared"`
	Own       Size     `yaml:"own"`
	Out       Size     `yaml:"out"`   // tokens
	Bytes     float64  `yaml:"bytes"` // of a request and its answer
	Homes     []string `yaml:"homes"`
}

// Shared is one part of the prompts that requests of a kind have in common.
// Things is how many such parts there are; Skew how unevenly they are asked for.
type Shared struct {
	Size   Size    `yaml:"size"`
	Things int     `yaml:"things"`
	Skew   float64 `yaml:"skew"`
}

// Size is a log-normal size with a mean, the deviation of its logarithm, and a
// bound.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Most   float64 `yaml:"most"`
}

//go:embed sites/*.yaml
var sites embed.FS

// Load returns a site that comes with the package, by its name.
func Load(name string) (Site, error) {
	data, err := sites.ReadFile("sites/" + name + ".yaml")
	if err != nil {
		return Site{}, errors.Errorf("no site %q comes with this program", name)
	}
	var site Site
	if err := yaml.Unmarshal(data, &site); err != nil {
		return Site{}, errors.Wrapf(err, "site %s", name)
	}
	site.Name = name
	return site, nil
}
