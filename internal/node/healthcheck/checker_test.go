package healthcheck

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	ready    = wire.ServerState_SERVER_STATE_READY
	draining = wire.ServerState_SERVER_STATE_DRAINING
	gone     = wire.ServerState_SERVER_STATE_GONE
)

// simulation simulates a platform, its servers, three cores and nine fronts. The
// token is a mutex over all fields.
type simulation struct {
	token     chan struct{}
	servers   map[string]*wire.ServerStatus
	outcomes  map[string]port.PollOutcome // of polls, by server; PollAnswered if absent
	listFails bool
	listEmpty bool
	pages     int             // of the list; each takes one call
	down      map[string]bool // by process; "seen NAME" is set once views exclude the process
	requests  map[string]int  // received requests by server or kind
	logged    map[string]bool // "EVENT SERVER"
	reports   map[string]int  // received reports by watcher
	cores     map[string]*serverstatus.ReportStore
	fronts    []*wire.Process
}

// locationOf returns the region and zone of the server or front with the given number.
func locationOf(number int) (region, zone string) {
	regions := []string{"lagos", "lagos", "abeokuta"}
	zones := []string{"a", "b", "a"}
	return regions[number%len(regions)], zones[number%len(zones)]
}

func newSimulation() *simulation {
	simulated := &simulation{
		token:    make(chan struct{}, 1),
		servers:  map[string]*wire.ServerStatus{},
		outcomes: map[string]port.PollOutcome{},
		down:     map[string]bool{},
		requests: map[string]int{},
		logged:   map[string]bool{},
		reports:  map[string]int{},
		cores:    map[string]*serverstatus.ReportStore{},
	}
	for i := range 6 {
		region, zone := locationOf(i)
		name := fmt.Sprintf("m%d", i)
		simulated.servers[name] = &wire.ServerStatus{
			Name:     name,
			Address:  name,
			Kind:     "model",
			Services: []string{"chat"},
			Region:   region,
			Zone:     zone,
			State:    ready,
		}
	}
	for i := range 9 {
		region, zone := locationOf(i)
		simulated.fronts = append(simulated.fronts, &wire.Process{
			Name:     fmt.Sprintf("n%d", i),
			Region:   region,
			Zone:     zone,
			Front:    true,
			Core:     i < 3,
			Standing: wire.Standing_STANDING_VOTING,
			Address:  fmt.Sprintf("n%d", i),
		})
	}
	for i := range 3 {
		simulated.cores[fmt.Sprintf("n%d", i)] = serverstatus.NewReportStore(serverstatus.Config{})
	}
	simulated.token <- struct{}{}
	return simulated
}

// with runs f while it holds the token.
func (sim *simulation) with(f func()) {
	<-sim.token
	f()
	sim.token <- struct{}{}
}

func (sim *simulation) List(context.Context) (listing port.Listing, err error) {
	sim.with(func() {
		sim.requests["list"]++
		if sim.listFails {
			err = errors.New("simulated failure of the platform's list")
			return
		}
		if sim.listEmpty {
			return
		}
		listing.CallCount = sim.pages
		for _, server := range sim.servers {
			listing.Servers = append(listing.Servers, server)
		}
	})
	return listing, err
}

func (sim *simulation) Status(_ context.Context, name, _ string) (status *wire.ServerStatus, outcome port.PollOutcome, err error) {
	sim.with(func() {
		sim.requests[name]++
		if outcome = sim.outcomes[name]; outcome != port.PollAnswered {
			err = errors.New("simulated failure of a poll")
			return
		}
		status = &wire.ServerStatus{
			Name:      name,
			State:     ready,
			Reachable: true,
			Slots:     16,
			Answered:  100,
		}
	})
	return status, outcome, err
}

type coreClient struct {
	wireconnect.PeerClient
	simulation *simulation
	name       string
}

func (c coreClient) Submit(_ context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	resp := &wire.SubmitResponse{}
	var err error
	c.simulation.with(func() {
		if c.simulation.down[c.name] {
			err = errors.New("simulated core is down")
			return
		}
		for _, report := range req.Msg.Reports {
			c.simulation.reports[report.Watcher]++
			c.simulation.cores[c.name].Add(report, time.Now())
		}
		for _, unchanged := range req.Msg.Unchanged {
			if _, matches := c.simulation.cores[c.name].ConfirmUnchanged(unchanged, time.Now()); !matches {
				resp.Unknown = append(resp.Unknown, unchanged.Watcher)
			}
		}
	})
	return connect.NewResponse(resp), err
}

