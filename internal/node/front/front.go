// Package front is the data path of a node. It serves the caller API, prompts and
// one-shot calls, and routes by the current plan. A request passes through these
// stages:
//
//   - parsing and enforcement of size limits (package clientapi);
//   - admission by the node's authority, the API key, the service and the tenant's
//     quota (admission.go);
//   - selection of a server by the router, which owns the routing table (router.go,
//     dispatch.go);
//   - one or more attempts, each at one server, over package backend (attempt.go,
//     prompt.go, stream_forwarder.go, oneshot.go);
//   - recording of the result in the journal, the metrics and the log (call.go,
//     explain.go, metrics.go, result_events.go).
//
// A request runs on the goroutine of its HTTP handler. State that requests share
// is owned by the goroutines of router, callRegistry, requestJournal and
// pauseDetector. The first three receive messages over bounded queues. Control
// state is only read, as immutable views.
//
// Invariants: a request is sent to a server only while the node has authority. A
// prompt is retried only if its caller has received nothing, a one-shot call only
// if no server has received it. A call is cancelled when its API key is revoked or
// when the node has been without authority for the grace period.
//
// Leases, plans and health checks are in the packages follower, control and
// healthcheck.
package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/adapter/listen"
	"stepwick/internal/clock"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
)

const (
	defaultOneShotTokens  = 50
	defaultStreamBuffer   = 64
	defaultAuthorityGrace = 2 * time.Second

	// shutdownTimeout is the maximum time that Listen waits for responses in
	// progress to complete.
	shutdownTimeout = time.Second
)

// Config configures a Front. A zero field takes its default.
type Config struct {
	// Name is the node's name.
	Name string
	// Address is the ip:port that is advertised to callers; "" for none.
	Address string
	// Region and Zone are the node's failure domain.
	Region string
	Zone   string

	// Limits are the limits on connections and requests of callers.
	Limits clientapi.Limits
	// Backend configures the connections to servers.
	Backend backend.Config
	// Route configures routing. Its Self, Region and Zone are overwritten with
	// Name, Region and Zone of this Config.
	Route route.Config
	// OneShotTokens is the cost, in tokens, of a one-shot call if the sheet does not
	// set one for its service; 50 by default.
	OneShotTokens float64
	// StreamBuffer is the number of events that are buffered between a server and a
	// slow caller; 64 by default.
	StreamBuffer int
	// AuthorityGrace is the time from the loss of authority to the cancellation of
	// running calls; 2 s by default.
	AuthorityGrace time.Duration

	// ReadRuntimeSettings converts the settings of a sheet, by name, to
	// RuntimeSettings. It is called when the settings change. If it is nil, the
	// settings of sheets are ignored.
	ReadRuntimeSettings func(settings map[string]string) RuntimeSettings

	// Standing returns the standing of the core on this node. It is nil on a node
	// without a core.
	Standing func() string

	// Control serves paths below /v1/control/; may be nil.
	Control http.Handler
	// Metrics serves /metrics; may be nil.
	Metrics http.Handler
}

func (c Config) withDefaults() Config {
	if c.OneShotTokens <= 0 {
		c.OneShotTokens = defaultOneShotTokens
	}
	if c.StreamBuffer <= 0 {
		c.StreamBuffer = defaultStreamBuffer
	}
	if c.AuthorityGrace <= 0 {
		c.AuthorityGrace = defaultAuthorityGrace
	}
	c.Route.Self = c.Name
	c.Route.Region = c.Region
	c.Route.Zone = c.Zone
	return c
}

// Views provides the control state on which a front bases its decisions.
type Views interface {
	// View returns the latest view.
	View() *follower.View
	// Changed returns a channel that is closed when a newer view is published.
	Changed() <-chan struct{}
	// HasAuthority reports whether the node may serve requests now.
	HasAuthority() bool
}

