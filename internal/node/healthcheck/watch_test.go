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

	"stepwick/internal/adapter/platform"
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

// world is a platform, its servers, three cores and nine fronts. All of it
// belongs to one channel: whoever holds the token may look or change.
type world struct {
	token   chan struct{}
	servers map[string]*wire.ServerStatus
	dark    map[string]platform.Reach
	silent  bool
	empty   bool
	pages   int             // that the list has
	down    map[string]bool // cores and fronts
	asked   map[string]int
	told    map[string]bool // events by name and server
	reports map[string]int  // sent, by watcher
	cores   map[string]*serverstatus.ReportStore
	fronts  []*wire.Process
}

func newWorld() *world {
	w := &world{token: make(chan struct{}, 1), servers: map[string]*wire.ServerStatus{}, dark: map[string]platform.Reach{},
		down: map[string]bool{}, asked: map[string]int{}, told: map[string]bool{}, reports: map[string]int{}, cores: map[string]*serverstatus.ReportStore{}}
	for i := range 6 {
		region, zone := []string{"lagos", "lagos", "abeokuta"}[i%3], []string{"a", "b", "a"}[i%3]
		name := fmt.Sprintf("m%d", i)
		w.servers[name] = &wire.ServerStatus{Name: name, Address: name, Kind: "model", Services: []string{"chat"}, Region: region, Zone: zone, State: ready}
	}
	for i := range 9 {
		region, zone := []string{"lagos", "lagos", "abeokuta"}[i%3], []string{"a", "b", "a"}[i%3]
		w.fronts = append(w.fronts, &wire.Process{Name: fmt.Sprintf("n%d", i), Region: region, Zone: zone, Front: true, Core: i < 3, Standing: wire.Standing_STANDING_VOTING, Address: fmt.Sprintf("n%d", i)})
	}
	for i := range 3 {
		w.cores[fmt.Sprintf("n%d", i)] = serverstatus.NewReportStore(serverstatus.Config{})
	}
	w.token <- struct{}{}
	return w
}

func (w *world) with(f func()) {
	<-w.token
	f()
	w.token <- struct{}{}
}

func (w *world) List(context.Context) (listing platform.Listing, err error) {
	w.with(func() {
		w.asked["list"]++
		if w.silent {
			err = errors.New("silent")
			return
		}
		if w.empty {
			return
		}
		listing.Calls = w.pages
		for _, s := range w.servers {
			listing.Servers = append(listing.Servers, s)
		}
	})
	return listing, err
}

func (w *world) Status(_ context.Context, name, _ string) (status *wire.ServerStatus, reach platform.Reach, err error) {
	w.with(func() {
		w.asked[name]++
		if reach = w.dark[name]; reach != platform.Answers {
			err = errors.New("dark")
			return
		}
		status = &wire.ServerStatus{Name: name, State: ready, Reachable: true, Slots: 16, Answered: 100}
	})
	return status, reach, err
}

type coreClient struct {
	wireconnect.PeerClient
	w    *world
	name string
}

func (c coreClient) Submit(_ context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	err := error(nil)
	resp := &wire.SubmitResponse{}
	c.w.with(func() {
		if c.w.down[c.name] {
			err = errors.New("down")
			return
		}
		for _, report := range req.Msg.Reports {
			c.w.reports[report.Watcher]++
			c.w.cores[c.name].Add(report, time.Now())
		}
		for _, unchanged := range req.Msg.Unchanged {
			if _, known := c.w.cores[c.name].ConfirmUnchanged(unchanged, time.Now()); !known {
				resp.Unknown = append(resp.Unknown, unchanged.Watcher)
			}
		}
	})
	return connect.NewResponse(resp), err
}

// Inspect tells when a core was last told of the list.
func (c coreClient) Inspect(_ context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	resp, err := &wire.InspectResponse{}, error(nil)
	c.w.with(func() {
		c.w.asked["inspect "+req.Msg.What]++
		if c.w.down[c.name] {
			err = errors.New("down")
			return
		}
		resp.Code = uint32(apierror.OK)
		resp.Body, _ = json.Marshal(Listed{AtMS: c.w.cores[c.name].ListedAt().UnixMilli()})
	})
	return connect.NewResponse(resp), err
}

type peers struct{ w *world }

func (p peers) Process(string) (*wire.Process, bool) { return nil, false }
func (p peers) Cores() []*wire.Process               { return port.CoresOf(p.Processes()) }

func (p peers) Processes() []*wire.Process { return p.w.fronts }
func (p peers) Client(address string) wireconnect.PeerClient {
	return coreClient{w: p.w, name: address}
}

// view is what a front sees: the folded servers of a core that is up, and the
// fronts that are up, known to be down only a second and a half after.
func (w *world) view() (v View) {
	w.with(func() {
		for _, name := range []string{"n0", "n1", "n2"} {
			if !w.down[name] {
				v.Servers = w.cores[name].Servers()
				break
			}
		}
		for _, p := range w.fronts {
			if !w.down["seen "+p.Name] {
				v.Fronts = append(v.Fronts, p)
			}
		}
	})
	return v
}

