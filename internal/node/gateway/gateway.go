// Package gateway serves the requests that come by the routes of the
// configuration: plain HTTP, forwarded to one of a service's servers, whose
// response is relayed to the client.
//
// A request is read, admitted by the configuration in force and its tenant's quota
// (admission.go, body.go, quota.go), assigned a server by the dispatcher
// (selection.go, dispatcher.go, queue.go), sent, retried where that is safe
// (attempt.go, stall.go), and answered (relay.go, stream.go). The handler goroutine
// owns the request; the dispatcher owns the balancing table and the queue of
// requests that wait for capacity; serverHealth owns the servers that were found
// unresponsive.
//
// Invariants: a request that a server may have executed is sent to another one only
// if its route is idempotent, and it is never reported to the client as not
// executed; an incomplete response never reaches a client as a complete one; a
// client's connection is broken rather than its answer ended early.
//
// The package does not decide which server is best (package balance) nor keep
// connections to servers (package upstream).
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
	"stepwick/internal/clock"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/stage"
)

// Views provides the control state that a gateway decides by.
type Views interface {
	// View returns the newest view, which is immutable.
	View() *follower.View
	// Changed returns a channel that is closed when a newer view exists.
	Changed() <-chan struct{}
	// HasAuthority reports whether this node may decide by its view now: by a lease
	// or, while the cores are lost, by a majority of the roster.
	HasAuthority() bool
	// FleetNow returns the fleet's time.
	FleetNow() time.Time
}

// Admitter decides by the fleet's shared counts whether a tenant may spend tokens
// of its quota. It may wait for an exchange with the owner of the tenant's count, by
// its own configuration; in a large fleet also longer, for maxWait at most. When the
// context ends first it rejects.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision
}

// Gateway serves requests by routes. It is an http.Handler.
type Gateway struct {
	config     Config
	dialect    port.Dialect
	views      Views
	admitter   Admitter
	clock      clock.Clock
	log        events.Log
	client     *upstream.Client
	dispatcher *dispatcher
	health     *serverHealth
	metrics    *metrics
	bodies     *stage.ByteBudget

	hadAuthority atomic.Bool // has had authority since the start
	draining     atomic.Bool // not ready any more
	closed       atomic.Bool // rejects new requests
	inFlight     atomic.Int64
	lastArrival  atomic.Int64 // of a request, nanoseconds since started
	started      time.Time
}

// New returns a gateway. It serves no request before Serve runs. It fails when its
// metrics are already registered.
func New(
	config Config,
	dialect port.Dialect,
	views Views,
	admitter Admitter,
	clock clock.Clock,
	log events.Log,
	registry prometheus.Registerer,
) (*Gateway, error) {
	config = config.withDefaults()
	config.Upstream.Clock = clock
	var gateway *Gateway
	config.Upstream.OnUnacknowledged = func(server string) { gateway.dispatcher.unacknowledged(server) }
	metrics, err := newMetrics(registry)
	if err != nil {
		return nil, err
	}
	gateway = &Gateway{
		config:   config,
		dialect:  dialect,
		views:    views,
		admitter: admitter,
		clock:    clock,
		log:      log,
		metrics:  metrics,
		bodies:   stage.NewByteBudget(config.MaxBufferedBytes),
		started:  clock.Now(),
	}
	gateway.client = upstream.New(config.Upstream)
	gateway.health = newServerHealth(config.Observe, clock, gateway.client)
	gateway.dispatcher = newDispatcher(balance.New(config.Balance), views, clock, gateway.client, gateway.health, config.Balance.Disabled)
	return gateway, nil
}

// Serve runs the gateway's owners until the context ends.
func (g *Gateway) Serve(ctx context.Context) error {
	supervisor := suture.New("gateway", suture.Spec{EventHook: g.logPanic})
	supervisor.Add(g.dispatcher)
	supervisor.Add(g.health)
	defer g.client.Close()
	return supervisor.Serve(ctx)
}

func (g *Gateway) logPanic(event suture.Event) {
	if failed, ok := event.(suture.EventServicePanic); ok {
		g.log.Emit(events.OwnerPanicked, "owner", failed.ServiceName, "panic", failed.PanicMsg)
	}
}

// String returns the owner's name in log events.
func (g *Gateway) String() string { return "gateway" }

// Listen serves the clients of a listener until the context ends.
func (g *Gateway) Listen(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		MaxHeaderBytes:    g.config.MaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listen.LimitConnections(listener, g.config.MaxConnections))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
