package route

import (
	"time"

	"stepwick/internal/apierror"
)

// Request holds the properties of a request that the choice of a server depends on.
type Request struct {
	ID           string
	Service      string
	FromRegion   string    // region from which the request came
	HomeRegion   string    // only region that may serve the request; "" for any
	Prefix       uint64    // hash of the shared prompt prefix; 0 for none
	Deadline     time.Time // time by which the answer has to be complete
	PromptTokens float64   // number of prompt tokens
	TriedServers []string  // servers of earlier attempts; non-empty for a retry
}

// Candidate is a server that was considered for a request.
type Candidate struct {
	Server   string
	Score    float64
	Excluded string // reason why the server was not chosen; "" if it was
}

// Choice is the decision on a request. Exactly one of Server, Err and Queued is set. If
// Queued is set, the caller calls Enqueue.
type Choice struct {
	Server  string
	Address string
	Region  string
	Err     *apierror.Error
	Queued  bool

	// EstimatedWait is the expected time in the queue.
	EstimatedWait time.Duration

	// FirstEventTimeout is the longest time to the first event that the load of the
	// server can account for; 0 if unknown.
	FirstEventTimeout time.Duration

	// Candidates are some of the servers that were considered.
	Candidates []Candidate
}

// Result is the way in which a request ended at its server.
type Result uint8

// Results.
const (
	Inconclusive Result = iota // says nothing about the server's health
	Answered                   // the answer is complete
	Refused                    // the server refused the connection
	TimedOut                   // no answer within the time-out
	Busy                       // the server rejected the request before running it
)

// Outcome reports how a request ended at a server and how long it took. Service and Duration
// are optional; without them, later requests are not rejected because of their expected
// duration.
type Outcome struct {
	Result           Result
	Service          string
	Duration         time.Duration // from the start of the attempt to its end
	TimeToFirstEvent time.Duration // from the start of the attempt to the first event; 0 without one
}
