// Package balance simulates load balancing by many fronts over emulated model servers,
// in virtual time. The fronts run the production code of internal/decision/balance;
// servers, links, clients and the fronts' reports of unresponsive servers are
// modelled. It compares policies under many seeds, at sizes that one machine can't
// run as processes.
//
// Not modelled: faults, retries, tenants and cold servers.
package balance

import (
	"embed"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Site describes a fleet and its load. Unless stated otherwise, times are in
// milliseconds, rates per second, and sizes in tokens.
type Site struct {
	Name        string   `yaml:"name"`
	Seconds     float64  `yaml:"seconds"`
	Regions     []Region `yaml:"regions"`
	Zones       int      `yaml:"zones"` // zones per region
	InZone      float64  `yaml:"in_zone"`
	CrossZone   float64  `yaml:"cross_zone"`
	CrossRegion float64  `yaml:"cross_region"`
	ToClient    float64  `yaml:"to_client"`
	Swing       float64  `yaml:"swing"`  // amplitude of the load, as a share of its mean
	Period      float64  `yaml:"period"` // of the swing, in seconds; the regions are out of phase
	Engine      Engine   `yaml:"engine"`
	Kinds       []Kind   `yaml:"kinds"`
	Burst       Burst    `yaml:"burst"`
	// ReuseWindow is the time in seconds after its last use on any server within
	// which a shared part that is read counts as read again.
	ReuseWindow float64 `yaml:"remembered"`
}

// Burst is a period in which the rate of one kind of request is multiplied by Times.
type Burst struct {
	Kind     string  `yaml:"kind"`
	Start    float64 `yaml:"at"`  // seconds
	Duration float64 `yaml:"for"` // seconds
	Factor   float64 `yaml:"times"`
}

// Region is the size of one region.
type Region struct {
	Name    string `yaml:"name"`
	Fronts  int    `yaml:"fronts"`
	Servers int    `yaml:"servers"`
}

// Engine describes a model server with continuous batching. In each step, every
// generating request gets one token, and waiting prompts are read in order, up to one
// chunk of tokens in total.
type Engine struct {
	Slots       int     `yaml:"slots"`
	Step        float64 `yaml:"step"`
	StepPerSlot float64 `yaml:"step_per_slot"`
	ReadPerMS   float64 `yaml:"read_per_ms"` // tokens
	PairsPerM   float64 `yaml:"pairs_per_m"` // ms of attention for a million pairs of tokens
	QueueDelay  float64 `yaml:"first"`       // fixed delay before a request is queued
	Chunk       float64 `yaml:"chunk"`
	Memory      float64 `yaml:"memory"` // cache capacity in tokens
	Stride      int     `yaml:"stride"` // tokens per event
}

// Kind is one kind of request.
type Kind struct {
	Name           string   `yaml:"name"`
	PerSecond      float64  `yaml:"per_second"` // for the whole site
	Objective      float64  `yaml:"objective"`
	MaxEventGap    float64  `yaml:"pause"` // longest time between two events of a response that is in time
	Worth          float64  `yaml:"worth"`
	LateWorth      float64  `yaml:"late_worth"`
	Shared         []Shared `yaml:"shared"`
	UnsharedTokens Size     `yaml:"own"`
	OutputTokens   Size     `yaml:"out"`   // tokens of the response
	Bytes          float64  `yaml:"bytes"` // of a request and its response
	AllowedRegions []string `yaml:"homes"`
}

// Shared is one level of the prompt parts that requests of a kind share. Parts is the
// number of distinct parts; Skew, from 0 to below 1, is how unevenly they are
// requested.
type Shared struct {
	Size  Size    `yaml:"size"`
	Parts int     `yaml:"things"`
	Skew  float64 `yaml:"skew"`
}

// Size is a log-normal distribution with its mean, the standard deviation of the
// logarithm (Spread), and an upper bound (Max). With Spread 0, every size is Mean.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"most"`
}

//go:embed sites/*.yaml
var siteFiles embed.FS

// Load returns an embedded site by its name. It returns an error if there is none of
// that name or its file is invalid.
func Load(name string) (Site, error) {
	data, err := siteFiles.ReadFile("sites/" + name + ".yaml")
	if err != nil {
		return Site{}, errors.Errorf("load site %q: no embedded site of that name", name)
	}
	var site Site
	if err := yaml.Unmarshal(data, &site); err != nil {
		return Site{}, errors.Wrapf(err, "parse embedded site %s", name)
	}
	site.Name = name
	return site, nil
}
