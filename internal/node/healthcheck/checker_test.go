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

// simulation is a platform, its servers, three cores and nine fronts. All of it
// is guarded by the token: whoever holds it may read or change.
type simulation struct {
	token     chan struct{}
	servers   map[string]*wire.ServerStatus
	outcomes  map[string]port.PollOutcome // of servers that don't answer polls
	listFails bool
	listEmpty bool
	pages     int             // that the list has
	down      map[string]bool // cores and fronts
	requests  map[string]int  // received, by server or kind
	logged    map[string]bool // events by name and server
	reports   map[string]int  // sent, by watcher
	cores     map[string]*serverstatus.ReportStore
	fronts    []*wire.Process
}

// locationOf returns the region and zone of the server or front with a number.
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

func (w *simulation) with(f func()) {
	<-w.token
	f()
	w.token <- struct{}{}
}

func (w *simulation) List(context.Context) (listing port.Listing, err error) {
	w.with(func() {
		w.requests["list"]++
		if w.listFails {
			err = errors.New("no list")
			return
		}
		if w.listEmpty {
			return
		}
		listing.Calls = w.pages
		for _, server := range w.servers {
			listing.Servers = append(listing.Servers, server)
		}
	})
	return listing, err
}

func (w *simulation) Status(_ context.Context, name, _ string) (status *wire.ServerStatus, outcome port.PollOutcome, err error) {
	w.with(func() {
		w.requests[name]++
		if outcome = w.outcomes[name]; outcome != port.PollAnswered {
			err = errors.New("no answer")
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
			err = errors.New("down")
			return
		}
		for _, report := range req.Msg.Reports {
			c.simulation.reports[report.Watcher]++
			c.simulation.cores[c.name].Add(report, time.Now())
		}
		for _, unchanged := range req.Msg.Unchanged {
			if _, known := c.simulation.cores[c.name].ConfirmUnchanged(unchanged, time.Now()); !known {
				resp.Unknown = append(resp.Unknown, unchanged.Watcher)
			}
		}
	})
	return connect.NewResponse(resp), err
}

// Inspect returns when a core last received a report of the list.
func (c coreClient) Inspect(_ context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	resp := &wire.InspectResponse{}
	var err error
	c.simulation.with(func() {
		c.simulation.requests["inspect "+req.Msg.What]++
		if c.simulation.down[c.name] {
			err = errors.New("down")
			return
		}
		resp.Code = uint32(apierror.OK)
		resp.Body, _ = json.Marshal(Listed{AtMS: c.simulation.cores[c.name].ListObservedAt().UnixMilli()})
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

// view is what a front knows: the merged servers of a core that is up, and the
// fronts that are up, known to be down only a second and a half after.
func (w *simulation) view() (v View) {
	w.with(func() {
		for _, name := range []string{"n0", "n1", "n2"} {
			if !w.down[name] {
				v.Servers = w.cores[name].Servers()
				break
			}
		}
		for _, front := range w.fronts {
			if !w.down["seen "+front.Name] {
				v.Fronts = append(v.Fronts, front)
			}
		}
	})
	return v
}

func (w *simulation) status(core, server string) (s *wire.ServerStatus) {
	w.with(func() { s = w.cores[core].Servers()[server] })
	return s
}

// Emit records an event and the server that its first key names.
func (w *simulation) Emit(event events.Event, keyvals ...any) {
	if len(keyvals) > 1 {
		w.with(func() { w.logged[fmt.Sprint(event.Name, " ", keyvals[1])] = true })
	}
}

// takeLogged returns the events that were logged since the last call.
func (w *simulation) takeLogged() (logged []string) {
	w.with(func() { logged = slices.Sorted(maps.Keys(w.logged)); clear(w.logged) })
	return logged
}

type fleet struct {
	*simulation
	stop map[string]func()
}

func launch(drainWithin time.Duration) fleet {
	running := fleet{newSimulation(), map[string]func(){}}
	for i, front := range running.fronts {
		checker := New(Config{
			Self:        front.Name,
			Region:      front.Region,
			Zone:        front.Zone,
			Incarnation: uint64(i + 1),
			DrainWithin: drainWithin,
			View:        running.view,
			Report:      func(*wire.Report) {},
			FleetNow:    time.Now,
		}, running.simulation, peers{running.simulation}, clock.System(), running.simulation)
		ctx, cancel := context.WithCancel(context.Background())
		running.stop[front.Name] = cancel
		go func() { _ = checker.Serve(ctx) }()
	}
	return running
}

func (f fleet) close() {
	for _, stop := range f.stop {
		stop()
	}
	synctest.Wait()
}

func (f fleet) kill(names ...string) {
	for _, name := range names {
		f.stop[name]()
		f.with(func() { f.down[name] = true })
		time.AfterFunc(1500*time.Millisecond, func() { f.with(func() { f.down["seen "+name] = true }) })
	}
}

func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (f fleet) set(name string, change func(*wire.ServerStatus)) {
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
		change(next)
		f.servers[name] = next
	})
}

func checks(t *testing.T, title string, f func(f fleet)) { checksWith(t, 0, title, f) }

func checksWith(t *testing.T, drainWithin time.Duration, title string, f func(f fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := launch(drainWithin)
		defer fleet.close()
		pass(3 * time.Second)
		Convey("Checkers "+title, t, func() { f(fleet) })
	})
}

