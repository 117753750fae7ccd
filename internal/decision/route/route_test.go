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

// modelServer returns the status of a ready model server that has completed slow start. Its
// full cap is 20.
func modelServer(name, region, zone string) *wire.ServerStatus {
	return &wire.ServerStatus{Name: name, Address: "127.0.0.1:" + name, Kind: "model", Services: []string{"chat"}, Region: region, Zone: zone,
		State: wire.ServerState_SERVER_STATE_READY, Slots: 16, Answered: 1000, Reachable: true, Incarnation: 1}
}

// fleet returns n model servers named m0, m1 and so on, which alternate between the regions
// lagos and abeokuta and between the zones a and b of each.
func fleet(n int) map[string]*wire.ServerStatus {
	servers := map[string]*wire.ServerStatus{}
	for i := range n {
		s := modelServer(fmt.Sprintf("m%d", i), []string{"lagos", "abeokuta"}[i%2], []string{"a", "b"}[i/2%2])
		servers[s.Name] = s
	}
	return servers
}

// withServer returns a copy of servers in which change has been applied to a new status of
// the named server.
func withServer(servers map[string]*wire.ServerStatus, name string, change func(*wire.ServerStatus)) map[string]*wire.ServerStatus {
	next := map[string]*wire.ServerStatus{}
	for key, s := range servers {
		next[key] = s
	}
	s := modelServer(name, servers[name].Region, servers[name].Zone)
	change(s)
	next[name] = s
	return next
}

// viewOf returns a view of the servers and fronts with a sheet that gives lagos 70 % and
// abeokuta 30 % of the service chat, and a plan computed from it.
func viewOf(servers map[string]*wire.ServerStatus, fronts ...string) View {
	state := statemachine.State{Version: 7, SheetVersion: 7, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"chat": {Kind: "model"}},
		Weights: map[string]map[string]float64{"chat": {"lagos": 70, "abeokuta": 30}}}}
	return View{State: state, Servers: servers, Fronts: fronts, Plan: plan.Compute(plan.Input{State: state, Servers: servers, Term: 1, Number: 1})}
}

// tableOf returns the table of a front in zone a of lagos.
func tableOf(view View) *Table {
	t := New(Config{Self: "n1", Region: "lagos", Zone: "a"})
	t.Update(view)
	return t
}

// requestNumber returns a request without a prefix from the region lagos.
func requestNumber(i int) Request {
	return Request{ID: fmt.Sprintf("r%d", i), Service: "chat", FromRegion: "lagos", Deadline: start.Add(30 * time.Second)}
}

