package node

import (
	"os"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/adapter/controlapi"
	"stepwick/internal/adapter/disklog"
	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/clock"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/front"
	"stepwick/internal/node/healthcheck"
	"stepwick/internal/node/quotasync"
	"stepwick/internal/node/replica"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

func build(world World, role, name string, values *settings.Values, log events.Log) (*process, error) {
	clock := clock.Monotonic(world.Clock)
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
	p.follower = follower.New(follower.Config{
		Self: p.self, LeaseTTL: values.Duration("lease.ttl"), RenewEvery: values.Duration("lease.renew"),
		PingEvery: values.Duration("ping.interval"), FeedWait: values.Duration("feed.wait"),
		Sighted: p.directory.Sights, CoreStaleFor: coreStaleFor, Attest: p.directory.Attest,
	}, p.directory, clock, log)

	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	var err error
	p.spend, err = quotasync.New(quotasync.Config{
		Self: p.base.Name, Incarnation: p.base.Incarnation, Metrics: registry, QueueTimeout: values.Duration("tally.hold"),
		Unresponsive: func() []string { return p.follower.View().Silent },
		Quota:        quota.Config{Window: values.Duration("quota_window"), Slices: values.Int("quota_slices"), Interval: values.Duration("tally.interval")},
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
	p.watcher = healthcheck.New(healthcheck.Config{
		Self: p.base.Name, Region: p.base.Region, Zone: p.base.Zone, Incarnation: p.base.Incarnation,
		ListEvery: values.Duration("platform.interval"), StatusEvery: values.Duration("watch.interval"),
		ListFronts: values.Int("platform.readers"), ListOnly: world.Edge != nil, DrainWithin: values.Duration("platform.drain_within"),
	}, p.servers(world), p.directory, clock, func() healthcheck.View {
		view := p.follower.View()
		return healthcheck.View{Servers: view.Servers, Fronts: view.Fronts}
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
		if _, apiErr := sheet.ParseSheet(first, p.values.Int("sheet.max")); apiErr != nil {
			return errors.Wrap(apiErr, "first_sheet")
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
		SnapshotRecords: p.values.Int("snapshot.records"), OnReplaced: replaced,
	}, replica.OnDisk(disk), p.directory, p.clock, p.log)
	p.core = control.New(control.Config{
		Self: p.base.Name, Incarnation: p.base.Incarnation, LeaseTTL: p.values.Duration("lease.ttl"),
		PingInterval: p.values.Duration("ping.interval"), PlanPeriod: p.values.Duration("plan.period"), PlanPolicy: p.policy(),
		SheetMaxBytes: p.values.Int("sheet.max"), FleetNow: p.follower.FleetNow,
	}, p.replica, p.directory, p.clock, p.log)
	return nil
}

func (p *process) policy() plan.Policy {
	return plan.Policy{SlowStartCap: p.values.Int("route.ramp_start")}
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
	if p.core != nil {
		inspect.own[healthcheck.InspectListed] = func(string) (any, bool) { return healthcheck.Listed{AtMS: p.core.ListedAt()}, true }
	}
	p.peer = &peer{directory: p.directory, follower: p.follower, spend: p.spend, inspector: inspect, replica: p.replica, core: p.core}
	control := controlapi.New(controlapi.Config{
		Operators: p.values.Strings("operator.keys"), MaxSheetBytes: int64(p.values.Int("sheet.max")),
		BodyTimeout: p.values.Duration("body.timeout"), NodeName: p.base.Name,
		ValidateSetting: settings.ValidateRuntime,
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
			Strategy: route.Strategy(p.values.String("route.strategy")), MaxQueued: p.values.Int("route.pending"), Policy: p.policy(),
			RetryBudget: p.values.Float("retry.budget"),
		},
		Tune:    p.tuned,
		Control: control, Metrics: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, p.follower, p.spend, p.clock, p.log, registry)
	return err
}

// tuned reads what the sheet sets over the settings file.
func (p *process) tuned(settings map[string]string) front.Tuned {
	v := p.values.WithRuntime(settings)
	return front.Tuned{
		DeadlineMax: v.Duration("deadline.max"), DeadlineDefault: v.Duration("deadline.default"),
		Route: &route.RuntimeConfig{
			Strategy: route.Strategy(v.String("route.strategy")), MaxQueued: v.Int("route.pending"),
			SlowStartCap: v.Int("route.ramp_start"), RetryBudget: v.Float("retry.budget"),
		},
	}
}
