package replica

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// fleet joins replicas by direct calls. Cut links and stopped cores don't answer.
type fleet struct {
	t     testing.TB
	root  string
	cores map[string]*atomic.Pointer[Replica]
	stop  map[string]func()
	cut   map[string]*atomic.Bool
	disk  map[string]disklog.Config
	cfg   Config
	front *wire.FetchResponse // what a front still holds, if there is one
}

func newFleet(t testing.TB, names ...string) *fleet {
	f := &fleet{t: t, root: t.TempDir(), cores: map[string]*atomic.Pointer[Replica]{}, stop: map[string]func(){}, cut: map[string]*atomic.Bool{}, disk: map[string]disklog.Config{}}
	for _, name := range names {
		f.cut[name] = &atomic.Bool{}
		f.cores[name] = &atomic.Pointer[Replica]{}
		f.disk[name] = disklog.Config{Folder: filepath.Join(f.root, name)}
	}
	return f
}

func (f *fleet) core(name string) *Replica { return f.cores[name].Load() }

func (f *fleet) start(names ...string) {
	for _, name := range names {
		cfg := f.cfg
		cfg.Self = name
		r := New(cfg, OnDisk(f.disk[name]), peers{f, name}, clock.System(), events.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = r.Serve(ctx); close(done) }()
		f.cores[name].Store(r)
		f.stop[name] = func() { cancel(); <-done; f.cores[name].Store(nil) }
	}
}

func (f *fleet) wipe(name string) {
	f.stop[name]()
	if err := os.RemoveAll(filepath.Join(f.root, name)); err != nil {
		f.t.Fatal(err)
	}
}

// until lets virtual time pass in steps until the condition holds.
func (f *fleet) until(limit time.Duration, met func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return met()
}

func (f *fleet) voting(names ...string) func() bool {
	return func() bool {
		for _, name := range names {
			if f.core(name).Standing() != wire.Standing_STANDING_VOTING {
				return false
			}
		}
		return true
	}
}

func (f *fleet) at(version uint64, names ...string) func() bool {
	return func() bool {
		for _, name := range names {
			if f.core(name).Current().Version < version {
				return false
			}
		}
		return true
	}
}

func (f *fleet) stopAll() {
	for name, stop := range f.stop {
		if f.cores[name].Load() != nil {
			stop()
		}
	}
}

type peers struct {
	f    *fleet
	self string
}

func (p peers) Process(name string) (*wire.Process, bool) {
	_, known := p.f.cores[name]
	if name == "front" {
		return &wire.Process{Name: name, Address: name, Front: true}, true
	}
	return &wire.Process{Name: name, Address: name, Core: true}, known
}

func (p peers) Cores() []*wire.Process { return port.CoresOf(p.Processes()) }

func (p peers) Processes() (all []*wire.Process) {
	for _, name := range []string{"a", "b", "c"} {
		process, _ := p.Process(name)
		all = append(all, process)
	}
	if p.f.front != nil {
		all = append(all, &wire.Process{Name: "front", Address: "front", Front: true})
	}
	return all
}

func (p peers) Client(address string) wireconnect.PeerClient {
	return client{f: p.f, from: p.self, to: address}
}

type client struct {
	wireconnect.PeerClient
	f        *fleet
	from, to string
}

func reach[Q, A any](ctx context.Context, c client, req *connect.Request[Q], handler func(*Replica) func(context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	if c.f.cut[c.from].Load() || c.f.cut[c.to].Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to := c.f.cores[c.to].Load()
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	resp, err := handler(to)(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (c client) Found(ctx context.Context, q *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.FoundRequest) (*wire.FoundResponse, error) {
		return r.Found
	})
}
func (c client) Prepare(ctx context.Context, q *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.PrepareRequest) (*wire.PrepareResponse, error) {
		return r.Prepare
	})
}
func (c client) Accept(ctx context.Context, q *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		return r.Accept
	})
}
func (c client) Learn(ctx context.Context, q *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.LearnRequest) (*wire.LearnResponse, error) {
		return r.Learn
	})
}
func (c client) Recover(ctx context.Context, q *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.RecoverRequest) (*wire.RecoverResponse, error) {
		return r.Recover
	})
}
func (c client) Read(ctx context.Context, q *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) { return r.Read })
}
func (c client) Fetch(ctx context.Context, q *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if c.to == "front" {
		return connect.NewResponse(c.f.front), nil
	}
	return reach(ctx, c, q, func(r *Replica) func(context.Context, *wire.FetchRequest) (*wire.FetchResponse, error) {
		return r.Fetch
	})
}

