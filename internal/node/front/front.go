// Package front is the traffic side of a node. A request's way has the stages
// parse, admit, route, call and finish, joined by bounded queues: clientapi
// parses within its bound of requests, the tally's owner admits, the routing
// table's owner routes, a reader of the server's connection calls, and the
// caller's own goroutine finishes.
package front

import (
	"context"
	"fmt"
	"maps"
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
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
)

// Config holds a front's place and bounds. Zero values take the defaults named.
type Config struct {
	Name    string
	Address string // advertised to callers, ip:port
	Region  string
	Zone    string

	Limits      clientapi.Limits
	Backend     backend.Config
	Route       route.Config  // its place is taken from the fields above
	PlainTokens float64       // of a one-shot whose service names none; default 50
	Events      int           // events buffered between a server and a slow caller; default 64
	CutAfter    time.Duration // from the loss of ruling to the cut of running calls; default 2s

	// Tune reads what a sheet sets at run time; nil for nothing. It is asked
	// when they change.
	Tune func(settings map[string]string) Tuned

	// Standing tells the standing of the core beside this front; nil on a plain one.
	Standing func() string

	Control http.Handler // answers below /v1/control/; may be nil
	Metrics http.Handler // answers /metrics; may be nil
}

// Tuned is what a sheet can set at run time. Zero or nil leaves a value as it is.
type Tuned struct {
	Route           *route.RuntimeConfig
	DeadlineMax     time.Duration
	DeadlineDefault time.Duration
}

// Views is where a front reads the control state that it decides by.
type Views interface {
	View() *follower.View
	Changed() <-chan struct{}
	HasAuthority() bool
}

// Admitter decides by the shared tally whether a tenant may spend tokens.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, terms quota.Allowance, patience time.Duration) quota.Decision
}

// Front serves callers.
type Front struct {
	config  Config
	views   Views
	admit   Admitter
	clock   clock.Clock
	log     events.Log
	api     *clientapi.API
	client  *backend.Client
	router  *router
	keeper  *keeper
	scribe  *scribe
	pulse   *pulse
	metrics *metrics
	tuned   map[string]string // by the sheet, as last applied
	leaving atomic.Bool
	ended   chan struct{}
	once    sync.Once
}

// New returns a front. It takes no traffic before Serve runs.
func New(config Config, views Views, admit Admitter, clock clock.Clock, log events.Log, registry prometheus.Registerer) (*Front, error) {
	if config.PlainTokens <= 0 {
		config.PlainTokens = 50
	}
	if config.Events <= 0 {
		config.Events = 64
	}
	if config.CutAfter <= 0 {
		config.CutAfter = 2 * time.Second
	}
	config.Route.Self, config.Route.Region, config.Route.Zone = config.Name, config.Region, config.Zone
	client, err := backend.New(config.Backend)
	if err != nil {
		return nil, err
	}
	scribe := newScribe()
	metrics, err := newMetrics(registry, scribe)
	if err != nil {
		return nil, errors.Wrap(err, "register the front's metrics")
	}
	f := &Front{config: config, views: views, admit: admit, clock: clock, log: log, client: client, metrics: metrics, scribe: scribe, ended: make(chan struct{})}
	f.pulse = newPulse(clock)
	f.keeper = newKeeper(views, clock, config.CutAfter, f.ended)
	f.router = newRouter(route.New(config.Route), config.Name, views, clock, log, f.ended)
	mounts := map[string]http.Handler{}
	if config.Control != nil {
		mounts["/v1/control/"] = config.Control
	}
	if config.Metrics != nil {
		mounts["/metrics"] = config.Metrics
	}
	f.api = clientapi.New(config.Limits, f, clock, mounts)
	f.router.tune = f.tune
	return f, nil
}

// Serve runs the front's owners until the context ends; after that the front
// is of no more use.
func (f *Front) Serve(ctx context.Context) error {
	defer func() {
		if ctx.Err() != nil {
			f.once.Do(func() { close(f.ended) })
		}
	}()
	supervisor := suture.New("front", suture.Spec{EventHook: func(event suture.Event) {
		if failed, ok := event.(suture.EventServicePanic); ok {
			f.log.Emit(events.OwnerPanicked, "owner", failed.ServiceName, "panic", failed.PanicMsg)
		}
	}})
	supervisor.Add(f.pulse)
	supervisor.Add(f.scribe)
	supervisor.Add(f.keeper)
	supervisor.Add(f.router)
	return supervisor.Serve(ctx)
}

func (f *Front) String() string { return "front" }

// tune runs on the router's goroutine, which owns the table.
func (f *Front) tune(sheet *sheet.Sheet, table *route.Table) {
	if f.config.Tune == nil || sheet == nil || f.tuned != nil && maps.Equal(f.tuned, sheet.Settings) {
		return
	}
	changed := f.tuned != nil || len(sheet.Settings) > 0
	f.tuned = map[string]string{}
	maps.Copy(f.tuned, sheet.Settings)
	tuned := f.config.Tune(sheet.Settings)
	f.api.Tune(tuned.DeadlineMax, tuned.DeadlineDefault)
	if tuned.Route != nil {
		table.Reconfigure(*tuned.Route)
	}
	if changed {
		f.log.Emit(events.SettingsChanged, "settings", fmt.Sprint(f.tuned))
	}
}

// Handler answers callers.
func (f *Front) Handler() http.Handler { return f.api }

// Listen answers callers on a listener until the context ends; then it lets
// answers that are being written go out, for a second at most, and closes what
// is still open. Drain comes before.
func (f *Front) Listen(ctx context.Context, listener net.Listener) error {
	server := f.api.Server()
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		last, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(last)
		_ = server.Close()
	})
	err := server.Serve(f.api.Bounded(listener))
	if !stop() {
		<-closed
		return ctx.Err()
	}
	return errors.Wrap(err, "serve callers")
}

// Ready tells whether the node takes traffic: nil, or why not.
func (f *Front) Ready() *apierror.Error {
	if apiErr := f.rules(); apiErr != nil {
		return apiErr
	}
	if f.views.View().Plan == nil {
		return apierror.Errorf(apierror.NoPlan, "").WithRetryAfter(time.Second)
	}
	return nil
}

// Standing names the standing of the core beside this front.
func (f *Front) Standing() string {
	if f.config.Standing == nil {
		return ""
	}
	return f.config.Standing()
}

// Drain lets no new request in and waits until the running ones have ended.
// When the context ends first, the rest is cut, and Drain gives its error.
func (f *Front) Drain(ctx context.Context) error {
	f.leaving.Store(true)
	return f.keeper.drain(ctx)
}

// Arrived returns the earliest moment at which a request that is read now may
// have reached this machine. A process that was frozen finds requests that
// waited on their connections, and counts their deadlines from before.
func (f *Front) Arrived() time.Time { return f.pulse.arrived() }

// Broke logs a panic while a request was served.
func (f *Front) Broke(id string, panicked any) {
	f.log.Emit(events.RequestPanicked, "request", id, "panic", panicked)
}

// rules tells whether this node may decide on a new request now.
func (f *Front) rules() *apierror.Error {
	if f.leaving.Load() {
		return apierror.Errorf(apierror.FrontLeaving, "ask another node").WithRetryAfter(time.Second)
	}
	if !f.views.HasAuthority() {
		wait := f.views.View().Authority.RetryAfter
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(max(wait, 100*time.Millisecond))
	}
	return nil
}
