package route

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

var start = time.UnixMilli(1_000_000)

func model(name, region, zone string) *wire.ServerStatus {
	return &wire.ServerStatus{Name: name, Address: "127.0.0.1:" + name, Kind: "model", Services: []string{"chat"}, Region: region, Zone: zone,
		State: wire.ServerState_SERVER_STATE_READY, Slots: 16, Answered: 1000, Reachable: true, Incarnation: 1}
}

func fleet(n int) map[string]*wire.ServerStatus {
	servers := map[string]*wire.ServerStatus{}
	for i := range n {
		s := model(fmt.Sprintf("m%d", i), []string{"lagos", "abeokuta"}[i%2], []string{"a", "b"}[i/2%2])
		servers[s.Name] = s
	}
	return servers
}

func with(servers map[string]*wire.ServerStatus, name string, change func(*wire.ServerStatus)) map[string]*wire.ServerStatus {
	next := map[string]*wire.ServerStatus{}
	for key, s := range servers {
		next[key] = s
	}
	s := model(name, servers[name].Region, servers[name].Zone)
	change(s)
	next[name] = s
	return next
}

func viewOf(servers map[string]*wire.ServerStatus, fronts ...string) View {
	state := statemachine.State{Version: 7, SheetVersion: 7, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"chat": {Kind: "model"}},
		Weights: map[string]map[string]float64{"chat": {"lagos": 70, "abeokuta": 30}}}}
	return View{State: state, Servers: servers, Fronts: fronts, Plan: plan.Compute(plan.Input{State: state, Servers: servers, Term: 1, Number: 1})}
}

func tableOf(view View) *Table {
	t := New(Config{Self: "n1", Region: "lagos", Zone: "a"})
	t.Update(view)
	return t
}

// requestNumber returns a request of the region lagos.
func requestNumber(i int) Request {
	return Request{ID: fmt.Sprintf("r%d", i), Service: "chat", FromRegion: "lagos", Deadline: start.Add(30 * time.Second)}
}

// serve routes a request and answers it at once.
func (t *Table) serve(req Request, now time.Time) Choice {
	choice := t.Choose(req, now)
	if choice.Server != "" {
		t.Started(choice.Server)
		t.Finished(choice.Server, Outcome{Result: Answered}, now)
	}
	return choice
}

func TestRegionShares(t *testing.T) {
	Convey("The choice of a region", t, func() {
		table := tableOf(viewOf(fleet(4)))
		Convey("holds the plan's shares within one request over every span", func() {
			var lagos []int
			for i := range 400 {
				region := table.serve(requestNumber(i), start).Region
				lagos = append(lagos, map[string]int{"lagos": 1}[region])
			}
			for from := range lagos {
				sum := 0
				for n, at := range lagos[from:] {
					sum += at
					if math.Abs(float64(sum)-0.7*float64(n+1)) > 1.5 {
						t.Fatalf("%d of %d from %d on", sum, n+1, from)
					}
				}
			}
		})
		Convey("sends a bound request to its home only, and rejects it when that has no servers", func() {
			req := requestNumber(1)
			req.Home = "abeokuta"
			for range 20 {
				So(table.serve(req, start).Region, ShouldEqual, "abeokuta")
			}
			view := viewOf(fleet(4))
			view.State.Version, view.State.Evacuated = 8, map[string]uint64{"abeokuta": 8}
			table.Update(view)
			So(table.Choose(req, start).Err.Code, ShouldEqual, apierror.NoServer)
			So(table.Choose(req, start).Err.Detail, ShouldStartWith, "no server of "+req.Service+" can take requests")
			So(table.Choose(requestNumber(2), start).Region, ShouldEqual, "lagos")
		})
		Convey("chooses a region with servers when the plan names none", func() {
			servers := fleet(4)
			for _, name := range []string{"m1", "m3"} {
				servers = with(servers, name, func(s *wire.ServerStatus) { s.Reachable = false })
			}
			view := viewOf(servers)
			view.Servers = fleet(4)
			table.Update(view)
			So(table.serve(requestNumber(1), start).Region, ShouldEqual, "lagos")
			for _, name := range []string{"m0", "m2"} {
				view.Servers = with(view.Servers, name, func(s *wire.ServerStatus) { s.Reachable = false })
			}
			table.Update(view)
			So(table.serve(requestNumber(2), start).Region, ShouldEqual, "abeokuta")
		})
		Convey("follows a newer sheet at once although the plan is older", func() {
			view := viewOf(fleet(4))
			view.State.Version, view.State.SheetVersion = 9, 9
			view.State.Sheet = &sheet.Sheet{Services: view.State.Sheet.Services, Weights: map[string]map[string]float64{"chat": {"lagos": 0, "abeokuta": 1}}}
			table.Update(view)
			for i := range 20 {
				So(table.serve(requestNumber(i), start).Region, ShouldEqual, "abeokuta")
			}
		})
	})
}

