package faultcase

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
	"stepwick/internal/clock"
)

// Scenario is an experiment as a file says it. Times are seconds after traffic
// began.
type Scenario struct {
	Seconds  int               `yaml:"seconds"`
	Fleet    ScenarioFleet     `yaml:"fleet"`
	Settings map[string]string `yaml:"settings"` // run-time settings of the first sheet
	Load     []Phase           `yaml:"load"`
	Faults   []Fault           `yaml:"faults"`
}

// ScenarioFleet says how the fleet differs from the first deployment.
type ScenarioFleet struct {
	Fronts   int               `yaml:"fronts"` // beside the cores; 0 for six
	Settings map[string]string `yaml:"settings"`
	Cold     bool              `yaml:"cold"`
}

// Phase changes the load from an instant on.
type Phase struct {
	At     float64            `yaml:"at"`
	Tenant string             `yaml:"tenant"` // empty for all
	Factor *float64           `yaml:"factor"`
	From   map[string]float64 `yaml:"from"` // share of callers by locality
}

// Fault happens at an instant and is mended after a span; never when For is zero.
type Fault struct {
	At     float64  `yaml:"at"`
	For    float64  `yaml:"for"`
	What   string   `yaml:"what"`
	Target []string `yaml:"target"`
	Odds   float64  `yaml:"odds"`
}

// scenarioFaults are the faults that a scenario's file may name, each with what its
// target must be, for the message of a wrong one. A new one is caused and mended in
// Stage.causeOne; those of the emulator need no more than this row.
var scenarioFaults = map[string]string{
	"kill": "nodes", "stop": "nodes", "freeze": "nodes", "wipe": "cores", "cut": "nodes and servers, cut from all others in silence",
	"crash": "servers", "dark": "model servers", "drain": "servers", "leave": "servers", "evacuate": "localities", "final": "nothing: service is judged from here on",
	emulator.EarlyEnd: "model servers", emulator.Repeat: "model servers", emulator.Abort: "model servers", emulator.ResetRan: "web servers", emulator.ResetRead: "web servers",
}

// ParseScenario reads a scenario strictly.
func ParseScenario(data []byte) (*Scenario, error) {
	var s Scenario
	in := yaml.NewDecoder(bytes.NewReader(data))
	in.KnownFields(true)
	if err := in.Decode(&s); err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	if s.Seconds < 1 || s.Seconds > 3600 {
		return nil, errors.New("scenario: seconds must be 1 to 3600")
	}
	for i, f := range s.Faults {
		if _, ok := scenarioFaults[f.What]; !ok {
			var known []string
			for name := range scenarioFaults {
				known = append(known, name)
			}
			sort.Strings(known)
			return nil, errors.Errorf("scenario: fault %d: %q is none of %s", i+1, f.What, strings.Join(known, ", "))
		}
	}
	return &s, nil
}

// Options are those of a scenario's fleet.
func (sc *Scenario) Options() Options {
	spec := fleet.First()
	if sc.Fleet.Fronts > 0 {
		zones := spec.Nodes[:3]
		spec.Nodes = append([]fleet.NodeSpec{}, zones...)
		for i := range sc.Fleet.Fronts {
			spec.Nodes = append(spec.Nodes, fleet.NodeSpec{Name: fmt.Sprintf("front%d", i+1), Place: zones[i%3].Place})
		}
	}
	spec.Settings, spec.Warm = sc.Fleet.Settings, !sc.Fleet.Cold
	return Options{Spec: spec, Sheet: sc.Settings, Seconds: sc.Seconds}
}

type step struct {
	at time.Duration
	do func() error
}

// Run plays a scenario on a stage.
func (sc *Scenario) Run(s *Stage) error {
	var steps []step
	for _, p := range sc.Load {
		steps = append(steps, step{seconds(p.At), func() error {
			if p.Factor != nil {
				s.Crowd.Scale(p.Tenant, *p.Factor)
			}
			if p.From != nil {
				s.Crowd.From(p.From)
			}
			return nil
		}})
	}
	for _, f := range sc.Faults {
		steps = append(steps, step{seconds(f.At), func() error { return s.cause(f, false) }})
		if f.For > 0 {
			steps = append(steps, step{seconds(f.At + f.For), func() error { return s.cause(f, true) }})
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].at < steps[j].at })
	for _, step := range steps {
		if left := s.Began + step.at - s.Book.Now(); left > 0 && !s.Wait(left) {
			return nil
		}
		if err := step.do(); err != nil {
			return err
		}
	}
	s.rest(s.Began)
	return nil
}

func (s *Stage) cause(f Fault, mend bool) error {
	if f.What == "final" {
		s.Book.Mark("final", true)
		return nil
	}
	if f.What == "cut" {
		if mend {
			s.Heal()
			return nil
		}
		in := map[string]bool{}
		for _, name := range f.Target {
			in[name] = true
		}
		s.Cut(f.Target, s.Fleet.Names(func(name string, _ fleet.Place) bool { return !in[name] }))
		return nil
	}
	for _, name := range f.Target {
		if err := s.causeOne(f, name, mend); err != nil {
			return errors.Wrapf(err, "%s %s", f.What, name)
		}
	}
	return nil
}

func (s *Stage) causeOne(f Fault, name string, mend bool) error {
	node, model, web := s.Fleet.Node(name), s.Fleet.Model(name), s.Fleet.Web(name)
	odds := emulator.Odds{f.What: f.Odds}
	if mend {
		odds = nil
	}
	state := map[string]string{"drain": "draining", "leave": "leaving"}[f.What]
	if mend {
		state = "ready"
	}
	switch {
	case f.What == "evacuate" && mend:
		s.push(s.Control.Restore("ade", name), 0, 15*time.Second)
	case f.What == "evacuate":
		s.push(s.Control.Evacuate("ade", name), 0, 15*time.Second)
	case node != nil && f.What == "freeze" && mend:
		node.Thaw()
	case node != nil && f.What == "freeze":
		node.Freeze()
	case node != nil && mend:
		return node.Start()
	case node != nil && f.What == "stop":
		node.Term(12 * time.Second)
	case node != nil && f.What == "wipe":
		node.Kill()
		return node.Wipe()
	case node != nil && f.What == "kill":
		node.Kill()
	case (model != nil || web != nil) && f.What == "crash" && mend:
		return s.back(name)
	case (model != nil || web != nil) && f.What == "crash":
		s.crash(name)
	case (model != nil || web != nil) && (f.What == "drain" || f.What == "leave"):
		s.Fleet.Platform.State(name, state, clock.System().Now().Add(5*time.Second).UnixMilli())
	case model != nil && f.What == "dark":
		model.Dark(!mend)
	case model != nil && f.Odds > 0:
		model.Odds(odds)
	case web != nil && f.Odds > 0:
		web.Odds(odds)
	default:
		return errors.Errorf("the target must be of: %s", scenarioFaults[f.What])
	}
	return nil
}
