package plan

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const (
	ready    = wire.ServerState_SERVER_STATE_READY
	cold     = wire.ServerState_SERVER_STATE_COLD
	draining = wire.ServerState_SERVER_STATE_DRAINING
	leaving  = wire.ServerState_SERVER_STATE_LEAVING
	gone     = wire.ServerState_SERVER_STATE_GONE
)

func modelServer(name, region, zone string, running uint32) *wire.ServerStatus {
	return &wire.ServerStatus{Name: name, Kind: "model", Services: []string{"chat", "digest"}, Region: region, Zone: zone,
		State: ready, Slots: 16, Running: running, Answered: 1000, Reachable: true, Incarnation: 1}
}

func newState(lagos, abeokuta float64) statemachine.State {
	return statemachine.State{Version: 7, SheetVersion: 7, Evacuated: map[string]uint64{}, Sheet: &sheet.Sheet{
		Services: map[string]sheet.Service{"chat": {Kind: "model"}, "digest": {Kind: "model"}},
		Weights:  map[string]map[string]float64{"chat": {"lagos": lagos, "abeokuta": abeokuta}, "digest": {"lagos": 1, "abeokuta": 1}}}}
}

func newFleet(running uint32) map[string]*wire.ServerStatus {
	servers := map[string]*wire.ServerStatus{}
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		servers[name] = modelServer(name, []string{"lagos", "abeokuta"}[i%2], []string{"a", "b"}[i/2], running)
	}
	return servers
}

func shareOf(result *wire.Plan, service, from, to string) float64 {
	for _, s := range result.Shares {
		if s.Service == service && s.FromRegion == from && s.ToRegion == to {
			return s.Share
		}
	}
	return 0
}

func TestPlansAfterEvents(t *testing.T) {
	Convey("Each event either forces a new plan or leaves the current one in force", t, func() {
		input := Input{State: newState(70, 30), Servers: newFleet(2), Term: 3, Holder: "c1", Period: 5 * time.Second, Now: time.UnixMilli(1_000_000),
			Fronts: []statemachine.Member{{Name: "n1", Region: "lagos"}}}
		var log strings.Builder
		step := func(event string, change func()) {
			change()
			input.Now = input.Now.Add(time.Second)
			cause, forced := ReplanCause(input.Current, input)
			fmt.Fprintf(&log, "%s: ", event)
			if !forced && !PeriodOver(input.Current, input.Now) {
				fmt.Fprintf(&log, "plan %d remains in force\n", input.Current.Number)
				return
			}
			if !forced {
				cause = "period"
			}
			input.Number++
			input.Cause = cause
			input.Current = Compute(input)
			fmt.Fprintf(&log, "plan %d (%s)\n", input.Current.Number, input.Current.Cause)
			for _, s := range input.Current.Shares {
				if s.FromRegion == "lagos" {
					fmt.Fprintf(&log, "  %s to %s %.3f\n", s.Service, s.ToRegion, s.Share)
				}
			}
			for _, c := range input.Current.Caps {
				fmt.Fprintf(&log, "  cap %s %d\n", c.Server, c.InFlight)
			}
		}
		updateServer := func(name string, change func(*wire.ServerStatus)) func() {
			return func() {
				next := map[string]*wire.ServerStatus{}
				for key, s := range input.Servers {
					next[key] = s
				}
				updated := modelServer(name, input.Servers[name].Region, input.Servers[name].Zone, 2)
				change(updated)
				next[name] = updated
				input.Servers = next
			}
		}
		step("the first servers", func() {})
		step("the load of m0 rises", updateServer("m0", func(s *wire.ServerStatus) { s.Running = 9 }))
		step("m1 drains", updateServer("m1", func(s *wire.ServerStatus) { s.State = draining }))
		step("m1 returns, cold", updateServer("m1", func(s *wire.ServerStatus) { s.State, s.Incarnation, s.Answered = cold, 2, 0 }))
		step("time passes", func() { input.Now = input.Now.Add(4 * time.Second) })
		step("m1 has answered 5 requests", updateServer("m1", func(s *wire.ServerStatus) { s.Incarnation, s.Answered = 2, 5 }))
		step("m3 becomes unreachable", updateServer("m3", func(s *wire.ServerStatus) { s.Reachable = false }))
		step("abeokuta is evacuated", func() { input.State.Evacuated = map[string]uint64{"abeokuta": 8}; input.State.Version = 8 })
		step("the sheet's weights change", func() { input.State = newState(10, 90); input.State.Version, input.State.SheetVersion = 9, 9 })
		step("time passes", func() { input.Now = input.Now.Add(4 * time.Second) })
		step("lagos is full", func() {
			updateServer("m0", func(s *wire.ServerStatus) { s.Running, s.Queued = 16, 30 })()
			updateServer("m3", func(_ *wire.ServerStatus) {})()
			input.Now = input.Now.Add(4 * time.Second)
		})
		goldie.New(t).Assert(t, "events", []byte(log.String()))
	})
}

func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := Input{State: newState(rapid.Float64Range(0, 1e9).Draw(t, "lagos"), rapid.Float64Range(0.001, 10).Draw(t, "abeokuta")),
			Servers: map[string]*wire.ServerStatus{}, Now: time.UnixMilli(5), Period: time.Second}
		for i := range rapid.IntRange(0, 12).Draw(t, "servers") {
			s := modelServer(fmt.Sprintf("m%d", i), rapid.SampledFrom([]string{"lagos", "abeokuta"}).Draw(t, "region"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.Uint32Range(0, 60).Draw(t, "running"))
			s.State = rapid.SampledFrom([]wire.ServerState{ready, ready, cold, draining, leaving, gone}).Draw(t, "state")
			s.Reachable = rapid.IntRange(0, 5).Draw(t, "reachable") > 0
			s.Answered = rapid.Uint64Range(0, 40).Draw(t, "answered")
			input.Servers[s.Name] = s
		}
		if rapid.Bool().Draw(t, "evacuated") {
			input.State.Evacuated = map[string]uint64{rapid.SampledFrom([]string{"lagos", "lagos/a", "abeokuta/b"}).Draw(t, "evacuated locality"): 3}
		}
		result := Compute(input)
		if again := Compute(input); fmt.Sprint(again) != fmt.Sprint(result) {
			t.Fatal("equal inputs give unequal plans")
		}
		sums, usable := map[string]float64{}, map[string]bool{}
		for _, c := range result.Caps {
			s := input.Servers[c.Server]
			if ExclusionReason(input.State, s) != "" {
				t.Fatalf("%s is excluded (%s) but has a cap", c.Server, ExclusionReason(input.State, s))
			}
			if c.InFlight == 0 || int(c.InFlight) > 20 || uint64(c.InFlight) > 2+s.Answered {
				t.Fatalf("cap %d is out of bounds for %v", c.InFlight, s)
			}
			usable[s.Region] = true
		}
		for _, s := range result.Shares {
			sums[s.Service+" "+s.FromRegion] += s.Share
			if !usable[s.ToRegion] || !(s.Share > 0) {
				t.Fatalf("share %v is not positive or its region has no usable servers", s)
			}
		}
		for key, sum := range sums {
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("shares of %s sum to %v", key, sum)
			}
		}
		if _, forced := ReplanCause(result, input); forced {
			t.Fatal("the input that the plan was computed from forces a new plan")
		}
	})
}
