package port

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// Part is one part of a prompt that a server may keep for later requests.
type Part struct {
	ID     uint64
	Tokens float64
}

// Call is what the product needs to know of a client's request, whatever its
// headers are named.
type Call struct {
	ID          string
	Key         string        // the client's key; empty for none
	Deadline    time.Duration // how long the client waits; 0 where it does not say
	Sized       bool          // whether the request names its tokens
	TokensIn    float64       // of the prompt
	TokensOut   float64       // at most
	Parts       []Part        // of the prompt, in their order; the last is the request's or its session's own
	LastEventID string        // of a stream that the client takes up again
}

// Tokens returns what the request counts for in tokens.
func (c Call) Tokens() float64 { return c.TokensIn + c.TokensOut }

// Sending is what a server is told with one attempt at a request.
type Sending struct {
	Server      string        // the name of the server that is meant; another one at its address must not run it
	Tenant      string        // empty for none
	Left        time.Duration // until the attempt's deadline
	Priority    int           // 0 is the most urgent
	LastEventID string        // where a stream is to go on; empty for its beginning
}

// Said is what a server's answer says beside its content.
type Said struct {
	RequestID   string
	NotExecuted bool // the server did not run the request and will not
	Elsewhere   bool // the server is not the one that was meant
}

// Dialect translates between the headers of an HTTP interface and the
// product's own model. It decides nothing.
type Dialect interface {
	// Read tells what a client's request says.
	Read(r *http.Request) (Call, *apierror.Error)
	// Dress puts into the header of an attempt what its server is told, and
	// takes out what the server must not see.
	Dress(header http.Header, sending Sending)
	// Said tells what a server's answer says.
	Said(status int, header http.Header) Said
	// Refuse writes a fault as the answer to a client.
	Refuse(w http.ResponseWriter, id string, apiErr *apierror.Error)
}

// Node is what an Edge may ask of the process that it stands in front of.
type Node interface {
	// Ready tells whether the process takes traffic: nil, or why not.
	Ready() *apierror.Error
	// Nearest returns where a client of a region is to send its requests: the
	// addresses of at most so many fronts, in no order.
	Nearest(region string, most int) []string
	// Order hands an operator's call to a core; see wire.OrderRequest.
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
	// SetSeeds names other seeds than the process was started with.
	SetSeeds(ctx context.Context, seeds []string)
}
