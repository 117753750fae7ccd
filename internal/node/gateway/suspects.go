package gateway

import (
	"stepwick/internal/adapter/upstream"
	"stepwick/internal/kernel"
)

const (
	// probeEvery is how often a server that was found silent is tried with a new
	// connection, by the nodes that found it so and by no other.
	probeEvery   = 500 * kernel.Millisecond
	probeTimeout = 400 * kernel.Millisecond
	noticeBound  = 256
)

// notice is what requests showed of a server.
type notice struct {
	server    upstream.Server
	reachable bool
}

// suspects owns the servers that this node found silent. It tells the fleet of
// each, so that other nodes need not find out with requests of their own, looks
// whether it is back, and tells that too.
type suspects struct {
	observe func(ctx kernel.Context, server string, reachable bool)
	clock   kernel.Clock
	client  *upstream.Client
	notices chan notice
	probed  chan notice
	silent  map[string]string // address by name
	probing map[string]bool
}

func newSuspects(observe func(kernel.Context, string, bool), clock kernel.Clock, client *upstream.Client) *suspects {
	if observe == nil {
		observe = func(kernel.Context, string, bool) {}
	}
	return &suspects{observe: observe, clock: clock, client: client, notices: make(chan notice, noticeBound),
		probed: make(chan notice, noticeBound), silent: map[string]string{}, probing: map[string]bool{}}
}

// note takes a notice; one that finds no room is dropped, as the next one says
// the same.
func (s *suspects) note(server upstream.Server, reachable bool) {
	select {
	case s.notices <- notice{server, reachable}:
	default:
	}
}

// Serve owns the suspects until the context ends.
func (s *suspects) Serve(ctx kernel.Context) error {
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
			s.take(ctx, got)
		case <-ticker.C():
			s.probe(ctx)
		}
	}
}

func (s *suspects) String() string { return "suspects" }

func (s *suspects) take(ctx kernel.Context, got notice) {
	if got.reachable {
		delete(s.silent, got.server.Name)
	} else {
		s.silent[got.server.Name] = got.server.Address
	}
	s.observe(ctx, got.server.Name, got.reachable)
}

// probe opens a connection to each silent server. A refusal is an answer too:
// the machine is there, and requests find out by themselves.
func (s *suspects) probe(ctx kernel.Context) {
	for name, address := range s.silent {
		if s.probing[name] {
			continue
		}
		s.probing[name] = true
		server := upstream.Server{Name: name, Address: address}
		go func() {
			bound, cancel := kernel.WithTimeout(ctx, probeTimeout)
			defer cancel()
			failure := s.client.Warm(bound, server)
			got := notice{server, failure == nil || failure.Kind == upstream.Refused}
			select {
			case s.probed <- got:
			case <-ctx.Done():
			}
		}()
	}
}
