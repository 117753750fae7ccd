package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
)

const (
	// probeInterval is the time between probes of an unresponsive server. Only nodes that
	// found it unresponsive themselves probe it.
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 400 * time.Millisecond
	maxObservations = 256
)

// observationKind is a change of a server's health, as observed by requests or a probe.
type observationKind int

const (
	// serverUnresponsive means that the server is reported to the fleet as unreachable
	// and probed until it responds.
	serverUnresponsive observationKind = iota
	// serverResponsive means that the server is reported to the fleet as reachable.
	serverResponsive
	// serverRecovered means that the server responds again. It is reported as reachable
	// only if this node has reported it as unreachable.
	serverRecovered
	// serverStalled means that the server is slower than expected. It is probed before
	// anything is reported.
	serverStalled
)

type observation struct {
	server upstream.Server
	kind   observationKind
}

// serverHealth owns the set of servers that this node found unresponsive. It reports each
// of them to the fleet, so that other nodes need not lose requests to detect it, probes
// it until it responds, and reports that too. A server that is only slower than expected
// is probed first: if it accepts connections it is busy, which is not reported.
type serverHealth struct {
	observe      func(ctx context.Context, server string, reachable bool)
	clock        clock.Clock
	client       *upstream.Client
	observations chan observation
	probeResults chan observation
	unresponsive map[string]string // address by server name
	probing      map[string]bool
}

// newServerHealth returns a serverHealth that reports to the fleet by observe, which may
// be nil.
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

// report reports a server to the fleet as reachable or not.
func (h *serverHealth) report(server upstream.Server, reachable bool) {
	kind := serverUnresponsive
	if reachable {
		kind = serverResponsive
	}
	h.offer(observation{server: server, kind: kind})
}

// reportRecovered reports a server that responds to this node again as reachable, if this
// node has reported it as unreachable.
func (h *serverHealth) reportRecovered(server upstream.Server) {
	h.offer(observation{server: server, kind: serverRecovered})
}

// probeStalled probes a server, and reports it as unreachable if it does not accept the
// connection.
func (h *serverHealth) probeStalled(server upstream.Server) {
	h.offer(observation{server: server, kind: serverStalled})
}

// offer queues an observation. It drops the observation if the queue is full, as later
// ones repeat it.
func (h *serverHealth) offer(offered observation) {
	select {
	case h.observations <- offered:
	default:
	}
}

// Serve reports and probes servers until the context ends. Its goroutine owns the set of
// unresponsive servers.
func (h *serverHealth) Serve(ctx context.Context) error {
	ticker := h.clock.Ticker(probeInterval)
	defer ticker.Stop()
	clear(h.probing)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-h.observations:
			h.applyObservation(ctx, received)
		case result := <-h.probeResults:
			delete(h.probing, result.server.Name)
			h.applyObservation(ctx, result)
		case <-ticker.C():
			h.probeUnresponsiveServers(ctx)
		}
	}
}

// String returns the name used in log events.
func (h *serverHealth) String() string { return "server health" }

func (h *serverHealth) applyObservation(ctx context.Context, received observation) {
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

func (h *serverHealth) probeUnresponsiveServers(ctx context.Context) {
	for name, address := range h.unresponsive {
		h.probe(ctx, upstream.Server{Name: name, Address: address}, serverResponsive)
	}
}

// probe opens a connection to a server, unless a probe of it is in progress. successKind
// is the kind of observation if the server responds. A refused connection also counts as
// a response: the machine is up, and requests detect the refusal themselves.
func (h *serverHealth) probe(ctx context.Context, server upstream.Server, successKind observationKind) {
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
			result.kind = successKind
		}
		select {
		case h.probeResults <- result:
		case <-ctx.Done():
		}
	}()
}