func (w *world) status(core, server string) (s *wire.ServerStatus) {
	w.with(func() { s = w.cores[core].Servers()[server] })
	return s
}

// Emit notes an event and the server that its first key names.
func (w *world) Emit(event events.Event, keyvals ...any) {
	if len(keyvals) > 1 {
		w.with(func() { w.told[fmt.Sprint(event.Name, " ", keyvals[1])] = true })
	}
}

func (w *world) news() (told []string) {
	w.with(func() { told = slices.Sorted(maps.Keys(w.told)); clear(w.told) })
	return told
}

type fleet struct {
	*world
	stop map[string]func()
}

func launch(drainWithin time.Duration) fleet {
	f := fleet{newWorld(), map[string]func(){}}
	for i, p := range f.fronts {
		watcher := New(Config{Self: p.Name, Region: p.Region, Zone: p.Zone, Incarnation: uint64(i + 1), DrainWithin: drainWithin}, f.world, peers{f.world},
			clock.System(), f.view, func(*wire.Report) {}, time.Now, f.world)
		ctx, cancel := context.WithCancel(context.Background())
		f.stop[p.Name] = cancel
		go func() { _ = watcher.Serve(ctx) }()
	}
	return f
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
		next := &wire.ServerStatus{Name: name, Address: old.Address, Kind: old.Kind, Services: old.Services, Region: old.Region, Zone: old.Zone, State: old.State}
		change(next)
		f.servers[name] = next
	})
}

func bubble(t *testing.T, title string, f func(f fleet)) { bubbleWith(t, 0, title, f) }

func bubbleWith(t *testing.T, drainWithin time.Duration, title string, f func(f fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := launch(drainWithin)
		defer fleet.close()
		pass(3 * time.Second)
		Convey("Watchers "+title, t, func() { f(fleet) })
	})
}

