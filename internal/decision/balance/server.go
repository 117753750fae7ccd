package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/decision/plan"
	"stepwick/internal/wire"
)

// server is what one node knows of one server. One that the view lacks is kept until
// its last attempt has finished.
type server struct {
	name   string
	hash   uint64 // of the name
	status *wire.ServerStatus
	// exclusion is why the server gets no requests; empty where it may get them.
	exclusion string
	replaced  bool // another server was found at its address
	removed   bool // the view lacks it

	load      serverLoad
	slowStart slowStart
	suspicion suspicion
	ejection  ejection
}

// Attempt is one request at one server.
type Attempt struct {
	server        *server
	service       string
	route         *routeLoad
	began         time.Time
	prefillTokens float64 // that the server is expected to compute
	alone         bool    // no other request of this node was at the server when it began
	responded     bool
	finished      bool
}

// Server returns the name of the attempt's server.
func (a *Attempt) Server() string { return a.server.name }

func newServer(name string) *server { return &server{name: name, hash: xxhash.Sum64String(name)} }

// mayServe reports whether a request may go to the server at all.
func (s *server) mayServe(request *Request) bool {
	if s.exclusion != "" {
		return false
	}
	if len(request.Regions) > 0 && !slices.Contains(request.Regions, s.status.Region) {
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
	s.ejection.probing = false
	switch outcome {
	case OutcomeCancelled:
	case OutcomeReplaced:
		s.replaced = true
		s.exclusion = plan.ReasonGone
	case OutcomeServerError:
		s.load.lastResponse = now
		s.suspicion.recordFailure(now)
		s.ejection.reset()
	case OutcomeSucceeded, OutcomeRejected:
		s.load.lastResponse = now
		s.suspicion.recordSuccess()
		s.ejection.reset()
	case OutcomeRefused, OutcomeUnresponsive:
		s.ejection.eject(now, config)
	case OutcomeFailed:
		s.suspicion.recordFailure(now)
		s.ejection.recordFailure(now, config)
	}
}