func TestExcludedServers(t *testing.T) {
	Convey("A table", t, func() {
		servers := fleet(4)
		view := viewOf(servers)
		table := tableOf(view)
		Convey("sends nothing to servers that drain, leave, are gone, unreachable or evacuated, under the old plan", func() {
			changes := map[string]func(*wire.ServerStatus){
				plan.ReasonDraining:    func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_DRAINING },
				plan.ReasonLeaving:     func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_LEAVING },
				plan.ReasonGone:        func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_GONE },
				plan.ReasonUnreachable: func(s *wire.ServerStatus) { s.Reachable = false },
			}
			for why, change := range changes {
				view.Servers = with(servers, "m0", change)
				table.Update(view)
				So(table.Servers()[0].Excluded, ShouldEqual, why)
				for i := range 50 {
					So(table.serve(requestNumber(i), start).Server, ShouldNotEqual, "m0")
				}
			}
			view.Servers, view.State.Version, view.State.Evacuated = servers, 8, map[string]uint64{"lagos/a": 8}
			table.Update(view)
			for i := range 50 {
				So(table.serve(requestNumber(i), start).Server, ShouldNotEqual, "m0")
			}
		})
		Convey("rejects with a retry delay without a plan, the service or a server", func() {
			So(New(Config{Self: "n1"}).Choose(requestNumber(1), start).Err.Code, ShouldEqual, apierror.NoPlan)
			req := requestNumber(1)
			req.Service = "none"
			So(table.Choose(req, start).Err.Code, ShouldEqual, apierror.UnknownService)
			view.Servers = map[string]*wire.ServerStatus{}
			table.Update(view)
			apiErr := table.Choose(requestNumber(1), start).Err
			So(apiErr.Code, ShouldEqual, apierror.NoServer)
			So(apiErr.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("ejects a server that refuses connections and probes it with one request", func() {
			req := requestNumber(1)
			req.Prefix, req.Home = 77, "lagos"
			first := table.Choose(req, start).Server
			table.Started(first)
			table.Finished(first, Outcome{Result: Refused}, start)
			second := table.Choose(req, start)
			So(second.Server, ShouldNotEqual, first)
			So(second.Candidates, ShouldContain, Candidate{first, second.Candidates[0].Score, Ejected})
			later := start.Add(1100 * time.Millisecond)
			So(table.Choose(req, later).Server, ShouldEqual, first)
			table.Started(first)
			So(table.Choose(req, later).Server, ShouldNotEqual, first)
			table.Finished(first, Outcome{Result: TimedOut}, later)
			So(table.Choose(req, later.Add(time.Second)).Server, ShouldNotEqual, first)
			later = later.Add(2100 * time.Millisecond)
			So(table.Choose(req, later).Server, ShouldEqual, first)
			table.Started(first)
			table.Finished(first, Outcome{Result: Answered}, later)
			table.Started(first)
			So(table.Choose(req, later).Server, ShouldEqual, first)
			table.Started(first)
			So(table.Choose(req, later).Server, ShouldNotEqual, first)
		})
		Convey("ejects a server after three time-outs in a row over a second, unless it answers others", func() {
			timeout := func(at time.Duration) bool {
				table.Started("m0")
				table.Finished("m0", Outcome{Result: TimedOut}, start.Add(at))
				return table.Servers()[0].Ejected
			}
			So(timeout(0), ShouldBeFalse)
			So(timeout(0), ShouldBeFalse)
			So(timeout(900*time.Millisecond), ShouldBeFalse)
			view.Servers = with(servers, "m0", func(s *wire.ServerStatus) { s.Answered = 1001 })
			table.Update(view)
			So(timeout(time.Second), ShouldBeFalse)
			So(timeout(1500*time.Millisecond), ShouldBeFalse)
			So(timeout(2*time.Second), ShouldBeTrue)
		})
		Convey("bounds retries to a share of the requests and tries no server twice", func() {
			retry := requestNumber(1)
			retry.Tried = []string{"m0"}
			spent := 0
			for table.Choose(retry, start).Err == nil {
				So(table.Choose(requestNumber(spent), start).Server, ShouldNotEqual, "")
				spent++
				So(spent, ShouldBeLessThan, 100)
			}
			So(table.Choose(retry, start).Err.Code, ShouldEqual, apierror.BudgetSpent)
			for i := range 10 {
				table.Choose(requestNumber(i), start)
			}
			choice := table.Choose(retry, start)
			So(choice.Server, ShouldNotEqual, "m0")
			So(choice.Server, ShouldNotEqual, "")
			table.Reconfigure(RuntimeConfig{Strategy: Affinity, MaxQueued: 1, SlowStartCap: 2})
			So(table.Choose(retry, start).Err.Code, ShouldEqual, apierror.BudgetSpent)
		})
		Convey("applies the runtime configuration, with SlowStartCap to the plan's caps", func() {
			servers := with(map[string]*wire.ServerStatus{"m0": model("m0", "lagos", "a")}, "m0", func(s *wire.ServerStatus) { s.Answered = 0 })
			view := viewOf(servers)
			for _, begin := range []int{5, 1} {
				sheets := *view.State.Sheet
				sheets.Settings = map[string]string{"route.ramp_start": fmt.Sprint(begin)}
				view.State.Sheet = &sheets
				view.Plan = plan.Compute(plan.Input{State: view.State, Servers: servers})
				table = tableOf(view)
				table.Reconfigure(RuntimeConfig{Strategy: RoundRobin, MaxQueued: 0, SlowStartCap: begin})
				for i := range begin {
					So(table.Choose(requestNumber(i), start).Server, ShouldEqual, "m0")
					table.Started("m0")
				}
				So(table.Choose(requestNumber(9), start).Err.Code, ShouldEqual, apierror.QueueFull)
			}
		})
	})
}

