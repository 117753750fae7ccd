package route

import (
	"time"

	"stepwick/internal/apierror"
)

// Request is what the choice of a server depends on.
type Request struct {
	ID         string
	Service    string
	FromRegion string    // region of origin
	Home       string    // region that the request is bound to; "" for none
	Prefix     uint64    // digest of the shared prompt prefix; 0 for none
	Deadline   time.Time // by which the answer has to be complete
	Tokens     float64   // of the prompt
	Tried      []string  // servers of earlier attempts; not empty for a retry
}

// Candidate is a server that was considered for a request.
type Candidate struct {
	Server   string
	Score    float64
	Excluded string // reason why it was not chosen; "" for the chosen one
}

// Choice is a server, or an error, or Queued: then the caller calls Enqueue.
type Choice struct {
	Server  string
	Address string
	Region  string
	Err     *apierror.Error
	Queued  bool

	// EstimatedWait is how long the request is expected to be queued.
	EstimatedWait time.Duration

	// FirstEventTimeout is the time without a first event that the server's load can
	// explain; 0 if that is unknown.
	FirstEventTimeout time.Duration

	Candidates []Candidate
}

// Result is how a request ended at its server.
type Result uint8

// Results.
const (
	Inconclusive Result = iota // nothing about the server
	Answered                   // the answer is complete
	Refused                    // the connection was refused
	TimedOut                   // no answer within the time-out
	Busy                       // the server rejected the request before it began
)

// Outcome is how a request ended at a server, and how long it took. Service and Took
// are optional: without them requests aren't rejected for their expected duration.
type Outcome struct {
	Result     Result
	Service    string
	Took       time.Duration // from start to end
	FirstToken time.Duration // from start to the first event; 0 if none came
}
