package balance

import (
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// View is what the node knows of the fleet. Its maps are not changed after Update
// has received them.
type View struct {
	State   statemachine.State
	Servers map[string]*wire.ServerStatus
	// Fronts are the names of the nodes that carry traffic. The node itself counts
	// even where it is missing.
	Fronts []string
	// Members are the names of all nodes of the membership, on which all nodes agree,
	// whether they are known to carry traffic now or not.
	Members []string
	// FleetNow is the fleet's time, by which servers are in slow start.
	FleetNow time.Time
}

// Request is what the choice of a server depends on.
type Request struct {
	ID      string
	Service string
	// Route names the route, whose requests resemble each other.
	Route string
	// MaxEventGap is the longest time between two events of a stream that is on time;
	// zero where the route has no such objective.
	MaxEventGap time.Duration
	// Regions are those that may serve the request; empty for all.
	Regions []string
	// Affinity is the digest of the prompt's shared prefix; zero for none.
	Affinity uint64
	// SharedTokens are the prompt's tokens that a server may have in its prefix cache.
	SharedTokens float64
	// OwnTokens are the prompt's other tokens.
	OwnTokens float64
	// OutputTokens limits the tokens of the answer; zero where that is unknown.
	OutputTokens float64
	// Urgency is zero for the most urgent requests.
	Urgency int
	// QueueUntil is until when the request may wait for capacity.
	QueueUntil time.Time
	// ExcludedServers are those where the request was tried.
	ExcludedServers []string
	// Retry is set when a server got the request before, so that sending it is
	// charged to the retry budget.
	Retry bool
}

// promptTokens is the size of the whole prompt.
func (r *Request) promptTokens() float64 { return r.OwnTokens + r.SharedTokens }

// Choice is the decision on a request: a server, to wait for capacity, or an error.
type Choice struct {
	Server  string
	Address string
	Wait    bool
	Err     *apierror.Error
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// OutcomeCancelled: the attempt was cancelled, which shows nothing of the server.
	OutcomeCancelled Outcome = iota
	// OutcomeSucceeded: the server's response was complete.
	OutcomeSucceeded
	// OutcomeServerError: the server's response was complete and reports an error of
	// the server (5xx).
	OutcomeServerError
	// OutcomeRejected: the server reports that it did not execute the request.
	OutcomeRejected
	// OutcomeRefused: the server refused the connection.
	OutcomeRefused
	// OutcomeReplaced: another server has the address, so that this one is gone for
	// good.
	OutcomeReplaced
	// OutcomeFailed: there was no response, or an incomplete one.
	OutcomeFailed
	// OutcomeUnresponsive: the server's machine acknowledged nothing, or no
	// connection could be opened.
	OutcomeUnresponsive
)
