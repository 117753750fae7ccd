// Package node wires the parts of one process under a supervisor: a front, or
// a core with a front beside it.
package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/adapter/controlapi"
	"stepwick/internal/adapter/disklog"
	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/core/plan"
	"stepwick/internal/core/route"
	"stepwick/internal/core/sheet"
	"stepwick/internal/core/tally"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/node/core"
	"stepwick/internal/node/follow"
	"stepwick/internal/node/front"
	"stepwick/internal/node/gateway"
	"stepwick/internal/node/replica"
	"stepwick/internal/node/spend"
	"stepwick/internal/node/watch"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

const coreStaleFor = kernel.Second

// Run runs a process of a role on this machine until the context ends; then it
// hands over within its grace and returns nil.
func Run(ctx kernel.Context, role string, values *settings.Values, log events.Log) error {
	return RunAt(ctx, nil, role, values, log)
}

// RunAt is Run on a platform that an edge speaks to; without one the process
// has its own listeners.
func RunAt(ctx kernel.Context, edge Edge, role string, values *settings.Values, log events.Log) error {
	dialer := &net.Dialer{Timeout: 2 * kernel.Second}
	if bind := values.String("bind"); bind != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(bind)}
	}
	clock := kernel.System()
	if step := values.Duration("clock.step"); step != 0 {
		clock = kernel.Stepped(clock, step)
		log.Emit(events.ProofSetting, "setting", "clock.step", "value", step)
	}
	return RunIn(ctx, World{
		Clock:  clock,
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
		Edge:   edge,

		DialServer: serverDialer(dialer).DialContext,
	}, role, values, log)
}

// RunIn is Run in a given world.
func RunIn(ctx kernel.Context, world World, role string, values *settings.Values, log events.Log) error {
	for first := values.Bool("core.first"); ; first = false {
		err := runOnce(ctx, world, role, first, values, log)
		if !errors.Is(err, errReplaced) {
			return err
		}
		if err := emptyFolder(values.String("data")); err != nil {
			return err
		}
	}
}

