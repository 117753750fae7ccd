package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
)

const (
	// probeEvery is how often a server that was found silent is tried with a new
	// connection, by the nodes that found it so and by no other.
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	noticeBound  = 256
)

// notice is what requests, or a probe, showed of a server.
type notice struct {
	server    upstream.Server
	reachable bool
	doubt     bool // the fleet was perhaps not told that the server is silent, and is only if a probe fails
}

// suspects owns the servers that this node found silent. It tells the fleet of
// each, so that other nodes need not find out with requests of their own, looks
// whether it is back, and tells that too. A server that is merely slower than
// expected is probed first: one that takes connections has much to do and is
// none of the fleet's business.
type suspects struct {
	observe func(ctx context.Context, server string, reachable bool)
	clock   clock.Clock
	client  *upstream.Client
	notices chan notice
	probed  chan notice
	silent  map[string]string // address by name
	probing map[string]bool
}

func newSuspects(observe func(context.Context, string, bool), clock clock.Clock, client *upstream.Client) *suspects {
	if observe == nil {
		observe = func(context.Context, string, bool) {}
	}
	return &suspects{observe: observe, clock: clock, client: client, notices: make(chan notice, noticeBound),
		probed: make(chan notice, noticeBound), silent: map[string]string{}, probing: map[string]bool{}}
}

// note takes a notice; one that finds no room is dropped, as the next one says
// the same.
func (s *suspects) note(server upstream.Server, reachable bool) {
	s.offer(notice{server: server, reachable: reachable})
}

// back tells that a server answers this node again; that is news only if the
// fleet was told that it is silent.
func (s *suspects) back(server upstream.Server) {
	s.offer(notice{server: server, reachable: true, doubt: true})
}

// doubt has a server probed; the fleet is told if it does not take the
// connection.
func (s *suspects) doubt(server upstream.Server) { s.offer(notice{server: server, doubt: true}) }

func (s *suspects) offer(n notice) {
	select {
	case s.notices <- n:
	default:
	}
}

// Serve owns the suspects until the context ends.
func (s *suspects) Serve(ctx context.Context) error {
	ticker := s.clock.Ticker(probeEvery)
	defer ticker.Stop()
	clear(s.probing)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case got := <-s.notices:
			s.take(ctx, got)
		case got := <-s.probed:
			delete(s.probing, got.server.Name)
			s.takeProbe(ctx, got)
		case <-ticker.C():
			s.probeAll(ctx)
		}
	}
}

func (s *suspects) String() string { return "suspects" }

func (s *suspects) take(ctx context.Context, got notice) {
	switch {
	case got.doubt && got.reachable && s.silent[got.server.Name] == "":
		return
	case got.doubt && !got.reachable:
		s.probe(ctx, got.server, true)
		return
	case got.reachable:
		delete(s.silent, got.server.Name)
	default:
		s.silent[got.server.Name] = got.server.Address
	}
	s.observe(ctx, got.server.Name, got.reachable)
}

// takeProbe takes the outcome of a probe in. That a server which was only
// doubted is there is no news.
func (s *suspects) takeProbe(ctx context.Context, got notice) {
	got.doubt = got.doubt && got.reachable
	s.take(ctx, got)
}

// probeAll probes each silent server.
func (s *suspects) probeAll(ctx context.Context) {
	for name, address := range s.silent {
		s.probe(ctx, upstream.Server{Name: name, Address: address}, false)
	}
}

// probe opens a connection to a server. A refusal is an answer too: the machine
// is there, and requests find out by themselves.
func (s *suspects) probe(ctx context.Context, server upstream.Server, doubt bool) {
	if s.probing[server.Name] {
		return
	}
	s.probing[server.Name] = true
	go func() {
		bound, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		failure := s.client.Warm(bound, server)
		got := notice{server: server, reachable: failure == nil || failure.Kind == upstream.Refused, doubt: doubt}
		select {
		case s.probed <- got:
		case <-ctx.Done():
		}
	}()
}
