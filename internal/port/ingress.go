package port

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// ClientRequest holds what the gateway reads from the headers of a client's request,
// independent of the header names.
type ClientRequest struct {
	ID string
	// Key is the client's API key, empty for none.
	Key string
	// Timeout is how long the client waits, counted from the arrival of the request;
	// 0 if the client states nothing.
	Timeout time.Duration
	// DeclaresTokens reports whether the request declares PromptTokens and MaxOutputTokens.
	DeclaresTokens  bool
	PromptTokens    float64 // tokens of the prompt
	MaxOutputTokens float64 // maximum number of tokens to generate
	// Parts are the parts of the prompt in order. The last one is specific to the
	// request or its session.
	Parts []PromptPart
	// LastEventID is the id of the last event that the client received of the stream
	// it resumes; empty if it resumes none.
	LastEventID string
}

// Tokens returns the number of tokens charged for the request.
func (c ClientRequest) Tokens() float64 { return c.PromptTokens + c.MaxOutputTokens }

// PromptPart is a part of a prompt that a server may keep in its prefix cache.
type PromptPart struct {
	ID     uint64
	Tokens float64
}

// AttemptMetadata is sent to a server in the headers of one attempt at a request.
type AttemptMetadata struct {
	// Server is the name of the intended server. A different server at the same
	// address must not execute the request.
	Server string
	// Tenant is the tenant of the client, empty for none.
	Tenant string
	// TimeLeft is the time remaining until the deadline of the attempt.
	TimeLeft time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// LastEventID is the id of the event after which the stream resumes; empty to
	// start at its beginning.
	LastEventID string
}

// ResponseMetadata holds what a server states in the status and headers of its
// response.
type ResponseMetadata struct {
	RequestID   string
	NotExecuted bool // the server has not executed the request and never will
	WrongServer bool // the responding server is not AttemptMetadata.Server
}

// Dialect translates between the headers of a platform's HTTP interface and the types
// of the gateway. It makes no routing or admission decisions.
type Dialect interface {
	// ReadRequest reads the headers of a client's request. Its error is returned to the
	// client.
	ReadRequest(r *http.Request) (ClientRequest, *apierror.Error)
	// SetAttemptHeaders sets the headers of an attempt, and removes those that must not
	// be forwarded to the server.
	SetAttemptHeaders(header http.Header, attempt AttemptMetadata)
	// ReadResponse interprets the status and headers of a server's response.
	ReadResponse(status int, header http.Header) ResponseMetadata
	// WriteError writes an error as the response to the client's request with the
	// given id.
	WriteError(w http.ResponseWriter, id string, apiErr *apierror.Error)
}

// Node is the interface of a process for the adapter of a platform.
type Node interface {
	// Ready returns nil if the process accepts traffic, or the reason why it does not.
	Ready() *apierror.Error
	// NearestFronts returns the addresses of the fronts to which a client in the region
	// should send its requests: at most limit addresses, in random order. If the region
	// has no ready front, they are those of fronts in other regions.
	NearestFronts(region string, limit int) []string
	// Order forwards an operator's order to a core; see wire.OrderRequest.
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
	// SetSeeds replaces the seed addresses with which the process was started.
	SetSeeds(ctx context.Context, seeds []string)
}