// Inspect returns the time of the last list read that was reported to the core.
func (c coreClient) Inspect(_ context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	resp := &wire.InspectResponse{}
	var err error
	c.simulation.with(func() {
		c.simulation.requests["inspect "+req.Msg.What]++
		if c.simulation.down[c.name] {
			err = errors.New("simulated core is down")
			return
		}
		resp.Code = uint32(apierror.OK)
		resp.Body, _ = json.Marshal(ListTime{ObservedAtMS: c.simulation.cores[c.name].ListObservedAt().UnixMilli()})
	})
	return connect.NewResponse(resp), err
}

type peers struct{ simulation *simulation }

func (p peers) Process(string) (*wire.Process, bool) { return nil, false }
func (p peers) Cores() []*wire.Process               { return port.CoresOf(p.Processes()) }

func (p peers) Processes() []*wire.Process { return p.simulation.fronts }
func (p peers) Client(address string) wireconnect.PeerClient {
	return coreClient{simulation: p.simulation, name: address}
}

// view returns the view of every front: the merged servers of the first core that is
// running, and the running fronts. A killed front remains in it for 1.5 s.
func (sim *simulation) view() (v View) {
	sim.with(func() {
		for _, name := range []string{"n0", "n1", "n2"} {
			if !sim.down[name] {
				v.Servers = sim.cores[name].Servers()
				break
			}
		}
		for _, front := range sim.fronts {
			if !sim.down["seen "+front.Name] {
				v.Fronts = append(v.Fronts, front)
			}
		}
	})
	return v
}

func (sim *simulation) status(core, server string) (s *wire.ServerStatus) {
	sim.with(func() { s = sim.cores[core].Servers()[server] })
	return s
}

// Emit records an event with the value of its first key, which is the server.
func (sim *simulation) Emit(event events.Event, keyvals ...any) {
	if len(keyvals) > 1 {
		sim.with(func() { sim.logged[fmt.Sprint(event.Name, " ", keyvals[1])] = true })
	}
}

// takeLogged returns the events logged since the last call.
func (sim *simulation) takeLogged() (logged []string) {
	sim.with(func() { logged = slices.Sorted(maps.Keys(sim.logged)); clear(sim.logged) })
	return logged
}

// fleet is a simulation with a running checker on every front.
type fleet struct {
	*simulation
	stop map[string]func() // stops a front's checker
}

func startFleet(drainWithin time.Duration) fleet {
	started := fleet{newSimulation(), map[string]func(){}}
	for i, front := range started.fronts {
		checker := New(Config{
			Self:        front.Name,
			Region:      front.Region,
			Zone:        front.Zone,
			Incarnation: uint64(i + 1),
			DrainWithin: drainWithin,
			View:        started.view,
			ApplyReport: func(*wire.Report) {},
			FleetNow:    time.Now,
		}, started.simulation, peers{started.simulation}, clock.System(), started.simulation)
		ctx, cancel := context.WithCancel(context.Background())
		started.stop[front.Name] = cancel
		go func() { _ = checker.Serve(ctx) }()
	}
	return started
}

func (f fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	synctest.Wait()
}

// kill stops fronts and the cores of the same name.
func (f fleet) kill(names ...string) {
	for _, name := range names {
		f.stop[name]()
		f.with(func() { f.down[name] = true })
		time.AfterFunc(1500*time.Millisecond, func() { f.with(func() { f.down["seen "+name] = true }) })
	}
}

// advance waits for a duration of virtual time, and then until all goroutines are
// blocked.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// set changes the platform's entry of a server.
func (f fleet) set(name string, update func(*wire.ServerStatus)) {
	f.with(func() {
		old := f.servers[name]
		next := &wire.ServerStatus{
			Name:     name,
			Address:  old.Address,
			Kind:     old.Kind,
			Services: old.Services,
			Region:   old.Region,
			Zone:     old.Zone,
			State:    old.State,
		}
		update(next)
		f.servers[name] = next
	})
}

// testCheckers runs f on a fleet that has been running for 3 s.
func testCheckers(t *testing.T, title string, f func(f fleet)) { testCheckersWithDrain(t, 0, title, f) }

func testCheckersWithDrain(t *testing.T, drainWithin time.Duration, title string, f func(f fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := startFleet(drainWithin)
		defer fleet.close()
		advance(3 * time.Second)
		Convey("Checkers "+title, t, func() { f(fleet) })
	})
}

