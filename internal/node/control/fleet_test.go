package control_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// fleet is three cores and some fronts in one bubble of virtual time, over a
// network in memory. An atomic pointer stands in for the agreement.
type fleet struct {
	ctx            context.Context
	agreed         atomic.Pointer[agreed]
	names          []string
	processes      map[string]*wire.Process
	records        map[string]*atomic.Pointer[wire.Process] // what each process reports of itself
	cores          map[string]*control.Controller
	fronts         map[string]*follower.Follower
	stop           map[string]context.CancelFunc
	partitioned    atomic.Pointer[map[string]bool]
	stopped        atomic.Pointer[map[string]bool]
	pingedVersions sync.Map     // "from>to" -> version in the newest ping
	viewRequests   atomic.Int64 // requests for complete lease views over the network
	majorityLost   atomic.Bool  // no majority of cores reaches another
	renewals       atomic.Int64 // calls that renew one lease
	batches        atomic.Int64 // calls that renew many
	batchLatency   atomic.Int64 // latency of a batch, in ns
}

var voters = []string{"c1", "c2", "c3"}

func newFleet(ctx context.Context, fronts int) *fleet {
	f := &fleet{
		ctx:       ctx,
		processes: map[string]*wire.Process{},
		records:   map[string]*atomic.Pointer[wire.Process]{},
		cores:     map[string]*control.Controller{},
		fronts:    map[string]*follower.Follower{},
		stop:      map[string]context.CancelFunc{},
	}
	f.agreed.Store(&agreed{changed: make(chan struct{})})
	f.partitioned.Store(&map[string]bool{})
	f.stopped.Store(&map[string]bool{})
	for i := range fronts {
		name := fmt.Sprintf("f%d", i+1)
		if i < len(voters) {
			name = voters[i]
		}
		f.names = append(f.names, name)
		f.processes[name] = &wire.Process{Name: name, Address: name, Region: "lagos", Zone: "a", Core: i < len(voters),
			Front: true, Incarnation: 1, Standing: wire.Standing_STANDING_VOTING, Voters: voters}
	}
	for _, name := range f.names {
		f.build(name)
	}
	for _, name := range f.names {
		f.start(name)
	}
	return f
}

func (f *fleet) start(name string) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.stop[name] = cancel
	if c, ok := f.cores[name]; ok {
		go func() { _ = c.Serve(ctx) }()
	}
	front := f.fronts[name]
	go func() { _ = front.Serve(ctx) }()
}

func (f *fleet) build(name string) {
	process := f.processes[name]
	f.records[name] = &atomic.Pointer[wire.Process]{}
	f.records[name].Store(process)
	peers := memoryPeers{f, name}
	if process.Core {
		f.cores[name] = control.New(control.Config{Self: name, Incarnation: process.Incarnation}, atomicReplica{f}, peers, clock.System(), events.Discard)
	}
	f.fronts[name] = f.newFront(name)
}

func (f *fleet) newFront(name string) *follower.Follower {
	return follower.New(follower.Config{Self: f.records[name].Load, LeaseTTL: 2 * time.Second,
		RenewInterval: 500 * time.Millisecond, PingInterval: 500 * time.Millisecond, FeedWait: time.Second, CoreStaleAfter: time.Second,
		KnownProcesses: func() []port.KnownProcess { return nil }}, memoryPeers{f, name}, clock.System(), events.Discard)
}

func (f *fleet) setFlag(set *atomic.Pointer[map[string]bool], on bool, names ...string) {
	next := map[string]bool{}
	for name, was := range *set.Load() {
		next[name] = was
	}
	for _, name := range names {
		next[name] = on
	}
	set.Store(&next)
}

func (f *fleet) kill(name string) {
	f.stop[name]()
	f.setFlag(&f.stopped, true, name)
}

// restartedFront kills a front and returns the next incarnation of it, which knows
// nothing and serves its owner until the fleet ends. Others still call the killed one.
func (f *fleet) restartedFront(name string) *follower.Follower {
	f.kill(name)
	f.changeRecord(name, func(p *wire.Process) { p.Incarnation++ })
	front := f.newFront(name)
	go func() { _ = front.Serve(f.ctx) }()
	return front
}

// changeRecord changes what a process reports of itself.
func (f *fleet) changeRecord(name string, change func(*wire.Process)) {
	next := proto.Clone(f.records[name].Load()).(*wire.Process)
	change(next)
	next.Counter++
	f.records[name].Store(next)
}

// advance lets virtual time pass.
func (f *fleet) advance(d time.Duration) { <-time.After(d) }

func (f *fleet) servingFronts() int {
	count := 0
	for _, name := range f.names {
		if !(*f.stopped.Load())[name] && f.fronts[name].HasAuthority() {
			count++
		}
	}
	return count
}

func withFleet(t *testing.T, fronts int, act func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, fronts)
		f.advance(6 * time.Second)
		act(t, f)
		cancel()
		f.advance(10 * time.Second)
	})
}

func (f *fleet) follow(core string, last *wire.FollowResponse, wait time.Duration) *wire.FollowResponse {
	req := &wire.FollowRequest{Who: "test", WaitMs: uint32(wait.Milliseconds())}
	if last != nil {
		req.Feed = last.Feed
		req.Place = last.Place
		req.Epoch = last.Learned
	}
	resp, err := f.cores[core].Follow(f.ctx, req)
	if err != nil {
		panic(err)
	}
	return resp
}

func (f *fleet) report(watcher string, counter uint64, status *wire.ServerStatus) {
	status.Address = "10.0.0.1:80"
	status.Kind = "model"
	status.Services = []string{"chat"}
	status.Region = "lagos"
	status.Zone = "a"
	status.Reachable = true
	status.Slots = 8
	report := &wire.Report{
		Watcher:     watcher,
		Server:      status.Name,
		Incarnation: 1,
		Counter:     counter,
		Status:      status,
		AtMs:        time.Now().UnixMilli(),
	}
	_, err := f.cores["c1"].Submit(f.ctx, &wire.SubmitRequest{From: watcher, Reports: []*wire.Report{report}})
	if err != nil {
		panic(err)
	}
}

func (f *fleet) put() {
	resp, err := f.cores["c1"].Order(f.ctx, &wire.OrderRequest{Operator: "ada", Verb: "put", Body: []byte(put(0, "first"))})
	So(err, ShouldBeNil)
	So(apierror.Code(resp.Code), ShouldEqual, apierror.OK)
}