func evacuate(id string) []byte {
	return statemachine.Encode(statemachine.Evacuate{Order: statemachine.Order{OrderID: id, Operator: "ada"}, Zone: "lagos/a"})
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

const firstSheetJSON = `{"services":{"chat":{"kind":"model"}},"weights":{"chat":{"lagos":1}},"tenants":{}}`

// inBubble runs one scenario in virtual time, with the cores not yet started.
func inBubble(t *testing.T, what string, test func(f *fleet)) {
	t.Run(what, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			defer f.stopAll()
			Convey(what, t, func() { test(f) })
		})
	})
}

func (f *fleet) form() {
	f.start("a", "b", "c")
	So(f.until(60*time.Second, f.voting("a", "b", "c")), ShouldBeTrue)
}

func TestThreeCoresAgree(t *testing.T) {
	inBubble(t, "Three blank cores form, agree and read back", func(f *fleet) {
		f.start("a", "b")
		So(f.until(2*time.Second, f.voting("a")), ShouldBeFalse)
		f.start("c")
		So(f.until(5*time.Second, f.voting("a", "b", "c")), ShouldBeTrue)
		So(f.core("a").Formation(), ShouldEqual, f.core("c").Formation())
		So(f.core("b").Voters(), ShouldResemble, []string{"a", "b", "c"})

		version, result, err := f.core("b").Propose(within(time.Second), evacuate("one"))
		So(err, ShouldBeNil)
		So(version, ShouldEqual, 1)
		So(result.Code, ShouldEqual, apierror.OK)
		state, err := f.core("c").ReadMajority(within(time.Second))
		So(err, ShouldBeNil)
		So(state.Version, ShouldEqual, 1)
		So(f.until(time.Second, f.at(1, "a", "b", "c")), ShouldBeTrue)
		chosen, whole := f.core("a").Learned(0)
		So(whole, ShouldBeTrue)
		So(len(chosen), ShouldEqual, 1)
	})
	inBubble(t, "An order sent through three cores at once is accepted once", func(f *fleet) {
		f.form()
		results := make(chan statemachine.Result, 3)
		for _, name := range []string{"a", "b", "c"} {
			go func() {
				_, result, err := f.core(name).Propose(within(5*time.Second), evacuate("two"))
				if err != nil {
					result.Code = apierror.From(err).Code
				}
				results <- result
			}()
		}
		first := <-results
		So(first.Code, ShouldEqual, apierror.OK)
		So(<-results, ShouldResemble, first)
		So(<-results, ShouldResemble, first)
	})
	inBubble(t, "A minority says so, reads and proposals alike, and catches up later", func(f *fleet) {
		f.form()
		f.cut["a"].Store(true)
		_, _, err := f.core("a").Propose(within(time.Second), evacuate("three"))
		So(apierror.From(err).Code, ShouldBeIn, apierror.NoMajority, apierror.OutcomePending)
		_, err = f.core("a").ReadMajority(within(time.Second))
		So(apierror.From(err).Code, ShouldEqual, apierror.NoMajority)
		version, _, err := f.core("b").Propose(within(time.Second), evacuate("four"))
		So(err, ShouldBeNil)
		f.cut["a"].Store(false)
		So(f.until(2*time.Second, f.at(version, "a")), ShouldBeTrue)
	})
	inBubble(t, "The first sheet is offered once, by whichever core has it", func(f *fleet) {
		f.cfg.FirstSheet = []byte(firstSheetJSON)
		f.form()
		So(f.until(5*time.Second, f.at(1, "a", "b", "c")), ShouldBeTrue)
		<-time.After(3 * time.Second)
		So(f.core("a").Current().SheetVersion, ShouldBeGreaterThan, 0)
		So(len(f.core("a").Current().History), ShouldEqual, 1)
	})
}

func (f *fleet) orders(through string, from, count int) int {
	for n := range count {
		_, result, err := f.core(through).Propose(within(5*time.Second), evacuate(fmt.Sprint(from+n)))
		So(err, ShouldBeNil)
		So(result.Code, ShouldEqual, apierror.OK)
	}
	return from + count
}

func TestRestartsAndWipes(t *testing.T) {
	inBubble(t, "Hundreds of orders outlive restarts and wipes of one core after another; two lost disks are said", func(f *fleet) {
		f.cfg.SnapshotRecords = 64
		f.form()
		count := f.orders("a", 0, 100)
		for i, name := range []string{"b", "c", "a"} {
			f.stop[name]()
			count = f.orders([]string{"a", "b", "c"}[i], count, 40)
			f.start(name)
			So(f.until(5*time.Second, f.voting(name)), ShouldBeTrue)
		}
		for i, name := range []string{"a", "b", "c"} {
			through := []string{"b", "c", "a"}[i]
			count = f.orders(through, count, 10)
			f.wipe(name)
			count = f.orders(through, count, 10)
			f.start(name)
			So(f.until(5*time.Second, f.voting(name)), ShouldBeTrue)
		}
		for _, name := range []string{"a", "b", "c"} {
			state, err := f.core(name).ReadMajority(within(time.Second))
			So(err, ShouldBeNil)
			So(len(state.History), ShouldEqual, count)
		}
		f.stopAll()
		f.form()
		state, err := f.core("b").ReadMajority(within(time.Second))
		So(err, ShouldBeNil)
		So(len(state.History), ShouldEqual, count)
		f.wipe("a")
		f.wipe("b")
		f.start("a", "b")
		So(f.until(5*time.Second, func() bool { return f.voting("a")() || f.voting("b")() }), ShouldBeFalse)
		So(f.core("a").Ready().Code, ShouldEqual, apierror.CoreAmnesiac)
		_, err = f.core("c").ReadMajority(within(time.Second))
		So(apierror.From(err).Code, ShouldEqual, apierror.NoMajority)
	})
}