// Front serves the requests of callers. It implements clientapi.RequestHandler.
type Front struct {
	config     Config
	views      Views
	admitter   Admitter
	clock      clock.Clock
	log        events.Log
	api        *clientapi.API
	client     *backend.Client
	router     *router
	calls      *callRegistry
	requestLog *requestJournal
	pauses     *pauseDetector
	metrics    *metrics
	// appliedSettings are the sheet's settings that were last applied; nil before
	// the first sheet. Only the router's goroutine uses them.
	appliedSettings map[string]string
	draining        atomic.Bool
	stopped         chan struct{} // closed when Serve has returned
	stopOnce        sync.Once
}

var _ clientapi.RequestHandler = (*Front)(nil)

// New returns a Front, which serves requests once Serve runs. The error is that of
// the backend's configuration or of the registry.
func New(config Config, views Views, admitter Admitter, clock clock.Clock, log events.Log, registry prometheus.Registerer) (*Front, error) {
	config = config.withDefaults()
	client, err := backend.New(config.Backend)
	if err != nil {
		return nil, err
	}
	journal := newRequestJournal()
	metrics, err := newMetrics(registry, journal)
	if err != nil {
		return nil, errors.Wrap(err, "register metrics of the front")
	}
	front := &Front{
		config:     config,
		views:      views,
		admitter:   admitter,
		clock:      clock,
		log:        log,
		client:     client,
		metrics:    metrics,
		requestLog: journal,
		stopped:    make(chan struct{}),
	}
	front.pauses = newPauseDetector(clock)
	front.calls = newCallRegistry(views, clock, config.AuthorityGrace, front.stopped)
	front.router = newRouter(route.New(config.Route), views, clock, log, front.stopped)
	front.router.applySheet = front.applyRuntimeSettings
	front.api = clientapi.New(config.Limits, front, clock, config.mounts())
	return front, nil
}

// mounts returns the additional HTTP handlers, by path.
func (c Config) mounts() map[string]http.Handler {
	mounts := map[string]http.Handler{}
	if c.Control != nil {
		mounts["/v1/control/"] = c.Control
	}
	if c.Metrics != nil {
		mounts["/metrics"] = c.Metrics
	}
	return mounts
}

// Serve runs the goroutines that own the front's state until the context ends. The
// front cannot be used after that.
func (f *Front) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			f.stopOnce.Do(func() { close(f.stopped) })
		}
	}()
	supervisor := suture.New("front", suture.Spec{EventHook: f.logPanic})
	supervisor.Add(f.pauses)
	supervisor.Add(f.requestLog)
	supervisor.Add(f.calls)
	supervisor.Add(f.router)
	return supervisor.Serve(ctx)
}

func (f *Front) logPanic(event suture.Event) {
	if failed, ok := event.(suture.EventServicePanic); ok {
		f.log.Emit(events.OwnerPanicked, "owner", failed.ServiceName, "panic", failed.PanicMsg)
	}
}

// String returns the name of this supervisor in log events.
func (f *Front) String() string { return "front" }

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler { return f.api }

// Listen serves callers on a listener until the context ends. It then waits up to
// 1 s for responses in progress, closes the remaining connections and returns the
// context's error. Call Drain before ending the context.
func (f *Front) Listen(ctx context.Context, listener net.Listener) error {
	err := listen.Serve(ctx, f.api.Server(), f.api.LimitConnections(listener), shutdownTimeout)
	if ctx.Err() != nil {
		return err
	}
	return errors.Wrap(err, "serve callers")
}

// Standing returns the standing of the core on this node; "" without a core.
func (f *Front) Standing() string {
	if f.config.Standing == nil {
		return ""
	}
	return f.config.Standing()
}

// Drain rejects new requests and waits for the running ones to end. If the context
// ends first, Drain cancels the remaining requests and returns the context's
// error.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	return f.calls.drain(ctx)
}

// EarliestArrival returns the earliest time at which a request that is read now
// may have reached this machine. During a pause of the process requests wait in
// the sockets' buffers, so their deadlines count from the start of the pause.
func (f *Front) EarliestArrival() time.Time { return f.pauses.earliestArrival() }

// Panicked logs a panic that occurred while a request was being served.
func (f *Front) Panicked(id string, panicked any) {
	f.log.Emit(events.RequestPanicked, "request", id, "panic", panicked)
}
