package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// server is this node's state for one server. A server that is missing from the view
// is kept until its last attempt has finished.
type server struct {
	name   string
	hash   uint64 // xxhash of name
	status *wire.ServerStatus
	// exclusion is the reason why the server receives no requests; empty if it may
	// receive them.
	exclusion string
	replaced  bool // another server responded at its address
	removed   bool // missing from the view

	load      serverLoad
	slowStart slowStart
	suspicion suspicion
	ejection  ejection
}

// Attempt is one request sent to one server.
type Attempt struct {
	server        *server
	service       string
	route         *routeLoad
	startedAt     time.Time
	prefillTokens float64 // prompt tokens that the server is expected to prefill
	serverWasIdle bool    // this node had no other request in flight there at the start
	responded     bool
	finished      bool
}

// Server returns the name of the server that the request was sent to.
func (a *Attempt) Server() string { return a.server.name }

func newServer(name string) *server { return &server{name: name, hash: xxhash.Sum64String(name)} }

// isEligible reports whether a request may be sent to the server, regardless of its
// capacity.
func (s *server) isEligible(request *Request) bool {
	if s.exclusion != "" {
		return false
	}
	if len(request.AllowedRegions) > 0 && !slices.Contains(request.AllowedRegions, s.status.Region) {
		return false
	}
	return !slices.Contains(request.ExcludedServers, s.name)
}

func (s *server) startAttempt(attempt *Attempt, now time.Time) {
	s.load.start(attempt)
	s.slowStart.requestSent(now)
	s.ejection.requestSent()
}

func (s *server) finishAttempt(attempt *Attempt, outcome Outcome, now time.Time, config Config) {
	s.load.finish(attempt)
	s.ejection.probeInFlight = false
	switch outcome {
	case OutcomeCancelled:
	case OutcomeReplaced:
		s.replaced = true
		s.exclusion = plan.ReasonGone
	case OutcomeServerError:
		s.load.lastResponseAt = now
		s.suspicion.recordFailure(now)
		s.ejection.reset()
	case OutcomeSucceeded, OutcomeRejected:
		s.load.lastResponseAt = now
		s.suspicion.recordSuccess()
		s.ejection.reset()
	case OutcomeRefused, OutcomeUnresponsive:
		s.ejection.eject(now, config)
	case OutcomeFailed:
		s.suspicion.recordFailure(now)
		s.ejection.recordFailure(now, config)
	}
}