// dying is a log on which a write fails for lack of room.
type dying struct {
	Log
	dead chan struct{}
}

func (d *dying) Dead() <-chan struct{} { return d.dead }
func (d *dying) Err() error            { return apierror.Errorf(apierror.DiskFull, "no room") }

func TestSlowAndFullDisks(t *testing.T) {
	inBubble(t, "A slow disk delays nobody else", func(f *fleet) {
		slow := f.disk["c"]
		slow.SyncDelay = 2 * time.Second
		f.disk["c"] = slow
		f.form()
		begun := time.Now()
		count := f.orders("a", 0, 10)
		So(time.Since(begun), ShouldBeLessThan, 500*time.Millisecond)
		count = f.orders("c", count, 1)
		So(f.until(20*time.Second, f.at(uint64(count), "a", "b", "c")), ShouldBeTrue)
	})
	inBubble(t, "A wiped core comes back although another's disk is slow and busy", func(f *fleet) {
		slow := f.disk["c"]
		slow.SyncDelay = 2 * time.Second
		f.disk["c"] = slow
		f.form()
		count := f.orders("a", 0, 5)
		f.wipe("b")
		f.start("b")
		begun := time.Now()
		go func() {
			for n := range 20 {
				_, _, _ = f.core("a").Propose(within(20*time.Second), evacuate(fmt.Sprint(count+n)))
			}
		}()
		So(f.until(30*time.Second, f.voting("b")), ShouldBeTrue)
		So(time.Since(begun), ShouldBeLessThan, 10*time.Second)
		So(f.until(200*time.Second, f.at(uint64(count+20), "a", "b", "c")), ShouldBeTrue)
	})
	inBubble(t, "Two slow disks make orders slow, not impossible", func(f *fleet) {
		for _, name := range []string{"b", "c"} {
			slow := f.disk[name]
			slow.SyncDelay = 2 * time.Second
			f.disk[name] = slow
		}
		f.form()
		_, result, err := f.core("a").Propose(within(30*time.Second), evacuate("one"))
		So(err, ShouldBeNil)
		So(result.Code, ShouldEqual, apierror.OK)
	})
	inBubble(t, "A log that dies stops the vote, and a new start goes on from the disk", func(f *fleet) {
		f.form()
		count := f.orders("a", 0, 3)
		f.stop["b"]()
		log := &dying{dead: make(chan struct{})}
		cfg := f.cfg
		cfg.Self = "b"
		b := New(cfg, func() (Log, Replay, error) {
			opened, replay, err := OnDisk(f.disk["b"])()
			log.Log = opened
			return log, replay, err
		}, peers{f, "b"}, clock.System(), events.Discard)
		served := make(chan error)
		go func() { served <- b.Serve(context.Background()) }()
		f.cores["b"].Store(b)
		So(f.until(5*time.Second, f.voting("b")), ShouldBeTrue)
		close(log.dead)
		So(apierror.From(<-served).Code, ShouldEqual, apierror.DiskFull)
		So(b.Ready().Code, ShouldEqual, apierror.DiskFull)
		_, err := b.Prepare(within(time.Second), &wire.PrepareRequest{Formation: f.core("a").Formation(), Slot: 9})
		So(apierror.From(err).Code, ShouldEqual, apierror.CoreUnreachable)
		count = f.orders("a", count, 3)
		f.start("b")
		So(f.until(5*time.Second, f.at(uint64(count), "b")), ShouldBeTrue)
	})
	inBubble(t, "A full disk refuses to vote, says so, and the others carry on", func(f *fleet) {
		small := f.disk["b"]
		small.Quota = 64 << 10
		f.disk["b"] = small
		f.cfg.SnapshotRecords = 1 << 30
		f.form()
		whole, apiErr := sheet.ParseSheet([]byte(firstSheetJSON), 1<<20)
		So(apiErr, ShouldBeNil)
		whole.Tenants = map[string]sheet.Tenant{}
		for n := range 250 {
			whole.Tenants[fmt.Sprint("tenant-", n)] = sheet.Tenant{Rate: 1, Burst: 1, KeyHashes: []string{fmt.Sprintf("%064x", n)}}
		}
		large := func(i int) []byte {
			return statemachine.Encode(statemachine.PutSheet{Order: statemachine.Order{OrderID: fmt.Sprint(i), Base: uint64(i)}, Sheet: whole})
		}
		So(len(large(0)), ShouldBeBetween, 25<<10, 35<<10)
		for i := range 8 {
			_, result, err := f.core("a").Propose(within(5*time.Second), large(i))
			So(err, ShouldBeNil)
			So(result.Code, ShouldEqual, apierror.OK)
		}
		So(f.until(time.Second, f.at(8, "a", "c")), ShouldBeTrue)
		So(f.until(time.Second, func() bool { return f.core("b").Standing() == wire.Standing_STANDING_DISK_FULL }), ShouldBeTrue)
		So(f.core("b").Current().Version, ShouldBeLessThan, 8)
		f.stop["c"]()
		_, _, err := f.core("a").Propose(within(time.Second), large(8))
		So(apierror.From(err).Code, ShouldBeIn, apierror.NoMajority, apierror.OutcomePending)
	})
}

