package control_test

import (
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
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

type agreed struct {
	state   sheet.State
	chosen  []*wire.Chosen
	changed chan struct{}
}

var voters = []string{"c1", "c2", "c3"}

func newFleet(ctx context.Context, fronts int) *fleet {
	f := &fleet{ctx: ctx, processes: map[string]*wire.Process{}, records: map[string]*atomic.Pointer[wire.Process]{}, cores: map[string]*control.Controller{},
		fronts: map[string]*follower.Follower{}, stop: map[string]context.CancelFunc{}}
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
		go c.Serve(ctx)
	}
	go f.fronts[name].Serve(ctx)
}

func (f *fleet) build(name string) {
	own := f.processes[name]
	f.records[name] = &atomic.Pointer[wire.Process]{}
	f.records[name].Store(own)
	peers := memoryPeers{f, name}
	if own.Core {
		f.cores[name] = control.New(control.Config{Self: name, Incarnation: own.Incarnation}, atomicReplica{f}, peers, clock.System(), events.Discard)
	}
	f.fronts[name] = follower.New(follower.Config{Self: f.records[name].Load, LeaseTTL: 2 * time.Second,
		RenewEvery: 500 * time.Millisecond, PingEvery: 500 * time.Millisecond, FeedWait: time.Second, CoreStaleFor: time.Second,
		Sighted: func() []port.Sight { return nil }}, peers, clock.System(), events.Discard)
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
		if !(*f.stopped.Load())[name] && f.fronts[name].Ruling() {
			count++
		}
	}
	return count
}

type atomicReplica struct{ f *fleet }

func (b atomicReplica) Propose(ctx context.Context, command []byte) (uint64, sheet.Result, error) {
	if b.f.majorityLost.Load() {
		<-ctx.Done()
		return 0, sheet.Result{}, ctx.Err()
	}
	for {
		old := b.f.agreed.Load()
		version := old.state.Version + 1
		state, result := old.state.Step(version, command)
		next := &agreed{state: state, changed: make(chan struct{})}
		next.chosen = append(append(next.chosen, old.chosen...), &wire.Chosen{Epoch: version, Command: command})
		if b.f.agreed.CompareAndSwap(old, next) {
			close(old.changed)
			return version, result, nil
		}
	}
}

func (b atomicReplica) ReadMajority(ctx context.Context) (sheet.State, error) {
	if b.f.majorityLost.Load() {
		<-ctx.Done()
		return sheet.State{}, apierror.Errorf(apierror.NoMajority, "1 of 3 cores answered")
	}
	return b.f.agreed.Load().state, nil
}

func (b atomicReplica) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	version := b.f.agreed.Load().state.Version
	return &wire.ReadResponse{Learned: version, Highest: version}, nil
}

func (b atomicReplica) Learned(after uint64) ([]*wire.Chosen, bool) {
	return b.f.agreed.Load().chosen[after:], true
}
func (b atomicReplica) Current() sheet.State     { return b.f.agreed.Load().state }
func (b atomicReplica) Changed() <-chan struct{} { return b.f.agreed.Load().changed }
func (b atomicReplica) Standing() wire.Standing  { return wire.Standing_STANDING_VOTING }
func (b atomicReplica) Voters() []string         { return voters }
func (b atomicReplica) Formation() string        { return "formation" }

type memoryPeers struct {
	f    *fleet
	from string
}

func (l memoryPeers) Process(name string) (*wire.Process, bool) {
	p, ok := l.f.processes[name]
	return p, ok
}

func (l memoryPeers) Cores() []*wire.Process { return port.CoresOf(l.Processes()) }

func (l memoryPeers) Processes() []*wire.Process {
	var all []*wire.Process
	for _, p := range l.f.processes {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (l memoryPeers) Client(address string) wireconnect.PeerClient {
	return client{memoryPeers: l, to: address}
}

type client struct {
	wireconnect.PeerClient
	memoryPeers
	to string
}

func reach[Q, A any](ctx context.Context, c client, req *connect.Request[Q], method func(context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	partitioned := *c.f.partitioned.Load()
	if partitioned[c.from] != partitioned[c.to] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	<-time.After(time.Millisecond)
	if (*c.f.stopped.Load())[c.to] {
		return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	}
	resp, err := method(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (c client) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	c.f.pingedVersions.Store(c.from+">"+c.to, req.Msg.Epoch)
	return reach(ctx, c, req, c.f.fronts[c.to].Ping)
}

func (c client) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return reach(ctx, c, req, c.f.fronts[c.to].Fetch)
}

func (c client) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	c.f.renewals.Add(1)
	return reach(ctx, c, req, c.f.cores[c.to].Renew)
}

func (c client) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	c.f.batches.Add(1)
	<-time.After(time.Duration(c.f.batchLatency.Load()))
	return reach(ctx, c, req, c.f.cores[c.to].RenewBatch)
}

func (c client) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	if req.Msg.About == "" {
		c.f.viewRequests.Add(1)
	}
	return reach(ctx, c, req, c.f.cores[c.to].LeaseView)
}

func (c client) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return reach(ctx, c, req, c.f.cores[c.to].Follow)
}

func (c client) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return reach(ctx, c, req, c.f.cores[c.to].Submit)
}
