// Package clientapi implements the HTTP/1.1 and JSON API of a node for clients. It
// parses requests strictly and within limits, passes them to a RequestHandler and
// writes the responses.
//
// Invariants: a client cannot mistake an incomplete response for a complete one, since
// the connection is closed in the middle of a message; the resources that a client can
// use are bounded by Limits; a request beyond a limit is rejected at once.
//
// API keys, quotas and the selection of servers are the concern of the handler.
package clientapi

import (
	"context"
	"time"

	"stepwick/internal/apierror"
)

// Headers of the client API.
const (
	// HeaderRequestID is the request's id, from the client or generated.
	HeaderRequestID = "Stepwick-Request-Id"
	// HeaderDeadline is the request's deadline in milliseconds after its arrival.
	HeaderDeadline = "Stepwick-Deadline-Ms"
	// HeaderCode is the number of the result code, on errors that stepwick generates.
	HeaderCode = "Stepwick-Code"
	// HeaderServer is the name of the server that served a one-shot call.
	HeaderServer = "Stepwick-Server"
)

// RequestHandler serves the requests that the API has parsed. Its methods are called
// concurrently.
type RequestHandler interface {
	// EarliestArrival returns the earliest time at which a request that is read now may
	// have reached the node. After a pause of the process, that is before now.
	EarliestArrival() time.Time
	// Authenticate returns nil if the request is to be served, or why it is rejected.
	// It is called before the body is read.
	Authenticate(head *Head) *apierror.Error
	// Connect returns the nodes that a client should use.
	Connect(ctx context.Context, request *Connect) (*NearestNodes, *apierror.Error)
	// Prompt writes the events of the response to the stream. An error before the first
	// event becomes the response; a later one aborts the stream.
	Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error
	// OneShot executes a call at most once and returns the complete response.
	OneShot(ctx context.Context, request *OneShot) (*Response, *apierror.Error)
	// Ready returns nil if the node accepts traffic, or why not.
	Ready() *apierror.Error
	// Standing returns the standing of the core in this process, "" if the process is
	// not a core. The response to the readiness check contains it, but the result of
	// the check does not depend on it.
	Standing() string
	// Rejected is called for each request that gets an error as its response, except
	// for those that were passed to Prompt, OneShot or Ready.
	Rejected(apiErr *apierror.Error)
	// Panicked is called for each panic while a request with the id is served.
	Panicked(id string, panicked any)
}