func TestWatch(t *testing.T) {
	bubble(t, "tell every core of every server, with few questions", func(f fleet) {
		for _, core := range []string{"n0", "n1", "n2"} {
			for name := range f.servers {
				s := f.status(core, name)
				So(s.GetState(), ShouldEqual, ready)
				So(s.Reachable, ShouldBeTrue)
				So(s.Slots, ShouldEqual, 16)
			}
		}
		f.with(func() { clear(f.asked) })
		pass(10 * time.Second)
		asked := map[string]int{}
		f.with(func() { asked = maps.Clone(f.asked) })
		So(asked["list"], ShouldBeBetweenOrEqual, 6*18, 6*22)
		for name := range f.servers {
			So(asked[name], ShouldBeBetweenOrEqual, 2*18, 2*22)
		}
	})
	bubble(t, "say of a list that stands only that it does, and tell it whole to a core that lost it", func(f fleet) {
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
	bubble(t, "outlive by a list that stands the word of a watcher that died", func(f fleet) {
		f.with(func() {
			for _, core := range f.cores {
				core.Add(&wire.Report{Watcher: "n99/list", Server: "m3", Incarnation: 1, Counter: 1, AtMs: time.Now().UnixMilli(),
					Status: &wire.ServerStatus{Name: "m3", Address: "m3", State: draining}}, time.Now())
			}
		})
		So(f.status("n0", "m3").State, ShouldEqual, draining)
		pass(5 * time.Second)
		So(f.status("n0", "m3").State, ShouldEqual, ready)
	})
	bubble(t, "make a drain known within a second", func(f fleet) {
		f.news()
		f.set("m2", func(s *wire.ServerStatus) { s.State = draining })
		pass(time.Second)
		for _, core := range []string{"n0", "n1", "n2"} {
			So(f.status(core, "m2").State, ShouldEqual, draining)
		}
		So(f.news(), ShouldResemble, []string{"server_draining m2"})
	})
	for seed := range 9 {
		bubble(t, fmt.Sprintf("make a drain known in time after six fronts and two cores died at once, draw %d", seed), func(f fleet) {
			core := fmt.Sprintf("n%d", seed%3)
			var victims []string
			for i := range 9 {
				if name := fmt.Sprintf("n%d", (seed+i*2)%9); name != core && len(victims) < 6 {
					victims = append(victims, name)
				}
			}
			f.kill(victims...)
			f.set("m0", func(s *wire.ServerStatus) { s.State = draining })
			pass(2500 * time.Millisecond)
			So(f.status(core, "m0").State, ShouldEqual, draining)
			f.set("m0", func(s *wire.ServerStatus) { s.State = ready })
			pass(4 * time.Second)
			So(f.status(core, "m0").State, ShouldEqual, ready)
		})
	}
	bubble(t, "send again what a core could not take", func(f fleet) {
		f.with(func() { f.down["n1"] = true })
		f.set("m2", func(s *wire.ServerStatus) { s.State = draining })
		pass(time.Second)
		So(f.status("n1", "m2").State, ShouldEqual, ready)
		f.with(func() { f.down["n1"] = false })
		pass(400 * time.Millisecond)
		So(f.status("n1", "m2").State, ShouldEqual, draining)
	})
	bubble(t, "take a server as gone when two lists lack it, and not for an empty list", func(f fleet) {
		f.with(func() { f.empty = true })
		pass(3 * time.Second)
		So(f.status("n0", "m1").State, ShouldEqual, ready)
		f.with(func() { f.empty = false; delete(f.servers, "m1") })
		pass(1500 * time.Millisecond)
		So(f.status("n0", "m1").State, ShouldEqual, gone)
		So(f.status("n0", "m2").State, ShouldEqual, ready)
	})
	bubble(t, "tell refusal from silence, and a platform's silence from both", func(f fleet) {
		f.with(func() { f.dark["m0"], f.dark["m1"], f.silent = platform.Refuses, platform.Silent, true })
		pass(2 * time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, gone)
		So(f.status("n2", "m1").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeFalse)
		So(f.news(), ShouldContain, "server_gone m0")
		So(f.news(), ShouldNotContain, "server_gone m1")
		f.with(func() { clear(f.dark) })
		pass(time.Second)
		So(f.status("n2", "m0").State, ShouldEqual, ready)
		So(f.status("n2", "m1").Reachable, ShouldBeTrue)
	})
}

func TestStandby(t *testing.T) {
	const drainWithin = 5 * time.Second
	lead := func(f fleet) string {
		if leads("lagos", f.fronts) {
			return "lagos"
		}
		return "abeokuta"
	}
	listed := func(f fleet) (count int) {
		f.with(func() { count = f.asked["list"] })
		return count
	}
	bubbleWith(t, drainWithin, "of one region read the list, and those of the other ask a core whether it was read", func(f fleet) {
		before := listed(f)
		pass(10 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 3*18, 3*22)
		So(f.asked["inspect "+InspectListed], ShouldBeGreaterThan, 3*18)
	})
	bubbleWith(t, drainWithin, "read a list of many pages more seldom, and those of the other region still need not", func(f fleet) {
		f.with(func() {
			f.pages = 10
			for i := range 240 {
				name := fmt.Sprintf("many%d", i)
				f.servers[name] = &wire.ServerStatus{Name: name, Address: name, Kind: "model", Services: []string{"chat"}, Region: "lagos", Zone: "a", State: ready}
			}
		})
		pass(8 * time.Second)
		before := listed(f)
		pass(14 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 3*9, 3*11)
	})
	bubbleWith(t, drainWithin, "take over a list of many pages before a drain binds", func(f fleet) {
		f.with(func() { f.pages = 10 })
		pass(5 * time.Second)
		for _, p := range f.fronts {
			if p.Region == lead(f) {
				f.stop[p.Name]()
			}
		}
		f.set("m1", func(s *wire.ServerStatus) { s.State = draining })
		pass(3800 * time.Millisecond)
		for _, core := range f.cores {
			So(core.Servers()["m1"].State, ShouldEqual, draining)
		}
	})
	bubbleWith(t, drainWithin, "of the other region read it when nobody else does, before long", func(f fleet) {
		var readers []string
		for _, p := range f.fronts {
			if p.Region == lead(f) {
				readers = append(readers, p.Name)
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
	bubbleWith(t, 4*time.Second, "of every region read it where a drain binds too soon for a standby", func(f fleet) {
		before := listed(f)
		pass(10 * time.Second)
		So(listed(f)-before, ShouldBeBetweenOrEqual, 6*18, 6*22)
	})
	bubbleWith(t, drainWithin, "of the other region read it when no core answers", func(f fleet) {
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

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	Convey("A watcher that only lists keeps nothing of servers that come and go", t, func() {
		w := newWorld()
		known := map[string]*wire.ServerStatus{}
		watcher := New(Config{Self: "n0", Region: "lagos", Zone: "a", Incarnation: 1, ListOnly: true}, w, peers{w}, clock.System(),
			func() View { return View{Servers: known} }, func(*wire.Report) {}, time.Now, w)
		for i := range 100 {
			name := fmt.Sprintf("m%d", i)
			known = map[string]*wire.ServerStatus{name: {Name: name, State: ready}}
			watcher.takeList(platform.Listing{Servers: []*wire.ServerStatus{{Name: name, Address: name, State: ready}}}, nil, time.Now())
		}
		So(len(watcher.sights), ShouldEqual, 1)
	})
}

func TestRanks(t *testing.T) {
	Convey("Rendezvous ranks", t, func() {
		var names []string
		for i := range 9 {
			names = append(names, fmt.Sprintf("n%d", i))
		}
		for _, server := range []string{"m0", "m1", "m2", "m3"} {
			var first []string
			for _, name := range names {
				if Ranks(name, server, names, 2) {
					first = append(first, name)
				}
			}
			So(len(first), ShouldEqual, 2)
			left := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == first[0] })
			So(Ranks(first[1], server, left, 2), ShouldBeTrue)
			So(Ranks("newcomer", server, nil, 2), ShouldBeTrue)
		}
	})
}