func TestChecks(t *testing.T) {
	checks(t, "report every server to every core, with few requests", func(f fleet) {
		for _, core := range []string{"n0", "n1", "n2"} {
			for name := range f.servers {
				status := f.status(core, name)
				So(status.GetState(), ShouldEqual, ready)
				So(status.Reachable, ShouldBeTrue)
				So(status.Slots, ShouldEqual, 16)
			}
		}
		f.with(func() { clear(f.requests) })
		pass(10 * time.Second)
		requests := map[string]int{}
		f.with(func() { requests = maps.Clone(f.requests) })
		So(requests["list"], ShouldBeBetweenOrEqual, 6*18, 6*22)
		for name := range f.servers {
			So(requests[name], ShouldBeBetweenOrEqual, 2*18, 2*22)
		}
	})
	checks(t, "confirm an unchanged list by a digest, and report it completely to a core that lost it", func(f fleet) {
		f.with(func() { clear(f.reports) })
		pass(10 * time.Second)
		for i := range 9 {
			So(f.reports[fmt.Sprintf("n%d/list", i)], ShouldEqual, 0)
		}
		f.with(func() { f.cores["n1"] = serverstatus.NewReportStore(serverstatus.Config{}) })
		pass(1500 * time.Millisecond)
		for name := range f.servers {
			So(f.status("n1", name).GetState(), ShouldEqual, ready)
		}
	})
	checks(t, "outlive by an unchanged list the report of a checker that died", func(f fleet) {
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
		pass(5 * time.Second)
		So(f.status("n0", "m3").State, ShouldEqual, ready)
	})
	checks(t, "make a drain known within a second", func(f fleet) {
		f.takeLogged()
		f.set("m2", func(status *wire.ServerStatus) { status.State = draining })
		pass(time.Second)
		for _, core := range []string{"n0", "n1", "n2"} {
			So(f.status(core, "m2").State, ShouldEqual, draining)
		}
		So(f.takeLogged(), ShouldResemble, []string{"server_draining m2"})
	})
	for seed := range 9 {
		checks(t, fmt.Sprintf("make a drain known in time after six fronts and two cores died at once, seed %d", seed), func(f fleet) {
			core := fmt.Sprintf("n%d", seed%3)
			var victims []string
			for i := range 9 {
				if name := fmt.Sprintf("n%d", (seed+i*2)%9); name != core && len(victims) < 6 {
					victims = append(victims, name)
				}
			}
			f.kill(victims...)
			f.set("m0", func(status *wire.ServerStatus) { status.State = draining })
			pass(2500 * time.Millisecond)
			So(f.status(core, "m0").State, ShouldEqual, draining)
			f.set("m0", func(status *wire.ServerStatus) { status.State = ready })
			pass(4 * time.Second)
			So(f.status(core, "m0").State, ShouldEqual, ready)
		})
	}
	checks(t, "send again what a core could not take", func(f fleet) {
		f.with(func() { f.down["n1"] = true })
		f.set("m2", func(status *wire.ServerStatus) { status.State = draining })
		pass(time.Second)
		So(f.status("n1", "m2").State, ShouldEqual, ready)
		f.with(func() { f.down["n1"] = false })
		pass(400 * time.Millisecond)
		So(f.status("n1", "m2").State, ShouldEqual, draining)
	})
	checks(t, "take a server as gone when two lists lack it, and not for an empty list", func(f fleet) {
		f.with(func() { f.listEmpty = true })
		pass(3 * time.Second)
		So(f.status("n0", "m1").State, ShouldEqual, ready)
		f.with(func() { f.listEmpty = false; delete(f.servers, "m1") })
		pass(1500 * time.Millisecond)
		So(f.status("n0", "m1").State, ShouldEqual, gone)
		So(f.status("n0", "m2").State, ShouldEqual, ready)
	})
	checks(t, "distinguish a refused connection from no answer, and both from a platform without one", func(f fleet) {
		f.with(func() {
			f.outcomes["m0"] = port.PollRefused
			f.outcomes["m1"] = port.PollUnanswered
			f.listFails = true
		})
		pass(2 * time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, gone)
		So(f.status("n2", "m1").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeFalse)
		So(f.takeLogged(), ShouldContain, "server_gone m0")
		So(f.takeLogged(), ShouldNotContain, "server_gone m1")
		f.with(func() { clear(f.outcomes) })
		pass(time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeTrue)
	})
}

