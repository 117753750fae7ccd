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
	restartBackoff = time.Second     // of a part that failed too often
	stopTimeout    = 2 * time.Second // of a part, once its context ended
	// releaseTimeout bounds what a process sends after it drained.
	releaseTimeout = time.Second
)

// errReplaced ends a core whose name another one has taken over.
var errReplaced = errors.New("another core has taken the place of this one")

// process holds the parts of one process.
type process struct {
	role        string
	values      *settings.Values
	clock       clock.Clock
	log         events.Log
	environment Environment
	// identity is the part of the process's record that doesn't change; see self.
	identity *wire.Process

	pool      *internalrpc.Pool
	directory *internalrpc.Directory
	follower  *follower.Follower
	quota     *quotasync.Service
	checker   *healthcheck.Checker
	front     *front.Front
	gateway   *gateway.Gateway // nil without a platform
	orders    *orderForwarder
	peer      *peer

	// Of a core; nil otherwise.
	replica    *replica.Replica
	controller *control.Controller
	replaced   chan struct{} // receives when another core has taken over the name

	internalListener net.Listener
	callerListener   net.Listener // nil for a core on a platform
}

// self returns this process's record as of now. Its counter is the number of
// milliseconds since the start, so that it rises.
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
	}
	if p.replica != nil {
		self.Standing = p.replica.Standing()
		self.Formation = p.replica.Formation()
		self.Voters = p.replica.Voters()
		self.DiskLife = p.replica.Incarnation()
	}
	// The front is built after the directory, which requests this record.
	if p.front != nil {
		apiErr := p.readiness()
		self.Ready = apiErr == nil
		self.Leaving = apiErr != nil && apiErr.Code == apierror.FrontLeaving
	}
	return self
}

// readiness returns nil where the process takes traffic, and else why not.
func (p *process) readiness() *apierror.Error {
	if p.gateway != nil {
		return p.gateway.Ready()
	}
	return p.front.Ready()
}

// run serves until the context ends. It then drains: new requests are rejected,
// running ones finish within the grace period, the quota's usage is sent and the
// leases are released. It returns errReplaced for a core that another one replaced.
func (p *process) run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	done := p.newSupervisor().ServeBackground(serving)
	p.logStart()
	select {
	case <-ctx.Done():
	case err := <-done:
		return errors.Wrap(err, "supervisor ended")
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

// newSupervisor returns a supervisor of all parts of the process.
func (p *process) newSupervisor() *suture.Supervisor {
	supervisor := suture.New(p.identity.Name, suture.Spec{
		EventHook:      p.logSupervisor,
		FailureBackoff: restartBackoff,
		Timeout:        stopTimeout,
	})
	internal := internalrpc.Server(internalrpc.Handler(p.peer, p.values.String("fleet.secret")))
	supervisor.Add(service{"internal listener", func(ctx context.Context) error {
		undo := context.AfterFunc(ctx, func() { _ = internal.Close() })
		defer undo()
		return listenerEnd(internal.Serve(p.internalListener))
	}})
	p.addTraffic(supervisor)
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

// logStart logs the listeners, the settings that go by a former name, and the
// process itself.
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

// shutDown drains the process and releases what it holds at others.
func (p *process) shutDown() {
	grace := p.values.Duration("drain.grace")
	p.log.Emit(events.ProcessStopping, "name", p.identity.Name, "grace", grace)
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), grace)
	if err := p.drain(drainCtx); err != nil {
		p.log.Emit(events.GracePeriodExceeded, "error", err)
	} else {
		p.log.Emit(events.DrainFinished)
	}
	cancelDrain()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = p.quota.Flush(ctx)
	// The follower must not renew a lease that is released.
	_ = p.follower.Leave(ctx)
	p.releaseLeases(ctx)
}

// releaseLeases releases the lease at each core and waits for their answers.
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

// notifyReplaced notes that another core has taken over this one's name. It never
// waits.
func (p *process) notifyReplaced() {
	select {
	case p.replaced <- struct{}{}:
	default:
	}
}

// logSupervisor logs a part that failed.
func (p *process) logSupervisor(event suture.Event) {
	switch failure := event.(type) {
	case suture.EventServicePanic:
		p.log.Emit(events.ServiceFailed, "service", failure.ServiceName, "panic", failure.PanicMsg, "stack", failure.Stacktrace)
	case suture.EventServiceTerminate:
		p.log.Emit(events.ServiceFailed, "service", failure.ServiceName, "error", fmt.Sprint(failure.Err))
	case suture.EventBackoff:
		p.log.Emit(events.ServiceBackoff, "supervisor", failure.SupervisorName)
	}
}

// service is a part of the process under its name for the supervisor.
type service struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the part until the context ends.
func (s service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the part's name.
func (s service) String() string { return s.name }

// listenerEnd returns suture.ErrDoNotRestart for the error of a listener that was
// closed, and else the error.
func listenerEnd(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return suture.ErrDoNotRestart
	}
	return err
}
