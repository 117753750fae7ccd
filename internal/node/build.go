package node

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/adapter/platform"
	"stepwick/internal/clock"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/healthcheck"
	"stepwick/internal/node/quotasync"
	"stepwick/internal/port"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

// coreStaleAfter is how long after a core's last renewal of the lease the follower
// stops preferring the core for the feed and as a relay.
const coreStaleAfter = time.Second

// build builds a process and opens its listeners. Its services start in process.run.
func build(environment Environment, role, name string, values *settings.Values, log events.Log) (*process, error) {
	processClock := clock.Monotonic(environment.Clock)
	built := &process{
		role:        role,
		values:      values,
		clock:       processClock,
		log:         log,
		environment: environment,
		identity:    newIdentity(role, name, values, processClock.Now()),
		replaced:    make(chan struct{}, 1),
	}
	built.pool = internalrpc.NewPool(environment.Dial, built.identity.Address, values.String("fleet.secret"))
	built.directory = internalrpc.NewDirectory(built.pool, built.clock, log, values.Strings("seeds"), built.self)
	built.follower = built.newFollower()
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	var err error
	if built.quota, err = built.newQuota(registry); err != nil {
		return nil, err
	}
	if role == RoleCore {
		if err := built.buildCore(); err != nil {
			return nil, err
		}
	}
	inspector := built.newInspector()
	built.orders = &orderForwarder{self: built.identity.Name, peers: built.directory, drain: newOrderDrain(built.clock)}
	built.peer = &peer{
		directory:  built.directory,
		follower:   built.follower,
		quota:      built.quota,
		inspector:  inspector,
		replica:    built.replica,
		controller: built.controller,
	}
	if built.front, err = built.newFront(inspector, registry); err != nil {
		return nil, err
	}
	if environment.Platform != nil {
		if built.gateway, err = built.newGateway(registry); err != nil {
			return nil, err
		}
	}
	built.checker = built.newChecker()
	built.pool.Bind(built.peer)
	if err := built.openListeners(); err != nil {
		return nil, err
	}
	return built, nil
}

// newIdentity returns the constant part of a process's record. The incarnation is the
// start time in ns, which makes it higher than that of any earlier process with the
// same name.
func newIdentity(role, name string, values *settings.Values, startedAt time.Time) *wire.Process {
	return &wire.Process{
		Name:          name,
		Region:        values.String("region"),
		Zone:          values.String("zone"),
		Address:       internalAddress(values),
		CallerAddress: cmp.Or(values.String("advertise.caller"), values.String("listen.caller")),
		Core:          role == RoleCore,
		Front:         role == RoleFront || values.Bool("core.front"),
		Incarnation:   uint64(startedAt.UnixNano()),
		RulesLevel:    statemachine.RulesLevel,
	}
}

// internalAddress returns the address at which other processes reach this one.
func internalAddress(values *settings.Values) string {
	return cmp.Or(values.String("advertise.internal"), values.String("listen.internal"))
}

func (p *process) newFollower() *follower.Follower {
	return follower.New(follower.Config{
		Self:           p.self,
		LeaseTTL:       p.values.Duration("lease.ttl"),
		RenewInterval:  p.values.Duration("lease.renew"),
		PingInterval:   p.values.Duration("ping.interval"),
		FeedWait:       p.values.Duration("feed.wait"),
		KnownProcesses: p.directory.KnownProcesses,
		CoreStaleAfter: coreStaleAfter,
		ConfirmRunning: p.directory.ConfirmRunning,
	}, p.directory, p.clock, p.log)
}

func (p *process) newQuota(registry *prometheus.Registry) (*quotasync.Service, error) {
	return quotasync.New(quotasync.Config{
		Self:         p.identity.Name,
		Incarnation:  p.identity.Incarnation,
		Metrics:      registry,
		QueueTimeout: p.values.Duration("tally.hold"),
		Unresponsive: func() []string { return p.follower.View().Unresponsive },
		Quota: quota.Config{
			Window:   p.values.Duration("quota_window"),
			Slices:   p.values.Int("quota_slices"),
			Interval: p.values.Duration("tally.interval"),
		},
	}, p.directory, p.clock, p.follower.FleetNow, func() []string { return p.follower.View().Remaining }, p.log)
}

// newInspector returns the inspector of this process. Inspections refer to services
// that are built later, so none may run before build returns.
func (p *process) newInspector() *inspector {
	inspections := map[string]inspection{
		inspectStatus: inspectionOf(func(string) (processStatus, bool) { return p.status(), true }),
		inspectPlan: inspectionOf(func(string) (*wire.Plan, bool) {
			plan := p.follower.View().Plan
			return plan, plan != nil
		}),
		inspectTally: inspectionOf(p.quotaUsage),
		inspectExplain: inspectionOf(func(id string) (any, bool) {
			return p.front.Inspect(inspectExplain, id)
		}),
	}
	if p.controller != nil {
		inspections[healthcheck.InspectListTime] = inspectionOf(func(string) (healthcheck.ListTime, bool) {
			return healthcheck.ListTime{ObservedAtMS: p.controller.PlatformListedAtMS()}, true
		})
	}
	return &inspector{self: p.identity.Name, peers: p.directory, inspections: inspections}
}

func (p *process) newChecker() *healthcheck.Checker {
	return healthcheck.New(healthcheck.Config{
		Self:        p.identity.Name,
		Region:      p.identity.Region,
		Zone:        p.identity.Zone,
		Incarnation: p.identity.Incarnation,
		View: func() healthcheck.View {
			view := p.follower.View()
			return healthcheck.View{Servers: view.Servers, Fronts: view.Fronts}
		},
		ApplyReport:          p.follower.Report,
		FleetNow:             p.follower.FleetNow,
		ListInterval:         p.values.Duration("platform.interval"),
		PollInterval:         p.values.Duration("watch.interval"),
		ListReadersPerRegion: p.values.Int("platform.readers"),
		ListOnly:             p.environment.Platform != nil,
		DrainWithin:          p.values.Duration("platform.drain_within"),
	}, p.serverSource(), p.directory, p.clock, p.log)
}

// serverSource returns the source of the server list and of server statuses.
func (p *process) serverSource() port.ServerSource {
	if p.environment.Platform != nil {
		return p.environment.Platform.Servers(p.environment.Dial)
	}
	return platform.New(platform.Config{URL: p.values.String("platform.url"), Dial: p.environment.Dial})
}

// planPolicy returns the settings of traffic plans.
func (p *process) planPolicy() plan.Policy {
	return plan.Policy{SlowStartCap: p.values.Int("route.ramp_start")}
}

// openListeners opens the internal listener, for other processes, and the caller
// listener, for client requests. On a platform, a process that serves no traffic has
// no caller listener.
func (p *process) openListeners() error {
	var err error
	if p.internalListener, err = p.environment.Listen(p.values.String("listen.internal")); err != nil {
		return errors.Wrap(err, "open internal listener (setting listen.internal)")
	}
	if !p.servesTraffic() && p.environment.Platform != nil {
		return nil
	}
	if p.callerListener, err = p.environment.Listen(p.values.String("listen.caller")); err != nil {
		return errors.Wrap(err, "open caller listener (setting listen.caller)")
	}
	return nil
}
