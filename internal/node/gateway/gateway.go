// Package gateway carries the requests that come by the sheet's routes: plain
// HTTP, passed on to one of a service's servers, and the answer passed back. A
// request's way is: read, admitted by the sheet in force and the tenant's
// allowance, given a server by the dispatcher, sent, and answered.
package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/adapter/listen"
	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/stage"
)

// Config holds a gateway's place and bounds. Zero values take the defaults
// named.
type Config struct {
	Balance       balance.Config
	Upstream      upstream.Config
	BodyMax       int64         // bytes of a request's body, where the sheet says nothing; 4 MiB
	BodiesMax     int64         // bytes of all bodies held at once; 64 MiB
	HeaderMax     int           // bytes of a request's header; 16 KiB
	HeaderTimeout time.Duration // for a header to arrive; 5 s
	BodyTimeout   time.Duration // for a body to arrive; 5 s
	IdleTimeout   time.Duration // of a client's connection; 60 s
	PlainTokens   float64       // of a request that names no tokens; 50
	DeadlineMost  time.Duration // of a request that names none; 120 s
	Quota         Quota
	Linger        Linger
	// Observe takes what requests show of a server: that it answers, or that it
	// is silent; may be nil.
	Observe     func(ctx context.Context, server string, reachable bool)
	Connections int // from clients at once; 4096
}

// Linger is how a gateway that is taken away goes on for a while, since
// clients come until they have learned of other nodes.
type Linger struct {
	Least time.Duration // new requests are served at least so long; 3 s
	Most  time.Duration // and at most so long; 5 s
	Quiet time.Duration // between the two it ends when none came for so long; 1 s
}

func (c Config) withDefaults() Config {
	or(&c.BodyMax, 4<<20)
	or(&c.BodiesMax, 64<<20)
	or(&c.HeaderMax, 16<<10)
	or(&c.HeaderTimeout, 5*time.Second)
	or(&c.BodyTimeout, 5*time.Second)
	or(&c.IdleTimeout, time.Minute)
	or(&c.PlainTokens, 50)
	or(&c.DeadlineMost, 120*time.Second)
	or(&c.Quota.Part, 1)
	or(&c.Linger.Least, 3*time.Second)
	or(&c.Linger.Most, 5*time.Second)
	or(&c.Linger.Quiet, time.Second)
	or(&c.Connections, 4096)
	return c
}

func or[T int | int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Views is where a gateway reads the control state that it decides by.
type Views interface {
	View() *follower.View
	Changed() <-chan struct{}
	HasAuthority() bool
	FleetNow() time.Time
}

// Admitter decides by the shared tally whether a tenant may spend tokens.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, terms quota.Allowance, patience time.Duration) quota.Decision
}

// Gateway serves requests by routes. It is an http.Handler.
type Gateway struct {
	config   Config
	dialect  port.Dialect
	views    Views
	admitter Admitter
	clock    clock.Clock
	log      events.Log
	client   *upstream.Client
	dispatch *dispatcher
	suspects *suspects
	metrics  *metrics
	bodies   *stage.ByteBudget

	ruled    atomic.Bool  // has been seen to rule since its start
	leaving  atomic.Bool  // not ready any more
	closed   atomic.Bool  // takes no new request any more
	inFlight atomic.Int64 // requests that are being served
	newest   atomic.Int64 // when the newest request came, nanoseconds since started
	started  time.Time
}

// New returns a gateway. It takes no traffic before Serve runs.
func New(config Config, dialect port.Dialect, views Views, admitter Admitter, clock clock.Clock, log events.Log, registry prometheus.Registerer) (*Gateway, error) {
	config = config.withDefaults()
	config.Upstream.Clock = clock
	var g *Gateway
	config.Upstream.Silent = func(server string) { g.dispatch.silent(server) }
	metrics, err := newMetrics(registry)
	if err != nil {
		return nil, err
	}
	g = &Gateway{config: config, dialect: dialect, views: views, admitter: admitter, clock: clock, log: log,
		metrics: metrics, bodies: stage.NewByteBudget(config.BodiesMax), started: clock.Now()}
	g.client = upstream.New(config.Upstream)
	g.suspects = newSuspects(config.Observe, clock, g.client)
	g.dispatch = newDispatcher(balance.New(config.Balance), views, clock, log, g.client, g.suspects, config.Balance.Off)
	return g, nil
}

