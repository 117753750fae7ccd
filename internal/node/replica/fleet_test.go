package replica

import (
	"context"
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
	"stepwick/internal/clock"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// fleet is a set of replicas that call each other directly. Calls to or from a
// partitioned core time out, and calls to a stopped core are refused.
type fleet struct {
	t           testing.TB
	root        string
	cores       map[string]*atomic.Pointer[Replica]
	stop        map[string]func()
	partitioned map[string]*atomic.Bool
	disk        map[string]disklog.Config
	cfg         Config
	front       *wire.FetchResponse // state that a front still holds, or nil if there is no front
}

func newFleet(t testing.TB, names ...string) *fleet {
	f := &fleet{
		t:           t,
		root:        t.TempDir(),
		cores:       map[string]*atomic.Pointer[Replica]{},
		stop:        map[string]func(){},
		partitioned: map[string]*atomic.Bool{},
		disk:        map[string]disklog.Config{},
	}
	for _, name := range names {
		f.partitioned[name] = &atomic.Bool{}
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
		go func() {
			defer close(done)
			_ = r.Serve(ctx)
		}()
		f.cores[name].Store(r)
		f.stop[name] = func() {
			cancel()
			<-done
			f.cores[name].Store(nil)
		}
	}
}

func (f *fleet) wipe(name string) {
	f.stop[name]()
	if err := os.RemoveAll(filepath.Join(f.root, name)); err != nil {
		f.t.Fatal(err)
	}
}

// waitUntil waits, in virtual time, until the condition is true or the limit has
// passed, and reports whether it is true.
func (f *fleet) waitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); <-time.After(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// voting returns the condition that all the cores vote.
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

// reachesVersion returns the condition that all the cores have reached a version.
func (f *fleet) reachesVersion(version uint64, names ...string) func() bool {
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

func deliver[Req, Resp any](ctx context.Context, c client, req *connect.Request[Req], handler func(*Replica) func(context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	if c.f.partitioned[c.from].Load() || c.f.partitioned[c.to].Load() {
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

func (c client) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.FoundRequest) (*wire.FoundResponse, error) {
		return r.Found
	})
}
func (c client) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.PrepareRequest) (*wire.PrepareResponse, error) {
		return r.Prepare
	})
}
func (c client) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.AcceptRequest) (*wire.AcceptResponse, error) {
		return r.Accept
	})
}
func (c client) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.LearnRequest) (*wire.LearnResponse, error) {
		return r.Learn
	})
}
func (c client) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.RecoverRequest) (*wire.RecoverResponse, error) {
		return r.Recover
	})
}
func (c client) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) { return r.Read })
}
func (c client) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if c.to == "front" {
		return connect.NewResponse(c.f.front), nil
	}
	return deliver(ctx, c, req, func(r *Replica) func(context.Context, *wire.FetchRequest) (*wire.FetchResponse, error) {
		return r.Fetch
	})
}

func evacuate(id string) []byte {
	return statemachine.Encode(statemachine.Evacuate{Order: statemachine.Order{OrderID: id, Operator: "ada"}, Zone: "lagos/a"})
}

// withTimeout returns a context with a timeout, whose resources are released when it
// expires.
func withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

const firstSheetJSON = `{"services":{"chat":{"kind":"model"}},"weights":{"chat":{"lagos":1}},"tenants":{}}`

// inVirtualTime runs a scenario in virtual time, on a fleet of three cores that are not
// started yet.
func inVirtualTime(t *testing.T, name string, test func(f *fleet)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c")
			defer f.stopAll()
			Convey(name, t, func() { test(f) })
		})
	})
}

// form starts the three cores and waits until all of them vote.
func (f *fleet) form() {
	f.start("a", "b", "c")
	So(f.waitUntil(60*time.Second, f.voting("a", "b", "c")), ShouldBeTrue)
}
