package faultcase

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/cmd/rig/fleet"
)

// Limits of a scenario's length.
const (
	minScenarioSeconds = 1
	maxScenarioSeconds = 3600
)

// Scenario is an experiment described by a YAML file. Times are in seconds since the
// start of traffic.
type Scenario struct {
	Seconds  int               `yaml:"seconds"`
	Fleet    ScenarioFleet     `yaml:"fleet"`
	Settings map[string]string `yaml:"settings"` // run-time settings of the first sheet
	Load     []LoadPhase       `yaml:"load"`
	Faults   []Fault           `yaml:"faults"`
}

// ScenarioFleet describes how the fleet differs from the first deployment.
type ScenarioFleet struct {
	Fronts        int               `yaml:"fronts"` // in addition to the cores; 0 for the default of six
	Settings      map[string]string `yaml:"settings"`
	ServersWarmUp bool              `yaml:"cold"`
}

// LoadPhase changes the load at a time.
type LoadPhase struct {
	At         float64            `yaml:"at"`
	Tenant     string             `yaml:"tenant"` // empty for all
	LoadFactor *float64           `yaml:"factor"` // nil for no change
	ZoneShares map[string]float64 `yaml:"from"`   // share of callers by zone; nil for no change
}

// Fault is injected at a time and repaired after a duration, or never if the duration
// is zero.
type Fault struct {
	At       float64   `yaml:"at"`
	Duration float64   `yaml:"for"`
	Kind     FaultKind `yaml:"what"`
	Target   []string  `yaml:"target"`
	Odds     float64   `yaml:"odds"` // of affecting each request; for faults of servers
}

// ParseScenario parses a scenario. It returns an error for an unknown field, an unknown
// kind of fault or a length out of range.
func ParseScenario(data []byte) (*Scenario, error) {
	var scenario Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&scenario); err != nil {
		return nil, errors.Wrap(err, "parse scenario")
	}
	if scenario.Seconds < minScenarioSeconds || scenario.Seconds > maxScenarioSeconds {
		return nil, errors.New("scenario: seconds must be between 1 and 3600")
	}
	for i, fault := range scenario.Faults {
		if _, ok := faultTargets[fault.Kind]; !ok {
			return nil, errors.Errorf("scenario: fault %d: unknown kind %q, must be one of %s", i+1, fault.Kind, faultKindNames())
		}
	}
	return &scenario, nil
}

// Options returns the options of a run of the scenario.
func (s *Scenario) Options() Options {
	spec := fleet.FirstDeployment()
	if s.Fleet.Fronts > 0 {
		cores := slices.DeleteFunc(slices.Clone(spec.Nodes), func(node fleet.NodeSpec) bool { return !node.Core })
		spec.Nodes = slices.Clone(cores)
		for i := range s.Fleet.Fronts {
			spec.Nodes = append(spec.Nodes, fleet.NodeSpec{
				Name:     fmt.Sprintf("front%d", i+1),
				Location: cores[i%len(cores)].Location,
			})
		}
	}
	spec.Settings = s.Fleet.Settings
	spec.ServersStartWarm = !s.Fleet.ServersWarmUp
	return Options{
		Spec:          spec,
		SheetSettings: s.Settings,
		Seconds:       s.Seconds,
	}
}

// step is one timed action of a scenario.
type step struct {
	offset time.Duration // after the start of traffic
	run    func() error
}

// Run runs the scenario's steps and waits until its end.
func (s *Scenario) Run(r *Run) error {
	for _, timedStep := range s.steps(r) {
		if wait := r.TrafficStart + timedStep.offset - r.Recorder.Now(); wait > 0 && !r.Wait(wait) {
			return nil
		}
		if err := timedStep.run(); err != nil {
			return err
		}
	}
	r.waitUntilEnd(r.TrafficStart)
	return nil
}

// steps returns the steps sorted by time. Load phases precede faults of the same time.
func (s *Scenario) steps(r *Run) []step {
	var steps []step
	for _, phase := range s.Load {
		steps = append(steps, step{seconds(phase.At), withoutError(func() { r.changeLoad(phase) })})
	}
	for _, fault := range s.Faults {
		steps = append(steps, step{seconds(fault.At), func() error { return r.applyFault(fault, false) }})
		if fault.Duration > 0 {
			repairTime := seconds(fault.At + fault.Duration)
			steps = append(steps, step{repairTime, func() error { return r.applyFault(fault, true) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.offset, b.offset) })
	return steps
}

func (r *Run) changeLoad(phase LoadPhase) {
	if phase.LoadFactor != nil {
		r.Callers.SetLoadFactor(phase.Tenant, *phase.LoadFactor)
	}
	if phase.ZoneShares != nil {
		r.Callers.SetZoneShares(phase.ZoneShares)
	}
}
