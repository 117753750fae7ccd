package balance

import (
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// View is a node's view of the fleet. Its maps and slices must not be modified after
// they are passed to Update.
type View struct {
	State   statemachine.State
	Servers map[string]*wire.ServerStatus
	// Fronts are the names of the nodes that carry traffic. The node itself is always
	// counted, even if it is not listed.
	Fronts []string
	// Members are the names of all nodes in the membership, on which all nodes agree,
	// whether or not they are known to carry traffic.
	Members []string
	// FleetNow is the current fleet time, in which the end of a server's slow start is
	// given.
	FleetNow time.Time
}

// Request holds the properties of a request that server selection depends on.
type Request struct {
	ID      string
	Service string
	// Route is the name of the route. Requests of a route are expected to be similar.
	Route string
	// MaxEventGap is the route's objective for the longest time between two events of a
	// stream; zero if it has none.
	MaxEventGap time.Duration
	// AllowedRegions are the regions that may serve the request; empty for all.
	AllowedRegions []string
	// PrefixDigest is the digest of the prompt's shared prefix; zero for none.
	PrefixDigest uint64
	// SharedTokens is the number of tokens in the prompt's shared prefix, which a server
	// may have in its prefix cache.
	SharedTokens float64
	// UnsharedTokens is the number of the prompt's other tokens.
	UnsharedTokens float64
	// OutputTokens is the maximum number of tokens in the response; zero if unknown.
	OutputTokens float64
	// Urgency is the priority of the request; zero is the most urgent.
	Urgency int
	// QueueUntil is the time until which the request may wait for capacity.
	QueueUntil time.Time
	// ExcludedServers are the servers on which the request was already tried.
	ExcludedServers []string
	// Retry is set if the request was sent to a server before, so that sending it again
	// is charged to the retry budget.
	Retry bool
}

// promptTokens returns the number of tokens in the prompt, including the shared prefix.
func (r *Request) promptTokens() float64 { return r.UnsharedTokens + r.SharedTokens }

// Choice is the result of server selection for a request: a server, an instruction to
// wait for capacity, or an error.
type Choice struct {
	Server  string
	Address string
	Wait    bool
	Err     *apierror.Error
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeCancelled means that the attempt was cancelled, which says nothing about
	// the server's health.
	OutcomeCancelled Outcome = iota
	// OutcomeSucceeded means that the server's response was complete.
	OutcomeSucceeded
	// OutcomeServerError means that the server's response was complete and reports a
	// server error (5xx).
	OutcomeServerError
	// OutcomeRejected means that the server reports that it did not execute the request.
	OutcomeRejected
	// OutcomeRefused means that the server refused the connection.
	OutcomeRefused
	// OutcomeReplaced means that another server has taken over the address, so that this
	// server is permanently excluded.
	OutcomeReplaced
	// OutcomeFailed means that there was no response, or an incomplete one.
	OutcomeFailed
	// OutcomeUnresponsive means that the server's machine acknowledged no data, or that
	// no connection could be opened.
	OutcomeUnresponsive
)
