package port

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// ClientRequest is what the gateway needs to know of a client's request,
// independent of the names of its headers.
type ClientRequest struct {
	ID string
	// Key is the client's API key, empty for none.
	Key string
	// Deadline is how long the client waits, 0 where it doesn't say.
	Deadline time.Duration
	// DeclaresTokens reports whether the request declares TokensIn and TokensOut.
	DeclaresTokens bool
	TokensIn       float64 // of the prompt
	TokensOut      float64 // at most
	// Parts are the parts of the prompt in their order. The last is the request's or
	// its session's own.
	Parts []PromptPart
	// LastEventID is that of the last event of a stream which the client resumes,
	// empty for none.
	LastEventID string
}

// Tokens returns the tokens that the request counts for.
func (c ClientRequest) Tokens() float64 { return c.TokensIn + c.TokensOut }

// PromptPart is a part of a prompt that a server may keep in its prefix cache for
// later requests.
type PromptPart struct {
	ID     uint64
	Tokens float64
}

// AttemptMetadata is what is sent to a server with one attempt at a request.
type AttemptMetadata struct {
	// Server is the name of the intended server; another one at its address must not
	// execute the request.
	Server string
	// Tenant is empty for none.
	Tenant string
	// TimeLeft is the time until the attempt's deadline.
	TimeLeft time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// LastEventID is that of the event after which a stream resumes, empty for its
	// beginning.
	LastEventID string
}

// ResponseMetadata is what a server's response holds besides its content.
type ResponseMetadata struct {
	RequestID   string
	NotExecuted bool // the server did not execute the request and will not
	WrongServer bool // the server is not the intended one
}

// Dialect translates between the headers of an HTTP interface and the gateway's
// own types. It decides nothing.
type Dialect interface {
	// ReadRequest reads the headers of a client's request. Its error is what the
	// client gets.
	ReadRequest(r *http.Request) (ClientRequest, *apierror.Error)
	// SetAttemptHeaders sets the headers of an attempt, and removes those that the
	// server must not see.
	SetAttemptHeaders(header http.Header, attempt AttemptMetadata)
	// ReadResponse reads the status and headers of a server's response.
	ReadResponse(status int, header http.Header) ResponseMetadata
	// WriteError writes an error as the response to the client's request with an id.
	WriteError(w http.ResponseWriter, id string, apiErr *apierror.Error)
}

// Node is the part of a process that a platform's adapter uses.
type Node interface {
	// Ready returns nil where the process takes traffic, and else why not.
	Ready() *apierror.Error
	// NearestFronts returns where a client of a region is to send its requests: the
	// addresses of at most so many fronts, in random order.
	NearestFronts(region string, most int) []string
	// Order forwards an operator's call to a core; see wire.OrderRequest.
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
	// SetSeeds replaces the seeds with which the process was started.
	SetSeeds(ctx context.Context, seeds []string)
}