func TestStandbyRegionReadsList(t *testing.T) {
	const drainWithin = 5 * time.Second
	lead := func(f fleet) string {
		if isActiveRegion("lagos", f.fronts) {
			return "lagos"
		}
		return "abeokuta"
	}
	listed := func(f fleet) (count int) {
		f.with(func() { count = f.requests["list"] })
		return count
	}
	checksWith(t, drainWithin, "of one region read the list, and those of the other ask a core whether it was read", func(f fleet) {
		before := listed(f)
		pass(10 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 3*18, 3*22)
		So(f.requests["inspect "+InspectListed], ShouldBeGreaterThan, 3*18)
	})
	checksWith(t, drainWithin, "read a list of many pages more seldom, and those of the other region still need not", func(f fleet) {
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
		pass(8 * time.Second)
		before := listed(f)
		pass(14 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 3*9, 3*11)
	})
	checksWith(t, drainWithin, "take over a list of many pages before a drain binds", func(f fleet) {
		f.with(func() { f.pages = 10 })
		pass(5 * time.Second)
		for _, front := range f.fronts {
			if front.Region == lead(f) {
				f.stop[front.Name]()
			}
		}
		f.set("m1", func(s *wire.ServerStatus) { s.State = draining })
		pass(3800 * time.Millisecond)
		for _, core := range f.cores {
			So(core.Servers()["m1"].State, ShouldEqual, draining)
		}
	})
	checksWith(t, drainWithin, "of the other region read it when nobody else does, before long", func(f fleet) {
		var readers []string
		for _, front := range f.fronts {
			if front.Region == lead(f) {
				readers = append(readers, front.Name)
			}
		}
		for _, name := range readers {
			f.stop[name]()
		}
		f.set("m1", func(s *wire.ServerStatus) { s.State = draining })
		pass(3500 * time.Millisecond)
		for _, core := range f.cores {
			So(core.Servers()["m1"].State, ShouldEqual, draining)
		}
	})
	checksWith(t, 4*time.Second, "of every region read it where a drain binds too soon for a standby", func(f fleet) {
		before := listed(f)
		pass(10 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 6*18, 6*22)
	})
	checksWith(t, drainWithin, "of the other region read it when no core answers", func(f fleet) {
		f.with(func() {
			for core := range f.cores {
				f.down[core] = true
			}
		})
		before := listed(f)
		pass(5 * time.Second)
		So(listed(f)-before, ShouldBeGreaterThan, 6*8)
	})
}

func TestForgetsServersThatAreGone(t *testing.T) {
	Convey("A checker that only lists keeps nothing of servers that come and go", t, func() {
		simulated := newSimulation()
		known := map[string]*wire.ServerStatus{}
		checker := New(Config{
			Self:        "n0",
			Region:      "lagos",
			Zone:        "a",
			Incarnation: 1,
			ListOnly:    true,
			View:        func() View { return View{Servers: known} },
			Report:      func(*wire.Report) {},
			FleetNow:    time.Now,
		}, simulated, peers{simulated}, clock.System(), simulated)
		for i := range 100 {
			name := fmt.Sprintf("m%d", i)
			known = map[string]*wire.ServerStatus{name: {Name: name, State: ready}}
			checker.applyListing(port.Listing{Servers: []*wire.ServerStatus{{Name: name, Address: name, State: ready}}}, nil, time.Now())
		}
		So(len(checker.observations), ShouldEqual, 1)
	})
}

func TestAssignmentByRendezvousHashing(t *testing.T) {
	Convey("A subject is assigned to as many candidates as wanted, and to the same ones when another is lost", t, func() {
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
			left := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == first[0] })
			So(isAmongFirst(first[1], server, left, 2), ShouldBeTrue)
			So(isAmongFirst("newcomer", server, nil, 2), ShouldBeTrue)
		}
	})
}