// runOnce runs a process until it ends. At the fleet's first start a core with a
// blank disk founds it, and looks for no place.
func runOnce(ctx kernel.Context, world World, role string, first bool, values *settings.Values, log events.Log) error {
	name := values.String("name")
	if role == RoleCore && values.Bool("core.join") && !first {
		var err error
		if name, err = takePlace(ctx, world, values, log); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	p, err := build(world, role, name, values, log)
	if err != nil {
		return err
	}
	return p.run(ctx)
}

// process holds the parts of one process.
type process struct {
	role   string
	values *settings.Values
	clock  kernel.Clock
	log    events.Log
	base   *wire.Process

	pool      *internalrpc.Pool
	directory *internalrpc.Directory
	follower  *follow.Follower
	spend     *spend.Spend
	front     *front.Front
	gateway   *gateway.Gateway
	edge      Edge
	listen    func(address string) (net.Listener, error)
	orders    *relay
	replaced  chan struct{}
	watcher   *watch.Watcher
	replica   *replica.Replica
	core      *core.Core
	peer      *peer
	caller    net.Listener
	internal  net.Listener
}

func or(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

func build(world World, role, name string, values *settings.Values, log events.Log) (*process, error) {
	clock := kernel.Steady(world.Clock)
	p := &process{role: role, values: values, clock: clock, log: log, edge: world.Edge, listen: world.Listen, replaced: make(chan struct{}, 1)}
	p.base = &wire.Process{
		Name: name, Region: values.String("region"), Zone: values.String("zone"),
		Address:       or(values.String("advertise.internal"), values.String("listen.internal")),
		CallerAddress: or(values.String("advertise.caller"), values.String("listen.caller")),
		Core:          role == RoleCore, Front: role == RoleFront || values.Bool("core.front"),
		Incarnation: uint64(clock.Now().UnixNano()),
	}
	p.pool = internalrpc.NewPool(world.Dial, p.base.Address, values.String("fleet.secret"))
	p.directory = internalrpc.NewDirectory(p.pool, clock, log, values.Strings("seeds"), p.self)
	p.follower = follow.New(follow.Config{
		Self: p.self, GrantTTL: values.Duration("grant.ttl"), RenewEvery: values.Duration("grant.renew"),
		PingEvery: values.Duration("ping.interval"), FeedWait: values.Duration("feed.wait"),
		Sighted: p.sighted, CoreStaleFor: coreStaleFor, Attest: p.directory.Attest,
	}, p.directory, clock, log)

	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	var err error
	p.spend, err = spend.New(spend.Config{
		Self: p.base.Name, Incarnation: p.base.Incarnation, Metrics: registry, HoldFor: values.Duration("tally.hold"),
		Silent: func() []string { return p.follower.View().Silent },
		Tally:  tally.Config{Window: values.Duration("quota_window"), Slices: values.Int("quota_slices"), Interval: values.Duration("tally.interval")},
	}, p.directory, clock, p.follower.FleetNow, func() []string { return p.follower.View().Live }, log)
	if err != nil {
		return nil, err
	}
	if role == RoleCore {
		if err := p.buildCore(); err != nil {
			return nil, err
		}
	}
	if err := p.buildFront(world, registry); err != nil {
		return nil, err
	}
	if err := p.buildGateway(world, registry); err != nil {
		return nil, err
	}
	p.watcher = watch.New(watch.Config{
		Self: p.base.Name, Region: p.base.Region, Zone: p.base.Zone, Incarnation: p.base.Incarnation,
		ListEvery: values.Duration("platform.interval"), StatusEvery: values.Duration("watch.interval"),
		ListFronts: values.Int("platform.readers"), ListOnly: world.Edge != nil,
	}, p.servers(world), p.directory, clock, func() watch.View {
		view := p.follower.View()
		return watch.View{Servers: view.Servers, Fronts: view.Fronts}
	}, p.follower.Report, p.follower.FleetNow, log)
	p.pool.Bind(p.peer)

	if p.internal, err = world.Listen(values.String("listen.internal")); err != nil {
		return nil, errors.Wrap(err, "listen.internal")
	}
	if !p.carries() && world.Edge != nil {
		return p, nil
	}
	if p.caller, err = world.Listen(values.String("listen.caller")); err != nil {
		return nil, errors.Wrap(err, "listen.caller")
	}
	return p, nil
}

func (p *process) buildCore() error {
	var first []byte
	if file := p.values.String("first_sheet"); file != "" {
		var err error
		if first, err = os.ReadFile(file); err != nil {
			return errors.Wrap(err, "first_sheet")
		}
		if _, fault := sheet.ParseSheet(first, p.values.Int("sheet.max")); fault != nil {
			return errors.Wrap(fault, "first_sheet")
		}
	}
	var replaced func()
	if p.values.Bool("core.join") {
		replaced = p.wasReplaced
	}
	disk := disklog.Config{
		Folder: p.values.String("data"), SegmentBytes: int64(p.values.Int("disk.segment")),
		Quota: int64(p.values.Int("disk.quota")), SyncDelay: p.values.Duration("disk.sync_delay"), Clock: p.clock,
	}
	p.replica = replica.New(replica.Config{
		Self: p.base.Name, Voters: p.values.Int("core.voters"), FirstSheet: first,
		SnapshotRecords: p.values.Int("snapshot.records"), Replaced: replaced,
	}, replica.OnDisk(disk), p.directory, p.clock, p.log)
	p.core = core.New(core.Config{
		Self: p.base.Name, Incarnation: p.base.Incarnation, GrantTTL: p.values.Duration("grant.ttl"),
		PingEvery: p.values.Duration("ping.interval"), PlanPeriod: p.values.Duration("plan.period"), Policy: p.policy(),
		SheetMax: p.values.Int("sheet.max"), FleetNow: p.follower.FleetNow,
	}, p.replica, p.directory, p.clock, p.log)
	return nil
}

func (p *process) policy() plan.Policy {
	return plan.Policy{RampStart: p.values.Int("route.ramp_start")}
}

func (p *process) buildFront(world World, registry *prometheus.Registry) error {
	orders := &relay{name: p.base.Name, peers: p.directory}
	p.orders = orders
	inspect := &inspector{name: p.base.Name, peers: p.directory, own: map[string]func(string) (any, bool){
		"status":  func(string) (any, bool) { return p.status(), true },
		"plan":    func(string) (any, bool) { plan := p.follower.View().Plan; return plan, plan != nil },
		"tally":   p.tally,
		"explain": func(id string) (any, bool) { return p.front.Inspect("explain", id) },
	}}
	p.peer = &peer{directory: p.directory, follower: p.follower, spend: p.spend, inspector: inspect, replica: p.replica, core: p.core}
	control := controlapi.New(controlapi.Config{
		Operators: p.values.Strings("operator.keys"), SheetMax: int64(p.values.Int("sheet.max")),
		BodyTimeout: p.values.Duration("body.timeout"), From: p.base.Name,
		Setting: settings.CheckRuntime,
	}, orders, inspect, p.clock, p.log)
	var err error
	var standing func() string
	if p.replica != nil {
		standing = func() string { return standingName(p.replica.Standing()) }
	}
	p.front, err = front.New(front.Config{
		Standing: standing,
		Name:     p.base.Name, Address: p.base.CallerAddress, Region: p.base.Region, Zone: p.base.Zone,
		Limits: clientapi.Limits{
			BodyMax: int64(p.values.Int("body.max")), HeaderMax: p.values.Int("header.max"),
			BodyTimeout: p.values.Duration("body.timeout"), HeaderTimeout: p.values.Duration("body.timeout"),
			DeadlineMax: p.values.Duration("deadline.max"), DeadlineDefault: p.values.Duration("deadline.default"),
		},
		Backend:     backend.Config{Bind: p.values.String("bind"), Dial: world.Dial},
		PlainTokens: p.values.Float("plain_tokens"),
		Route: route.Config{
			Strategy: route.Strategy(p.values.String("route.strategy")), PendingBound: p.values.Int("route.pending"), Policy: p.policy(),
			RetryBudget: p.values.Float("retry.budget"),
		},
		Tune:    p.tuned,
		Control: control, Metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, p.follower, p.spend, p.clock, p.log, registry)
	return err
}

// tuned reads what the sheet sets over the settings file.
func (p *process) tuned(settings map[string]string) front.Tuned {
	v := p.values.With(settings)
	return front.Tuned{
		DeadlineMax: v.Duration("deadline.max"), DeadlineDefault: v.Duration("deadline.default"),
		Route: &route.Knobs{
			Strategy: route.Strategy(v.String("route.strategy")), PendingBound: v.Int("route.pending"),
			RampStart: v.Int("route.ramp_start"), RetryBudget: v.Float("retry.budget"),
		},
	}
}

// self returns this process's record as of now.
func (p *process) self() *wire.Process {
	own := &wire.Process{
		Name: p.base.Name, Address: p.base.Address, CallerAddress: p.base.CallerAddress,
		Region: p.base.Region, Zone: p.base.Zone, Core: p.base.Core, Front: p.base.Front, Incarnation: p.base.Incarnation,
		Counter: 1 + uint64(max(p.clock.Now().UnixNano()-int64(p.base.Incarnation), 0))/uint64(kernel.Millisecond),
	}
	if p.replica != nil {
		own.Standing, own.Formation, own.Voters = p.replica.Standing(), p.replica.Formation(), p.replica.Voters()
		own.DiskLife = p.replica.Life()
	}
	if p.front != nil {
		fault := p.ready()
		own.Ready = fault == nil
		own.Leaving = fault != nil && fault.Code == kernel.FrontLeaving
	}
	return own
}

// ready tells whether the process takes traffic, by whichever way it comes.
func (p *process) ready() *kernel.Fault {
	if p.gateway != nil {
		return p.gateway.Ready()
	}
	return p.front.Ready()
}

func (p *process) sighted() []follow.Sight {
	sights := p.directory.Sights()
	out := make([]follow.Sight, len(sights))
	for i, s := range sights {
		out[i] = follow.Sight{Process: s.Process, Seen: s.Seen}
	}
	return out
}

type processStatus struct {
	follow.Status
	Ready     bool            `json:"ready"`
	Cause     string          `json:"cause,omitempty"`
	Role      string          `json:"role"`
	Standing  string          `json:"standing,omitempty"`
	Formation string          `json:"formation,omitempty"`
	Processes []processRecord `json:"processes"`
}

type processRecord struct {
	Name     string `json:"name"`
	Locality string `json:"locality"`
	Address  string `json:"address"`
	Caller   string `json:"caller"`
	Core     bool   `json:"core"`
	Standing string `json:"standing,omitempty"`
	Ready    bool   `json:"ready"`   // as it last said
	SeenMS   int64  `json:"seen_ms"` // since it was last seen to live
}

func standingName(s wire.Standing) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STANDING_"))
}

func (p *process) status() processStatus {
	s := processStatus{Role: p.role, Status: p.follower.View().Status(p.base.Name,
		sheet.Locality(p.base.Region, p.base.Zone), p.follower.Ruling(), p.follower.FleetNow())}
	if fault := p.ready(); fault != nil {
		s.Cause = fault.Error()
	} else {
		s.Ready = true
	}
	if p.replica != nil {
		s.Standing, s.Formation = standingName(p.replica.Standing()), p.replica.Formation()
	}
	ready := map[string]bool{}
	for _, live := range p.follower.View().Fronts {
		ready[live.Name] = live.Ready
	}
	for _, sight := range p.directory.Sights() {
		known := sight.Process
		record := processRecord{Name: known.Name, Locality: sheet.Locality(known.Region, known.Zone), Address: known.Address,
			Caller: known.CallerAddress, Core: known.Core, Ready: ready[known.Name], SeenMS: p.clock.Now().Sub(sight.Seen).Milliseconds()}
		if known.Core {
			record.Standing = standingName(known.Standing)
		}
		s.Processes = append(s.Processes, record)
	}
	return s
}

func (p *process) tally(tenant string) (any, bool) {
	ctx, cancel := kernel.WithTimeout(kernel.Background(), kernel.Second)
	defer cancel()
	views, err := p.spend.Inspect(ctx, tenant)
	return views, err == nil
}

// run serves until the context ends, then hands over: new requests are
// refused, running ones finish within the grace, the spend is sent on, the
// grants are released.
func (p *process) run(ctx kernel.Context) error {
	serving, stop := kernel.WithCancel(kernel.Background())
	defer stop()
	supervisor := suture.New(p.base.Name, suture.Spec{EventHook: p.failed, FailureBackoff: kernel.Second, Timeout: 2 * kernel.Second})
	internal := internalrpc.Server(internalrpc.Handler(p.peer, p.values.String("fleet.secret")))
	supervisor.Add(service{"internal listener", func(ctx kernel.Context) error {
		undo := kernel.AfterFunc(ctx, func() { _ = internal.Close() })
		defer undo()
		return ended(internal.Serve(p.internal))
	}})
	p.addTraffic(supervisor)
	supervisor.Add(service{"directory", p.directory.Serve})
	supervisor.Add(service{"follower", p.follower.Serve})
	supervisor.Add(service{"spend", p.spend.Serve})
	if p.carries() {
		supervisor.Add(service{"watcher", p.watcher.Serve})
	}
	if p.core != nil {
		supervisor.Add(service{"replica", p.replica.Serve})
		supervisor.Add(service{"core", p.core.Serve})
	}
	done := supervisor.ServeBackground(serving)
	if p.caller != nil {
		p.log.Emit(events.ListenerOpened, "listener", "caller", "address", p.caller.Addr().String())
	}
	p.log.Emit(events.ListenerOpened, "listener", "internal", "address", p.internal.Addr().String())
	p.log.Emit(events.ProcessStarted, "name", p.base.Name, "role", p.role, "locality", sheet.Locality(p.base.Region, p.base.Zone),
		"caller", p.base.CallerAddress, "internal", p.base.Address, "incarnation", p.base.Incarnation)
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
	case <-p.replaced:
		stop()
		<-done
		p.pool.CloseIdle()
		return errReplaced
	}
	p.handOver()
	stop()
	<-done
	p.pool.CloseIdle()
	p.log.Emit(events.ProcessStopped, "name", p.base.Name)
	return nil
}

func (p *process) handOver() {
	grace := p.values.Duration("drain.grace")
	p.log.Emit(events.ProcessStopping, "name", p.base.Name, "grace", grace)
	ctx, cancel := kernel.WithTimeout(kernel.Background(), grace)
	if err := p.drain(ctx); err != nil {
		p.log.Emit(events.GraceOver, "error", err)
	} else {
		p.log.Emit(events.DrainFinished)
	}
	cancel()
	ctx, cancel = kernel.WithTimeout(kernel.Background(), kernel.Second)
	defer cancel()
	_ = p.spend.Flush(ctx)
	_ = p.follower.Leave(ctx)
	released := make(chan struct{})
	var cores []*wire.Process
	for _, known := range p.directory.Processes() {
		if known.Core {
			cores = append(cores, known)
		}
	}
	for _, known := range cores {
		go func() {
			_, _ = p.pool.Client(known.Address).Release(ctx, connect.NewRequest(&wire.ReleaseRequest{Name: p.base.Name, Incarnation: p.base.Incarnation}))
			released <- struct{}{}
		}()
	}
	for range cores {
		<-released
	}
}

func (p *process) failed(event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		p.log.Emit(events.ServiceFailed, "service", e.ServiceName, "panic", e.PanicMsg, "stack", e.Stacktrace)
	case suture.EventServiceTerminate:
		p.log.Emit(events.ServiceFailed, "service", e.ServiceName, "error", fmt.Sprint(e.Err))
	case suture.EventBackoff:
		p.log.Emit(events.ServiceBackoff, "supervisor", e.SupervisorName)
	}
}

// service names a part for the supervisor.
type service struct {
	name  string
	serve func(kernel.Context) error
}

func (s service) Serve(ctx kernel.Context) error { return s.serve(ctx) }
func (s service) String() string                 { return s.name }

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}