func TestCheckersReportServers(t *testing.T) {
	testCheckers(t, "report every server to every core with a bounded number of requests", func(f fleet) {
		for _, core := range []string{"n0", "n1", "n2"} {
			for name := range f.servers {
				status := f.status(core, name)
				So(status.GetState(), ShouldEqual, ready)
				So(status.Reachable, ShouldBeTrue)
				So(status.Slots, ShouldEqual, 16)
			}
		}
		f.with(func() { clear(f.requests) })
		advance(10 * time.Second)
		requests := map[string]int{}
		f.with(func() { requests = maps.Clone(f.requests) })
		So(requests["list"], ShouldBeBetweenOrEqual, 6*18, 6*22)
		for name := range f.servers {
			So(requests[name], ShouldBeBetweenOrEqual, 2*18, 2*22)
		}
	})
	testCheckers(t, "confirm an unchanged list by digest, and resend the complete list to a core that lost it", func(f fleet) {
		f.with(func() { clear(f.reports) })
		advance(10 * time.Second)
		for i := range 9 {
			So(f.reports[fmt.Sprintf("n%d/list", i)], ShouldEqual, 0)
		}
		f.with(func() { f.cores["n1"] = serverstatus.NewReportStore(serverstatus.Config{}) })
		advance(1500 * time.Millisecond)
		for name := range f.servers {
			So(f.status("n1", name).GetState(), ShouldEqual, ready)
		}
	})
	testCheckers(t, "confirm an unchanged list, which outdates the report of a stopped checker", func(f fleet) {
		f.with(func() {
			for _, core := range f.cores {
				core.Add(&wire.Report{
					Watcher:     "n99/list",
					Server:      "m3",
					Incarnation: 1,
					Counter:     1,
					AtMs:        time.Now().UnixMilli(),
					Status:      &wire.ServerStatus{Name: "m3", Address: "m3", State: draining},
				}, time.Now())
			}
		})
		So(f.status("n0", "m3").State, ShouldEqual, draining)
		advance(5 * time.Second)
		So(f.status("n0", "m3").State, ShouldEqual, ready)
	})
	testCheckers(t, "report a drain to every core within a second", func(f fleet) {
		f.takeLogged()
		f.set("m2", func(status *wire.ServerStatus) { status.State = draining })
		advance(time.Second)
		for _, core := range []string{"n0", "n1", "n2"} {
			So(f.status(core, "m2").State, ShouldEqual, draining)
		}
		So(f.takeLogged(), ShouldResemble, []string{"server_draining m2"})
	})
	for seed := range 9 {
		testCheckers(t, fmt.Sprintf("report a drain within 2.5 s of the simultaneous failure of six fronts and two cores, seed %d", seed), func(f fleet) {
			core := fmt.Sprintf("n%d", seed%3)
			var victims []string
			for i := range 9 {
				if name := fmt.Sprintf("n%d", (seed+i*2)%9); name != core && len(victims) < 6 {
					victims = append(victims, name)
				}
			}
			f.kill(victims...)
			f.set("m0", func(status *wire.ServerStatus) { status.State = draining })
			advance(2500 * time.Millisecond)
			So(f.status(core, "m0").State, ShouldEqual, draining)
			f.set("m0", func(status *wire.ServerStatus) { status.State = ready })
			advance(4 * time.Second)
			So(f.status(core, "m0").State, ShouldEqual, ready)
		})
	}
	testCheckers(t, "resubmit reports to a core that was down", func(f fleet) {
		f.with(func() { f.down["n1"] = true })
		f.set("m2", func(status *wire.ServerStatus) { status.State = draining })
		advance(time.Second)
		So(f.status("n1", "m2").State, ShouldEqual, ready)
		f.with(func() { f.down["n1"] = false })
		advance(400 * time.Millisecond)
		So(f.status("n1", "m2").State, ShouldEqual, draining)
	})
	testCheckers(t, "report a server as gone when two consecutive lists lack it, but not for an empty list", func(f fleet) {
		f.with(func() { f.listEmpty = true })
		advance(3 * time.Second)
		So(f.status("n0", "m1").State, ShouldEqual, ready)
		f.with(func() { f.listEmpty = false; delete(f.servers, "m1") })
		advance(1500 * time.Millisecond)
		So(f.status("n0", "m1").State, ShouldEqual, gone)
		So(f.status("n0", "m2").State, ShouldEqual, ready)
	})
	testCheckers(t, "distinguish refused from unanswered polls while reads of the list fail", func(f fleet) {
		f.with(func() {
			f.outcomes["m0"] = port.PollRefused
			f.outcomes["m1"] = port.PollUnanswered
			f.listFails = true
		})
		advance(2 * time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, gone)
		So(f.status("n2", "m1").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeFalse)
		So(f.takeLogged(), ShouldContain, "server_gone m0")
		So(f.takeLogged(), ShouldNotContain, "server_gone m1")
		f.with(func() { clear(f.outcomes) })
		advance(time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeTrue)
	})
}

