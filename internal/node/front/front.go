// Package front is the data path of a node: it serves prompts and one-shot calls
// by the period plan. A request passes through these stages:
//
//   - parsing, within bounds, by clientapi;
//   - admission by authority, API key, service and the tenant's quota
//     (admission.go);
//   - routing to a server by the router, which owns the routing table (router.go,
//     dispatch.go);
//   - one attempt or several at servers, by backend (attempt.go, prompt.go,
//     stream_forwarder.go, oneshot.go);
//   - the result: journal, metrics and log (call.go, explain.go, metrics.go,
//     result_events.go).
//
// A request runs on its caller's goroutine. The state that requests share has one
// owner goroutine each, reached over bounded queues: router, callRegistry,
// requestJournal and pauseDetector. Control state is only read, as immutable
// views.
//
// Invariants: nothing is sent to a server without authority. A prompt is retried
// only while its caller has received nothing, a one-shot call only while no server
// has received it. A call whose API key is revoked, or whose node has been without
// authority for the grace period, is cancelled.
//
// The package holds no lease, makes no plan and checks no server's health; see the
// follower, control and healthcheck packages.
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
	"stepwick/internal/clock"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
)

const (
	defaultOneShotTokens  = 50
	defaultStreamBuffer   = 64
	defaultAuthorityGrace = 2 * time.Second

	// shutdownTimeout bounds how long Listen lets answers that are being written
	// complete.
	shutdownTimeout = time.Second
)

// Config holds a front's settings. Zero values take the defaults named.
type Config struct {
	// Name is the node's name.
	Name string
	// Address is advertised to callers, as ip:port; "" for none.
	Address string
	// Region and Zone are the node's failure domain.
	Region string
	Zone   string

	// Limits bounds what one caller can cost.
	Limits clientapi.Limits
	// Backend configures the connections to servers.
	Backend backend.Config
	// Route configures routing. Its name, region and zone are taken from the
	// fields above.
	Route route.Config
	// OneShotTokens is the cost, in tokens, of a one-shot call whose service names
	// none; default 50.
	OneShotTokens float64
	// StreamBuffer is the number of events buffered between a server and a slow
	// caller; default 64.
	StreamBuffer int
	// AuthorityGrace is the time from the loss of authority to the cancellation
	// of running calls; default 2s.
	AuthorityGrace time.Duration

	// ReadRuntimeSettings converts the settings of a sheet, by name, to those that
	// change at run time. It is called when they change; nil if none does.
	ReadRuntimeSettings func(settings map[string]string) RuntimeSettings

	// Standing returns the standing of the core on this node; nil on a plain
	// front.
	Standing func() string

	// Control answers requests below /v1/control/; may be nil.
	Control http.Handler
	// Metrics answers /metrics; may be nil.
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

// Views provides the control state that a front decides by.
type Views interface {
	// View returns the newest view.
	View() *follower.View
	// Changed returns a channel that is closed when there is a newer view.
	Changed() <-chan struct{}
	// HasAuthority reports whether the node holds its lease and may decide.
	HasAuthority() bool
}

// Front serves callers. It implements clientapi.RequestHandler.
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
	// appliedSettings are the sheet's settings as last applied; nil before the
	// first sheet. They belong to the router's goroutine.
	appliedSettings map[string]string
	draining        atomic.Bool
	stopped         chan struct{} // closed when Serve has ended
	stopOnce        sync.Once
}

var _ clientapi.RequestHandler = (*Front)(nil)

// New returns a front. It serves no request before Serve runs.
func New(config Config, views Views, admitter Admitter, clock clock.Clock, log events.Log, registry prometheus.Registerer) (*Front, error) {
	config = config.withDefaults()
	client, err := backend.New(config.Backend)
	if err != nil {
		return nil, err
	}
	journal := newRequestJournal()
	metrics, err := newMetrics(registry, journal)
	if err != nil {
		return nil, errors.Wrap(err, "register the front's metrics")
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

// mounts returns the handlers beside the caller API, by path.
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

// Serve runs the front's owners until the context ends. The front cannot be used
// after that.
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

// String returns the owner's name in log events.
func (f *Front) String() string { return "front" }

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler { return f.api }

// Listen serves callers on a listener until the context ends. Then it lets answers
// that are being written complete, for a second at most, closes the remaining
// connections and returns the context's error. Call Drain first.
func (f *Front) Listen(ctx context.Context, listener net.Listener) error {
	server := f.api.Server()
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		_ = server.Close()
	})
	err := server.Serve(f.api.LimitConnections(listener))
	if !stop() {
		<-closed
		return ctx.Err()
	}
	return errors.Wrap(err, "serve callers")
}

// Standing returns the standing of the core on this node, "" on a plain front.
func (f *Front) Standing() string {
	if f.config.Standing == nil {
		return ""
	}
	return f.config.Standing()
}

// Drain rejects new requests and waits until the running ones have ended. When the
// context ends first, the remaining ones are cancelled, and Drain returns the
// context's error.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	return f.calls.drain(ctx)
}

// EarliestArrival returns the earliest time at which a request that is read now
// may have reached this machine. After a pause of the process, requests may have
// waited on their connections, and their deadlines count from before.
func (f *Front) EarliestArrival() time.Time { return f.pauses.earliestArrival() }

// Panicked logs a panic while a request was served.
func (f *Front) Panicked(id string, panicked any) {
	f.log.Emit(events.RequestPanicked, "request", id, "panic", panicked)
}