// serve chooses a server for a request and records an immediate answer.
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
		Convey("follows the plan's shares to within about one request in every sequence of requests", func() {
			var lagos []int
			for i := range 400 {
				region := table.serve(requestNumber(i), start).Region
				lagos = append(lagos, map[string]int{"lagos": 1}[region])
			}
			for from := range lagos {
				sum := 0
				for n, toLagos := range lagos[from:] {
					sum += toLagos
					if math.Abs(float64(sum)-0.7*float64(n+1)) > 1.5 {
						t.Fatalf("lagos got %d of %d requests from number %d on, not 70 %%", sum, n+1, from)
					}
				}
			}
		})
		Convey("sends a request with a home region only there, and rejects it if that region has no servers", func() {
			req := requestNumber(1)
			req.HomeRegion = "abeokuta"
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
		Convey("chooses a region with servers if the plan has none", func() {
			servers := fleet(4)
			for _, name := range []string{"m1", "m3"} {
				servers = withServer(servers, name, func(s *wire.ServerStatus) { s.Reachable = false })
			}
			view := viewOf(servers)
			view.Servers = fleet(4)
			table.Update(view)
			So(table.serve(requestNumber(1), start).Region, ShouldEqual, "lagos")
			for _, name := range []string{"m0", "m2"} {
				view.Servers = withServer(view.Servers, name, func(s *wire.ServerStatus) { s.Reachable = false })
			}
			table.Update(view)
			So(table.serve(requestNumber(2), start).Region, ShouldEqual, "abeokuta")
		})
		Convey("applies a newer sheet at once although the plan is older", func() {
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
		Convey("sends nothing to servers that are draining, leaving, gone, unreachable or evacuated, even with an older plan", func() {
			changes := map[string]func(*wire.ServerStatus){
				plan.ReasonDraining:    func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_DRAINING },
				plan.ReasonLeaving:     func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_LEAVING },
				plan.ReasonGone:        func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_GONE },
				plan.ReasonUnreachable: func(s *wire.ServerStatus) { s.Reachable = false },
			}
			for reason, change := range changes {
				view.Servers = withServer(servers, "m0", change)
				table.Update(view)
				So(table.Servers()[0].Excluded, ShouldEqual, reason)
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
		Convey("rejects requests without a plan, for an unknown service, and without a server, the last with a retry delay", func() {
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
			req.Prefix, req.HomeRegion = 77, "lagos"
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
		Convey("ejects a server after three consecutive time-outs that span a second, unless it answers other requests", func() {
			timeOutAt := func(elapsed time.Duration) bool {
				table.Started("m0")
				table.Finished("m0", Outcome{Result: TimedOut}, start.Add(elapsed))
				return table.Servers()[0].Ejected
			}
			So(timeOutAt(0), ShouldBeFalse)
			So(timeOutAt(0), ShouldBeFalse)
			So(timeOutAt(900*time.Millisecond), ShouldBeFalse)
			view.Servers = withServer(servers, "m0", func(s *wire.ServerStatus) { s.Answered = 1001 })
			table.Update(view)
			So(timeOutAt(time.Second), ShouldBeFalse)
			So(timeOutAt(1500*time.Millisecond), ShouldBeFalse)
			So(timeOutAt(2*time.Second), ShouldBeTrue)
		})
		Convey("limits retries to a fraction of the requests and does not try a server twice", func() {
			retry := requestNumber(1)
			retry.TriedServers = []string{"m0"}
			spent := 0
			for table.Choose(retry, start).Err == nil {
				So(table.Choose(requestNumber(spent), start).Server, ShouldNotEqual, "")
				spent++
				So(spent, ShouldBeLessThan, 100)
			}
			So(table.Choose(retry, start).Err.Code, ShouldEqual, apierror.RetryBudgetExhausted)
			for i := range 10 {
				table.Choose(requestNumber(i), start)
			}
			choice := table.Choose(retry, start)
			So(choice.Server, ShouldNotEqual, "m0")
			So(choice.Server, ShouldNotEqual, "")
			table.Reconfigure(RuntimeConfig{Strategy: Affinity, MaxQueued: 1, SlowStartCap: 2})
			So(table.Choose(retry, start).Err.Code, ShouldEqual, apierror.RetryBudgetExhausted)
		})
		Convey("applies the runtime configuration, and SlowStartCap also to the plan's caps", func() {
			servers := withServer(map[string]*wire.ServerStatus{"m0": modelServer("m0", "lagos", "a")}, "m0", func(s *wire.ServerStatus) { s.Answered = 0 })
			view := viewOf(servers)
			for _, firstCap := range []int{5, 1} {
				changed := *view.State.Sheet
				changed.Settings = map[string]string{"route.ramp_start": fmt.Sprint(firstCap)}
				view.State.Sheet = &changed
				view.Plan = plan.Compute(plan.Input{State: view.State, Servers: servers})
				table = tableOf(view)
				table.Reconfigure(RuntimeConfig{Strategy: RoundRobin, MaxQueued: 0, SlowStartCap: firstCap})
				for i := range firstCap {
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
		serverOf := func(prefix uint64) string {
			return table.serve(Request{ID: "x", Service: "chat", HomeRegion: "lagos", Prefix: splitMix64(prefix + 1), Deadline: start.Add(time.Minute)}, start).Server
		}
		initial := map[uint64]string{}
		counts := map[string]int{}
		for p := range uint64(800) {
			initial[p] = serverOf(p)
			counts[initial[p]]++
		}
		Convey("spreads prefixes over the servers and sends each prefix to the same server every time", func() {
			So(len(counts), ShouldEqual, 8)
			for _, n := range counts {
				So(n, ShouldBeBetween, 60, 140)
			}
			for p := range uint64(800) {
				So(serverOf(p), ShouldEqual, initial[p])
			}
		})
		Convey("moves only the prefixes of the server that is gone", func() {
			view.Servers = withServer(servers, "m0", func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_GONE })
			table.Update(view)
			for p := range uint64(800) {
				if initial[p] != "m0" {
					So(serverOf(p), ShouldEqual, initial[p])
				}
			}
		})
		Convey("spreads a hot prefix over more servers once its first server is overloaded", func() {
			req := Request{ID: "x", Service: "chat", HomeRegion: "lagos", Prefix: 99, Deadline: start.Add(time.Minute)}
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
	Convey("Baseline strategies respect caps and exclusions", t, func() {
		for _, strategy := range []Strategy{RoundRobin, LeastLoaded} {
			table := New(Config{Self: "n1", Region: "lagos", Strategy: strategy})
			servers := withServer(fleet(6), "m0", func(s *wire.ServerStatus) { s.State = wire.ServerState_SERVER_STATE_DRAINING })
			table.Update(viewOf(withServer(servers, "m2", func(s *wire.ServerStatus) { s.Answered = 0; s.Incarnation = 2 })))
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
