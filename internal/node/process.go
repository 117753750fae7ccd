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

const (
	restartBackoff = time.Second     // after too many failures of a service
	stopTimeout    = 2 * time.Second // for a service to return after its context has ended
	// releaseTimeout bounds the calls that a process makes after it has drained.
	releaseTimeout = time.Second
)

// errReplaced means that another core has taken over the name of this one.
var errReplaced = errors.New("another core has taken over the name of this one")

// process holds the services of a process and what connects them.
type process struct {
	role        string
	values      *settings.Values
	clock       clock.Clock
	log         events.Log
	environment Environment
	// identity is the constant part of the process's record; see self.
	identity *wire.Process

	pool      *internalrpc.Pool
	directory *internalrpc.Directory
	follower  *follower.Follower
	quota     *quotasync.Service
	checker   *healthcheck.Checker
	front     *front.Front
	gateway   *gateway.Gateway // nil unless on a platform
	orders    *orderForwarder
	peer      *peer

	// replica and controller are nil unless the process is a core.
	replica    *replica.Replica
	controller *control.Controller
	replaced   chan struct{} // receives a value when another core has taken over the name

	internalListener net.Listener
	callerListener   net.Listener // nil if on a platform and no traffic is served
}

// self returns the current record of this process. The counter is 1 plus the
// milliseconds since the start, so later records have a higher one.
func (p *process) self() *wire.Process {
	age := max(p.clock.Now().UnixNano()-int64(p.identity.Incarnation), 0)
	self := &wire.Process{
		Name:          p.identity.Name,
		Address:       p.identity.Address,
		CallerAddress: p.identity.CallerAddress,
		Region:        p.identity.Region,
		Zone:          p.identity.Zone,
		Core:          p.identity.Core,
		Front:         p.identity.Front,
		Incarnation:   p.identity.Incarnation,
		Counter:       1 + uint64(age)/uint64(time.Millisecond),
		RulesLevel:    p.identity.RulesLevel,
	}
	if p.replica != nil {
		self.Standing = p.replica.Standing()
		self.Formation = p.replica.Formation()
		self.Voters = p.replica.Voters()
		self.DiskLife = p.replica.Incarnation()
	}
	// The directory calls self before the front is built.
	if p.front != nil {
		apiErr := p.readiness()
		self.Ready = apiErr == nil
		self.Leaving = apiErr != nil && apiErr.Code == apierror.FrontDraining
	}
	return self
}

// readiness returns nil if the process accepts traffic, and otherwise the reason why it
// does not.
func (p *process) readiness() *apierror.Error {
	if p.gateway != nil {
		return p.gateway.Ready()
	}
	return p.front.Ready()
}

// run runs the services until the context ends, and then shuts down: it rejects new
// requests, waits at most the grace period for running ones, flushes quota usage and
// releases the leases. It returns errReplaced, without draining, once another core has
// taken over the name.
func (p *process) run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	done := p.newSupervisor().ServeBackground(serveCtx)
	p.logStart()
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended unexpectedly")
	case <-p.replaced:
		stop()
		<-done //nolint:errcheck // the error of the context that stop ended
		p.pool.CloseIdle()
		return errReplaced
	}
	p.shutDown()
	stop()
	<-done //nolint:errcheck // the error of the context that stop ended
	p.pool.CloseIdle()
	p.log.Emit(events.ProcessStopped, "name", p.identity.Name)
	return nil
}

