// Package gateway is a reverse proxy for the routes of the configuration. It forwards
// plain HTTP requests to one of a service's servers and relays the response to the
// client.
//
// A request is read and admitted according to the configuration in force and its tenant's
// quota (admission.go, body.go, quota.go), assigned a server by the dispatcher
// (selection.go, dispatcher.go, queue.go), sent and, where that is safe, retried
// (attempt.go, stall.go). The response is relayed by relay.go and stream.go. The handler
// goroutine owns the request, the dispatcher owns the balancing table and the queue of
// requests that wait for capacity, and serverHealth owns the set of unresponsive servers.
//
// Invariants: a request that a server may have executed is sent to another one only if
// its route is idempotent, and is never reported to the client as not executed. An
// incomplete response is never relayed as a complete one: the client's connection is
// aborted instead.
//
// Package balance selects servers; package upstream manages the connections to them.
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

// shutdownTimeout is the longest time for which Listen waits for the responses that are
// written when its context ends. Requests have ended by then: see Drain.
const shutdownTimeout = 300 * time.Millisecond

// Views provides the control state on which a gateway bases its decisions.
type Views interface {
	// View returns the newest view, which is immutable.
	View() *follower.View
	// Changed returns a channel that is closed when a newer view is available.
	Changed() <-chan struct{}
	// HasAuthority reports whether this node may act on its view now, based on a lease
	// or, while the cores are lost, on a majority of the roster.
	HasAuthority() bool
	// FleetNow returns the current fleet time.
	FleetNow() time.Time
}

// Admitter decides whether a tenant may spend tokens of its quota, based on the counts
// that the nodes of the fleet share. Admit may wait for an exchange with the owner of the
// tenant's count for as long as its own configuration allows, and in a large fleet for up
// to maxWait if that is longer. It rejects the request if the context ends first.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision
}

// Gateway serves the requests for routes. It is an http.Handler.
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
	bodyBudget *stage.ByteBudget

	hadAuthority atomic.Bool                // whether the node has had authority since its start
	drain        atomic.Pointer[drainState] // nil until Drain is called
	requests     context.Context            // ends when the drain's time is over, for all requests
	endRequests  context.CancelFunc
	closed       atomic.Bool // whether new requests are rejected
	inFlight     atomic.Int64
	lastArrival  atomic.Int64 // arrival of the last request, in nanoseconds since started
	started      time.Time
}

// New returns a gateway. Requests are served only while Serve runs. New returns an error
// if the gateway's metrics cannot be registered.
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
	config.Upstream.OnUnacknowledged = func(server string) { gateway.dispatcher.reportUnacknowledged(server) }
	metrics, err := newMetrics(registry)
	if err != nil {
		return nil, err
	}
	gateway = &Gateway{
		config:     config,
		dialect:    dialect,
		views:      views,
		admitter:   admitter,
		clock:      clock,
		log:        log,
		metrics:    metrics,
		bodyBudget: stage.NewByteBudget(config.MaxBufferedBytes),
		started:    clock.Now(),
	}
	gateway.requests, gateway.endRequests = context.WithCancel(context.Background())
	gateway.client = upstream.New(config.Upstream)
	gateway.health = newServerHealth(config.Observe, clock, gateway.client)
	gateway.dispatcher = newDispatcher(balance.New(config.Balance), views, clock, gateway.client, gateway.health, config.Balance.Disabled)
	return gateway, nil
}

// Serve runs the dispatcher and the server health checks until the context ends.
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

// String returns the name used in log events.
func (g *Gateway) String() string { return "gateway" }

// Listen serves the connections of a listener until the context ends. It then waits up to
// shutdownTimeout for the responses in progress and closes the remaining connections. Call
// Drain before ending the context.
func (g *Gateway) Listen(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: g.config.HeaderTimeout,
		IdleTimeout:       g.config.IdleTimeout,
		MaxHeaderBytes:    g.config.MaxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	return listen.Serve(ctx, server, listen.LimitConnections(listener, g.config.MaxConnections), shutdownTimeout)
}