func TestAffinity(t *testing.T) {
	Convey("Prefix affinity", t, func() {
		servers := fleet(16)
		view := viewOf(servers)
		table := tableOf(view)
		home := func(prefix uint64) string {
			return table.serve(Request{ID: "x", Service: "chat", Home: "lagos", Prefix: mix(prefix + 1), Deadline: start.Add(time.Minute)}, start).Server
		}
		before := map[uint64]string{}
		counts := map[string]int{}
		for p := range uint64(800) {
			before[p] = home(p)
			counts[before[p]]++
		}
		Convey("spreads prefixes over the servers and keeps each at its server", func() {
			So(len(counts), ShouldEqual, 8)
			for _, n := range counts {
				So(n, ShouldBeBetween, 60, 140)
			}
			for p := range uint64(800) {
				So(home(p), ShouldEqual, before[p])
			}
		})
		Convey("moves only the prefixes of a server that is gone", func() {
			view.Servers = with(servers, "m0", func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_GONE })
			table.Update(view)
			for p := range uint64(800) {
				if before[p] != "m0" {
					So(home(p), ShouldEqual, before[p])
				}
			}
		})
		Convey("spreads a hot prefix once its server is overloaded", func() {
			req := Request{ID: "x", Service: "chat", Home: "lagos", Prefix: 99, Deadline: start.Add(time.Minute)}
			seen := map[string]int{}
			for range 60 {
				choice := table.Choose(req, start)
				table.Started(choice.Server)
				seen[choice.Server]++
			}
			So(len(seen), ShouldBeGreaterThan, 2)
			for _, n := range seen {
				So(n, ShouldBeLessThanOrEqualTo, 20)
			}
		})
		Convey("prefers the front's own zone for requests without a prefix", func() {
			for i := range 100 {
				So(servers[table.serve(requestNumber(i), start).Server].Zone, ShouldEqual, "a")
			}
		})
	})
}

func TestBaselineStrategies(t *testing.T) {
	Convey("The baselines respect caps and exclusions", t, func() {
		for _, strategy := range []Strategy{RoundRobin, LeastLoaded} {
			table := New(Config{Self: "n1", Region: "lagos", Strategy: strategy})
			servers := with(fleet(6), "m0", func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_DRAINING })
			table.Update(viewOf(with(servers, "m2", func(s *wire.ServerStatus) { s.Answered = 0; s.Incarnation = 2 })))
			seen := map[string]int{}
			for i := range 62 {
				req := requestNumber(i)
				req.Prefix = 5
				choice := table.Choose(req, start)
				if choice.Server == "" {
					So(choice.Queued, ShouldBeTrue)
					continue
				}
				table.Started(choice.Server)
				seen[choice.Server]++
			}
			So(seen["m0"], ShouldEqual, 0)
			So(seen["m2"], ShouldEqual, 2)
			So(seen["m4"], ShouldEqual, 20)
			So(seen["m1"]+seen["m3"]+seen["m5"], ShouldEqual, 40)
			So(len(seen), ShouldEqual, 5)
		}
	})
}