// newSupervisor returns a supervisor of all services of the process. Service names are
// logged and part of the operators' interface.
func (p *process) newSupervisor() *suture.Supervisor {
	supervisor := suture.New(p.identity.Name, suture.Spec{
		EventHook:      p.logServiceFailure,
		FailureBackoff: restartBackoff,
		Timeout:        stopTimeout,
	})
	server := internalrpc.Server(internalrpc.Handler(p.peer, p.values.String("fleet.secret")))
	supervisor.Add(service{"internal listener", func(ctx context.Context) error {
		cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer cancelClose()
		return listenerExitError(server.Serve(p.internalListener))
	}})
	p.addTrafficServices(supervisor)
	supervisor.Add(service{"directory", p.directory.Serve})
	supervisor.Add(service{"follower", p.follower.Serve})
	supervisor.Add(service{"spend", p.quota.Serve})
	if p.servesTraffic() {
		supervisor.Add(service{"watcher", p.checker.Serve})
	}
	if p.controller != nil {
		supervisor.Add(service{"replica", p.replica.Serve})
		supervisor.Add(service{"core", p.controller.Serve})
	}
	return supervisor
}

// logStart logs the listeners, the former names of settings that the settings file
// uses, and the start of the process.
func (p *process) logStart() {
	if p.callerListener != nil {
		p.log.Emit(events.ListenerOpened, "listener", "caller", "address", p.callerListener.Addr().String())
	}
	p.log.Emit(events.ListenerOpened, "listener", "internal", "address", p.internalListener.Addr().String())
	renamed := p.values.FormerNamesUsed()
	for _, former := range slices.Sorted(maps.Keys(renamed)) {
		p.log.Emit(events.SettingRenamed, "former", former, "name", renamed[former])
	}
	p.log.Emit(events.ProcessStarted,
		"name", p.identity.Name,
		"role", p.role,
		"locality", sheet.ZoneName(p.identity.Region, p.identity.Zone),
		"caller", p.identity.CallerAddress,
		"internal", p.identity.Address,
		"incarnation", p.identity.Incarnation)
}

// shutDown drains the process, flushes its quota usage and releases its leases.
func (p *process) shutDown() {
	grace := p.values.Duration("drain.grace")
	p.log.Emit(events.ProcessStopping, "name", p.identity.Name, "grace", grace)
	began := p.clock.Now()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), grace)
	if err := p.drain(drainCtx); err != nil {
		p.log.Emit(events.GracePeriodExceeded, "error", err)
	} else {
		p.log.Emit(events.DrainFinished, "took", p.clock.Now().Sub(began))
	}
	cancelDrain()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = p.quota.Flush(ctx)
	// The follower must stop first, so that it does not renew a released lease.
	_ = p.follower.Leave(ctx)
	p.releaseLeases(ctx)
}

// releaseLeases releases this process's lease at each core and waits for the calls.
func (p *process) releaseLeases(ctx context.Context) {
	released := make(chan struct{})
	cores := p.directory.Cores()
	for _, core := range cores {
		go func() {
			req := &wire.ReleaseRequest{Name: p.identity.Name, Incarnation: p.identity.Incarnation}
			_, _ = p.pool.Client(core.Address).Release(ctx, connect.NewRequest(req))
			released <- struct{}{}
		}()
	}
	for range cores {
		<-released
	}
}

// notifyReplaced signals run that another core has taken over this one's name. It never
// blocks.
func (p *process) notifyReplaced() {
	select {
	case p.replaced <- struct{}{}:
	default:
	}
}

// logServiceFailure logs a service that failed, or the supervisor's backoff.
func (p *process) logServiceFailure(event suture.Event) {
	switch failure := event.(type) {
	case suture.EventServicePanic:
		p.log.Emit(events.ServiceFailed, "service", failure.ServiceName, "panic", failure.PanicMsg, "stack", failure.Stacktrace)
	case suture.EventServiceTerminate:
		p.log.Emit(events.ServiceFailed, "service", failure.ServiceName, "error", fmt.Sprint(failure.Err))
	case suture.EventBackoff:
		p.log.Emit(events.ServiceBackoff, "supervisor", failure.SupervisorName)
	}
}

// service is a suture.Service with a name.
type service struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the service until the context ends.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the service's name.
func (s service) String() string { return s.name }

// listenerExitError returns suture.ErrDoNotRestart if err means that the listener was
// closed, and err otherwise.
func listenerExitError(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}
