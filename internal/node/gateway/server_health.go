package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
)

const (
	// probeInterval is the time between probes of an unresponsive server. Only the
	// nodes that found it unresponsive probe it.
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 400 * time.Millisecond
	maxObservations = 256
)

// observationKind is what requests or a probe showed of a server.
type observationKind int

const (
	// serverUnresponsive: the server is reported to the fleet and probed until it
	// responds.
	serverUnresponsive observationKind = iota
	// serverResponsive: the server is reported to the fleet as reachable.
	serverResponsive
	// serverRecovered: the server responds again, which is reported only if this
	// node has reported it as unresponsive.
	serverRecovered
	// serverStalled: the server is slower than expected and is probed before
	// anything is reported.
	serverStalled
)

type observation struct {
	server upstream.Server
	kind   observationKind
}

// serverHealth owns the set of servers that this node found unresponsive. It
// reports each to the fleet, so that other nodes need not find out with requests
// of their own, probes it until it responds, and reports that too. A server that
// is merely slower than expected is probed first: one that accepts connections is
// busy, which is not reported.
type serverHealth struct {
	observe      func(ctx context.Context, server string, reachable bool)
	clock        clock.Clock
	client       *upstream.Client
	observations chan observation
	probeResults chan observation
	unresponsive map[string]string // address by name
	probing      map[string]bool
}

// newServerHealth returns a serverHealth that reports to observe, which may be nil.
func newServerHealth(observe func(context.Context, string, bool), clock clock.Clock, client *upstream.Client) *serverHealth {
	if observe == nil {
		observe = func(context.Context, string, bool) {}
	}
	return &serverHealth{
		observe:      observe,
		clock:        clock,
		client:       client,
		observations: make(chan observation, maxObservations),
		probeResults: make(chan observation, maxObservations),
		unresponsive: map[string]string{},
		probing:      map[string]bool{},
	}
}

// report reports a server to the fleet as reachable or unresponsive.
func (h *serverHealth) report(server upstream.Server, reachable bool) {
	kind := serverUnresponsive
	if reachable {
		kind = serverResponsive
	}
	h.offer(observation{server: server, kind: kind})
}

// reportRecovered reports that a server responds to this node again, if it was
// reported as unresponsive.
func (h *serverHealth) reportRecovered(server upstream.Server) {
	h.offer(observation{server: server, kind: serverRecovered})
}

// probeStalled has a server probed, and reported if it does not accept the connection.
func (h *serverHealth) probeStalled(server upstream.Server) {
	h.offer(observation{server: server, kind: serverStalled})
}

// offer drops an observation when the queue is full, as later ones repeat it.
func (h *serverHealth) offer(o observation) {
	select {
	case h.observations <- o:
	default:
	}
}

// Serve owns the unresponsive servers until the context ends.
func (h *serverHealth) Serve(ctx context.Context) error {
	ticker := h.clock.Ticker(probeInterval)
	defer ticker.Stop()
	clear(h.probing)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-h.observations:
			h.apply(ctx, received)
		case result := <-h.probeResults:
			delete(h.probing, result.server.Name)
			h.apply(ctx, result)
		case <-ticker.C():
			h.probeAll(ctx)
		}
	}
}

// String returns the owner's name in log events.
func (h *serverHealth) String() string { return "suspects" }

func (h *serverHealth) apply(ctx context.Context, received observation) {
	name := received.server.Name
	switch received.kind {
	case serverStalled:
		h.probe(ctx, received.server, serverRecovered)
		return
	case serverRecovered:
		if h.unresponsive[name] == "" {
			return
		}
		delete(h.unresponsive, name)
	case serverResponsive:
		delete(h.unresponsive, name)
	case serverUnresponsive:
		h.unresponsive[name] = received.server.Address
	}
	h.observe(ctx, name, received.kind != serverUnresponsive)
}

func (h *serverHealth) probeAll(ctx context.Context) {
	for name, address := range h.unresponsive {
		h.probe(ctx, upstream.Server{Name: name, Address: address}, serverResponsive)
	}
}

// probe opens a connection to a server; success is the kind of observation when it
// responds. A refused connection is a response too: the machine is up, and
// requests find out about the server themselves.
func (h *serverHealth) probe(ctx context.Context, server upstream.Server, success observationKind) {
	if h.probing[server.Name] {
		return
	}
	h.probing[server.Name] = true
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		failure := h.client.Preconnect(probeCtx, server)
		result := observation{server: server, kind: serverUnresponsive}
		if failure == nil || failure.Kind == upstream.Refused {
			result.kind = success
		}
		select {
		case h.probeResults <- result:
		case <-ctx.Done():
		}
	}()
}