func TestStandbyRegionReadsList(t *testing.T) {
	const drainWithin = 5 * time.Second
	activeRegion := func(f fleet) string {
		if isActiveRegion("lagos", f.fronts) {
			return "lagos"
		}
		return "abeokuta"
	}
	listReads := func(f fleet) (count int) {
		f.with(func() { count = f.requests["list"] })
		return count
	}
	testCheckersWithDrain(t, drainWithin, "in the active region read the list, and those in the standby region ask a core when it was read", func(f fleet) {
		readsBefore := listReads(f)
		advance(10 * time.Second)
		So(listReads(f)-readsBefore, ShouldBeBetweenOrEqual, 3*18, 3*22)
		So(f.requests["inspect "+InspectListTime], ShouldBeGreaterThan, 3*18)
	})
	testCheckersWithDrain(t, drainWithin, "read a list of many pages less often, and those in the standby region still do not read it", func(f fleet) {
		f.with(func() {
			f.pages = 10
			for i := range 240 {
				name := fmt.Sprintf("many%d", i)
				f.servers[name] = &wire.ServerStatus{
					Name:     name,
					Address:  name,
					Kind:     "model",
					Services: []string{"chat"},
					Region:   "lagos",
					Zone:     "a",
					State:    ready,
				}
			}
		})
		advance(8 * time.Second)
		readsBefore := listReads(f)
		advance(14 * time.Second)
		So(listReads(f)-readsBefore, ShouldBeBetweenOrEqual, 3*9, 3*11)
	})
	testCheckersWithDrain(t, drainWithin, "in the standby region take over reads of a list of many pages within DrainWithin", func(f fleet) {
		f.with(func() { f.pages = 10 })
		advance(5 * time.Second)
		for _, front := range f.fronts {
			if front.Region == activeRegion(f) {
				f.stop[front.Name]()
			}
		}
		f.set("m1", func(s *wire.ServerStatus) { s.State = draining })
		advance(3800 * time.Millisecond)
		for _, core := range f.cores {
			So(core.Servers()["m1"].State, ShouldEqual, draining)
		}
	})
	testCheckersWithDrain(t, drainWithin, "in the standby region take over reads of the list when the active region stops", func(f fleet) {
		var readers []string
		for _, front := range f.fronts {
			if front.Region == activeRegion(f) {
				readers = append(readers, front.Name)
			}
		}
		for _, name := range readers {
			f.stop[name]()
		}
		f.set("m1", func(s *wire.ServerStatus) { s.State = draining })
		advance(3500 * time.Millisecond)
		for _, core := range f.cores {
			So(core.Servers()["m1"].State, ShouldEqual, draining)
		}
	})
	testCheckersWithDrain(t, 4*time.Second, "in every region read the list when DrainWithin is too short for a standby region", func(f fleet) {
		readsBefore := listReads(f)
		advance(10 * time.Second)
		So(listReads(f)-readsBefore, ShouldBeBetweenOrEqual, 6*18, 6*22)
	})
	testCheckersWithDrain(t, drainWithin, "in the standby region read the list when no core answers", func(f fleet) {
		f.with(func() {
			for core := range f.cores {
				f.down[core] = true
			}
		})
		readsBefore := listReads(f)
		advance(5 * time.Second)
		So(listReads(f)-readsBefore, ShouldBeGreaterThan, 6*8)
	})
}

func TestObservationsOfRemovedServersArePruned(t *testing.T) {
	Convey("A checker with ListOnly removes the observations of servers that have left the list and the view", t, func() {
		simulated := newSimulation()
		viewServers := map[string]*wire.ServerStatus{}
		checker := New(Config{
			Self:        "n0",
			Region:      "lagos",
			Zone:        "a",
			Incarnation: 1,
			ListOnly:    true,
			View:        func() View { return View{Servers: viewServers} },
			ApplyReport: func(*wire.Report) {},
			FleetNow:    time.Now,
		}, simulated, peers{simulated}, clock.System(), simulated)
		for i := range 100 {
			name := fmt.Sprintf("m%d", i)
			viewServers = map[string]*wire.ServerStatus{name: {Name: name, State: ready}}
			checker.applyListing(port.Listing{Servers: []*wire.ServerStatus{{Name: name, Address: name, State: ready}}}, nil, time.Now())
		}
		So(len(checker.observations), ShouldEqual, 1)
	})
}

func TestAssignmentByRendezvousHashing(t *testing.T) {
	Convey("A subject is assigned to the requested number of candidates, and the remaining ones keep it when another is removed", t, func() {
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprintf("n%d", i))
		}
		for _, server := range []string{"m0", "m1", "m2", "m3"} {
			var first []string
			for _, name := range names {
				if isAmongFirst(name, server, names, 2) {
					first = append(first, name)
				}
			}
			So(len(first), ShouldEqual, 2)
			remaining := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == first[0] })
			So(isAmongFirst(first[1], server, remaining, 2), ShouldBeTrue)
			So(isAmongFirst("newcomer", server, nil, 2), ShouldBeTrue)
		}
	})
}
