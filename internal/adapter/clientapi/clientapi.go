// Package clientapi is the HTTP/1.1 and JSON API of a node for callers. It parses
// requests strictly and within bounds, passes them to a RequestHandler, and writes
// its answers.
//
// Invariants: an answer that is incomplete cannot be taken for a complete one,
// since its connection is closed in the middle of a message; what one caller can
// cost is bounded by Limits; a request beyond a limit is rejected at once.
//
// The package decides nothing about a request: API keys, quotas and servers are
// the handler's concern.
package clientapi

import (
	"context"
	"time"

	"stepwick/internal/apierror"
)

// Headers of the caller API.
const (
	// HeaderRequestID is the request's id, from the caller or generated.
	HeaderRequestID = "Stepwick-Request-Id"
	// HeaderDeadline is the request's deadline, in milliseconds from its arrival.
	HeaderDeadline = "Stepwick-Deadline-Ms"
	// HeaderCode is the number of the result code, on errors of stepwick's own.
	HeaderCode = "Stepwick-Code"
	// HeaderServer is the name of the server that answered.
	HeaderServer = "Stepwick-Server"
)

// RequestHandler serves the requests that the API has parsed. Its methods are
// called from the goroutines of many requests.
type RequestHandler interface {
	// EarliestArrival returns the earliest time at which a request that is read
	// now may have reached the node.
	EarliestArrival() time.Time
	// Authenticate returns nil if a request may be made at all, or why not. It is
	// called before the body is read.
	Authenticate(head *Head) *apierror.Error
	// Connect returns the nodes that a caller should use.
	Connect(ctx context.Context, request *Connect) (*NearestNodes, *apierror.Error)
	// Prompt writes events to the stream. An error before the first event becomes
	// the answer; one after it aborts the stream.
	Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error
	// OneShot runs a call at most once and returns its complete answer.
	OneShot(ctx context.Context, request *OneShot) (*Answer, *apierror.Error)
	// Ready returns nil if the node takes traffic, or why not.
	Ready() *apierror.Error
	// Standing returns the standing of the core on this node, "" on a plain front.
	// The answer to the readiness check contains it but does not depend on it.
	Standing() string
	// Rejected is called for each request that the API itself rejects.
	Rejected(apiErr *apierror.Error)
	// Panicked is called for each panic while a request is served.
	Panicked(id string, panicked any)
}