func TestAllDisksLost(t *testing.T) {
	inBubble(t, "After the loss of every disk the cores begin from what a front still holds", func(f *fleet) {
		f.form()
		count := f.orders("a", 0, 5)
		roster := statemachine.Encode(statemachine.AddMembers{Members: []statemachine.Member{{Name: "front", Front: true}}})
		_, _, err := f.core("a").Propose(within(time.Second), roster)
		So(err, ShouldBeNil)
		held := f.core("a").Current()
		So(len(held.Roster), ShouldEqual, 1)
		f.front = &wire.FetchResponse{SnapshotEpoch: held.Version, Snapshot: held.Encode(), Learned: held.Version}
		for _, name := range []string{"a", "b", "c"} {
			f.wipe(name)
		}
		f.form()
		state, err := f.core("c").ReadMajority(within(time.Second))
		So(err, ShouldBeNil)
		So(state.Version, ShouldEqual, held.Version+foundingGap)
		So(len(state.History), ShouldEqual, count)
		f.orders("b", count, 3)
	})
}

// TestFleetUnderFaults sends orders through changing cores, each again until
// it is answered, while cores are killed, wiped, cut off and slowed. Every
// order that was answered must be there in the end, once, in the same place.
func TestFleetUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*fleetSeeds); seed++ {
		inBubble(t, fmt.Sprint("seed ", seed), func(f *fleet) {
			f.cfg.SnapshotRecords = 40
			f.form()
			random := rand.New(rand.NewPCG(seed, 3))
			names := []string{"a", "b", "c"}
			ended, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for {
					select {
					case <-ended:
						return
					case <-time.After(time.Duration(random.IntN(2500)) * time.Millisecond):
					}
					name := names[random.IntN(3)]
					pause := time.Duration(1+random.IntN(1500)) * time.Millisecond
					switch random.IntN(4) {
					case 0:
						f.stop[name]()
						<-time.After(pause)
						f.start(name)
					case 1:
						f.cut[name].Store(true)
						<-time.After(pause)
						f.cut[name].Store(false)
					case 2:
						if f.voting("a", "b", "c")() {
							f.wipe(name)
							<-time.After(pause / 10)
							f.start(name)
						}
					case 3:
						f.stop[name]()
						slow := f.disk[name]
						slow.SyncDelay = pause / 5 * time.Duration(random.IntN(2))
						f.disk[name] = slow
						f.start(name)
					}
				}
			}()
			answered := map[string]statemachine.Result{}
			for n := range 60 {
				id := fmt.Sprint(n)
				for try := 0; ; try++ {
					So(try, ShouldBeLessThan, 100)
					core := f.core(names[(n+try)%3])
					if core == nil {
						<-time.After(50 * time.Millisecond)
						continue
					}
					_, result, err := core.Propose(within(2*time.Second), evacuate(id))
					if err == nil {
						So(result.Code, ShouldEqual, apierror.OK)
						answered[id] = result
						break
					}
					<-time.After(50 * time.Millisecond)
				}
			}
			close(ended)
			<-stopped
			So(f.until(60*time.Second, f.voting("a", "b", "c")), ShouldBeTrue)
			for _, name := range names {
				state, err := f.core(name).ReadMajority(within(10 * time.Second))
				So(err, ShouldBeNil)
				So(len(state.History), ShouldEqual, 60)
				for _, order := range state.History {
					So(answered[order.OrderID].Version, ShouldEqual, order.Version)
				}
			}
		})
	}
}

var fleetSeeds = flag.Int("fleetseeds", 6, "random fleets to run")
