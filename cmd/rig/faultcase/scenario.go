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

// Scenario is an experiment that a file describes. Times are in seconds after the
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
	Fronts        int               `yaml:"fronts"` // beside the cores; 0 for six
	Settings      map[string]string `yaml:"settings"`
	ServersWarmUp bool              `yaml:"cold"`
}

// LoadPhase changes the load from a time on.
type LoadPhase struct {
	At         float64            `yaml:"at"`
	Tenant     string             `yaml:"tenant"` // empty for all
	LoadFactor *float64           `yaml:"factor"` // nil for no change
	ZoneShares map[string]float64 `yaml:"from"`   // share of callers by zone; nil for no change
}

// Fault is injected at a time and repaired after a duration; never when that is
// zero.
type Fault struct {
	At       float64   `yaml:"at"`
	Duration float64   `yaml:"for"`
	Kind     FaultKind `yaml:"what"`
	Target   []string  `yaml:"target"`
	Odds     float64   `yaml:"odds"` // for each request, of faults of servers
}

// ParseScenario reads a scenario and rejects fields and faults that it doesn't
// know.
func ParseScenario(data []byte) (*Scenario, error) {
	var scenario Scenario
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&scenario); err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	if scenario.Seconds < minScenarioSeconds || scenario.Seconds > maxScenarioSeconds {
		return nil, errors.New("scenario: seconds must be 1 to 3600")
	}
	for i, fault := range scenario.Faults {
		if _, ok := faultTargets[fault.Kind]; !ok {
			return nil, errors.Errorf("scenario: fault %d: %q is none of %s", i+1, fault.Kind, faultKindNames())
		}
	}
	return &scenario, nil
}

// Options returns those of the scenario's fleet.
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
	spec.ServersWarm = !s.Fleet.ServersWarmUp
	return Options{
		Spec:          spec,
		SheetSettings: s.Settings,
		Seconds:       s.Seconds,
	}
}

// step is something that happens at a time of a scenario.
type step struct {
	at     time.Duration // after the start of traffic
	effect func() error
}

// Run runs the scenario's steps.
func (s *Scenario) Run(r *Run) error {
	for _, next := range s.steps(r) {
		if wait := r.TrafficStart + next.at - r.Recorder.Now(); wait > 0 && !r.Wait(wait) {
			return nil
		}
		if err := next.effect(); err != nil {
			return err
		}
	}
	r.waitUntilEnd(r.TrafficStart)
	return nil
}

// steps returns the steps sorted by time: load phases first, then faults.
func (s *Scenario) steps(r *Run) []step {
	var steps []step
	for _, phase := range s.Load {
		steps = append(steps, step{seconds(phase.At), noError(func() { r.changeLoad(phase) })})
	}
	for _, fault := range s.Faults {
		steps = append(steps, step{seconds(fault.At), func() error { return r.causeFault(fault, false) }})
		if fault.Duration > 0 {
			repairTime := seconds(fault.At + fault.Duration)
			steps = append(steps, step{repairTime, func() error { return r.causeFault(fault, true) }})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
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