// Serve runs the gateway's owners until the context ends.
func (g *Gateway) Serve(ctx context.Context) error {
	supervisor := suture.New("gateway", suture.Spec{EventHook: func(event suture.Event) {
		if failed, ok := event.(suture.EventServicePanic); ok {
			g.log.Emit(events.OwnerPanicked, "owner", failed.ServiceName, "panic", failed.PanicMsg)
		}
	}})
	supervisor.Add(g.dispatch)
	supervisor.Add(g.suspects)
	defer g.client.Close()
	return supervisor.Serve(ctx)
}

func (g *Gateway) String() string { return "gateway" }

// Listen answers clients on a listener until the context ends.
func (g *Gateway) Listen(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		MaxHeaderBytes:    g.config.HeaderMax,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listen.LimitConnections(listener, g.config.Connections))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// Ready tells whether the node takes traffic by routes: nil, or why not.
func (g *Gateway) Ready() *apierror.Error {
	if g.leaving.Load() {
		return apierror.Errorf(apierror.FrontLeaving, "ask another node").WithRetryAfter(time.Second)
	}
	return g.rules()
}

// rules tells whether this node may decide on a request now.
func (g *Gateway) rules() *apierror.Error {
	if !g.views.HasAuthority() {
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(notRulingPause)
	}
	if g.views.View().State.Sheet == nil {
		return apierror.Errorf(apierror.NoSheet, "").WithRetryAfter(notRulingPause)
	}
	return nil
}

// startHold is how long a request may wait for a node that has just started to
// learn that it may rule, which takes it some tenths of a second.
const startHold = 400 * time.Millisecond

// awaitRules holds a request at a node that has not ruled since its start, and
// then tells whether it may decide. A node that ruled before says so at once.
func (g *Gateway) awaitRules(ctx context.Context) *apierror.Error {
	apiErr := g.rules()
	if apiErr == nil {
		g.ruled.Store(true)
		return nil
	}
	if g.ruled.Load() {
		return apiErr
	}
	over := g.clock.After(startHold)
	for apiErr != nil {
		look := g.clock.After(startLook)
		select {
		case <-look:
			apiErr = g.rules()
		case <-over:
			return apiErr
		case <-ctx.Done():
			return apiErr
		}
	}
	g.ruled.Store(true)
	return nil
}

const startLook = 10 * time.Millisecond

const notRulingPause = 200 * time.Millisecond

// Drain makes the node not ready, serves the clients that still come for a
// while, and waits until the running requests have ended. When the context
// ends first it gives the context's error.
func (g *Gateway) Drain(ctx context.Context) error {
	g.leaving.Store(true)
	began := g.clock.Now()
	for !g.lingered(began) {
		if !g.pause(ctx) {
			return ctx.Err()
		}
	}
	g.closed.Store(true)
	for g.inFlight.Load() > 0 {
		if !g.pause(ctx) {
			return ctx.Err()
		}
	}
	return nil
}

func (g *Gateway) lingered(began time.Time) bool {
	now := g.clock.Now()
	served := now.Sub(began)
	quiet := now.Sub(g.started.Add(time.Duration(g.newest.Load())))
	return served >= g.config.Linger.Most || served >= g.config.Linger.Least && quiet >= g.config.Linger.Quiet
}

const drainLook = 50 * time.Millisecond

// pause waits for the next look of a drain; false when the context has ended.
func (g *Gateway) pause(ctx context.Context) bool {
	select {
	case <-g.clock.After(drainLook):
		return true
	case <-ctx.Done():
		return false
	}
}
