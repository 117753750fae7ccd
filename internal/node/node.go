// Package node wires the parts of one process under a supervisor: a front, or
// a core with a front beside it.
package node

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/control"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/front"
	"stepwick/internal/node/gateway"
	"stepwick/internal/node/healthcheck"
	"stepwick/internal/node/quotasync"
	"stepwick/internal/node/replica"
	"stepwick/internal/settings"
	"stepwick/internal/wire"
)

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

const coreStaleFor = time.Second

// Run runs a process of a role on this machine until the context ends; then it
// hands over within its grace and returns nil.
func Run(ctx context.Context, role string, values *settings.Values, log events.Log) error {
	return RunAt(ctx, nil, role, values, log)
}

// RunAt is Run on a platform that an edge speaks to; without one the process
// has its own listeners.
func RunAt(ctx context.Context, edge Edge, role string, values *settings.Values, log events.Log) error {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	if bind := values.String("bind"); bind != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(bind)}
	}
	source := clock.System()
	if step := values.Duration("clock.step"); step != 0 {
		source = clock.Stepped(source, step)
		log.Emit(events.TestSettingUsed, "setting", "clock.step", "value", step)
	}
	return RunIn(ctx, World{
		Clock:  source,
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   dialer.DialContext,
		Edge:   edge,

		DialServer: serverDialer(dialer).DialContext,
	}, role, values, log)
}

// RunIn is Run in a given world.
func RunIn(ctx context.Context, world World, role string, values *settings.Values, log events.Log) error {
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
func runOnce(ctx context.Context, world World, role string, first bool, values *settings.Values, log events.Log) error {
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
	clock  clock.Clock
	log    events.Log
	base   *wire.Process

	pool      *internalrpc.Pool
	directory *internalrpc.Directory
	follower  *follower.Follower
	spend     *quotasync.Service
	front     *front.Front
	gateway   *gateway.Gateway
	edge      Edge
	listen    func(address string) (net.Listener, error)
	orders    *relay
	replaced  chan struct{}
	watcher   *healthcheck.Watcher
	replica   *replica.Replica
	core      *control.Controller
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

// self returns this process's record as of now.
func (p *process) self() *wire.Process {
	own := &wire.Process{
		Name: p.base.Name, Address: p.base.Address, CallerAddress: p.base.CallerAddress,
		Region: p.base.Region, Zone: p.base.Zone, Core: p.base.Core, Front: p.base.Front, Incarnation: p.base.Incarnation,
		Counter: 1 + uint64(max(p.clock.Now().UnixNano()-int64(p.base.Incarnation), 0))/uint64(time.Millisecond),
	}
	if p.replica != nil {
		own.Standing, own.Formation, own.Voters = p.replica.Standing(), p.replica.Formation(), p.replica.Voters()
		own.DiskLife = p.replica.Incarnation()
	}
	if p.front != nil {
		apiErr := p.ready()
		own.Ready = apiErr == nil
		own.Leaving = apiErr != nil && apiErr.Code == apierror.FrontLeaving
	}
	return own
}

// ready tells whether the process takes traffic, by whichever way it comes.
func (p *process) ready() *apierror.Error {
	if p.gateway != nil {
		return p.gateway.Ready()
	}
	return p.front.Ready()
}

// run serves until the context ends, then hands over: new requests are
// refused, running ones finish within the grace, the spend is sent on, the
// leases are released.
func (p *process) run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	supervisor := suture.New(p.base.Name, suture.Spec{EventHook: p.failed, FailureBackoff: time.Second, Timeout: 2 * time.Second})
	internal := internalrpc.Server(internalrpc.Handler(p.peer, p.values.String("fleet.secret")))
	supervisor.Add(service{"internal listener", func(ctx context.Context) error {
		undo := context.AfterFunc(ctx, func() { _ = internal.Close() })
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
	renamed := p.values.FormerNamesUsed()
	for _, former := range slices.Sorted(maps.Keys(renamed)) {
		p.log.Emit(events.SettingRenamed, "former", former, "name", renamed[former])
	}
	p.log.Emit(events.ProcessStarted, "name", p.base.Name, "role", p.role, "locality", sheet.ZoneName(p.base.Region, p.base.Zone),
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
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	if err := p.drain(ctx); err != nil {
		p.log.Emit(events.GracePeriodExceeded, "error", err)
	} else {
		p.log.Emit(events.DrainFinished)
	}
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.spend.Flush(ctx)
	_ = p.follower.Leave(ctx)
	released := make(chan struct{})
	cores := p.directory.Cores()
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
	serve func(context.Context) error
}

func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }
func (s service) String() string                  { return s.name }

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}
