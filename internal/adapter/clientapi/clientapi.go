// Package clientapi is the HTTP/1.1 and JSON face of a node towards callers.
// It reads requests strictly and within bounds, and writes answers that can't
// be taken for whole when they are not.
package clientapi

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Headers of the caller API.
const (
	HeaderRequestID = "Stepwick-Request-Id"
	HeaderDeadline  = "Stepwick-Deadline-Ms"
	HeaderCode      = "Stepwick-Code" // number of the result code, on faults of stepwick's own
	HeaderServer    = "Stepwick-Server"
)

// Limits bounds what one caller can cost. Zero values take the defaults named.
type Limits struct {
	BodyMax         int64         // bytes; default 1 MiB
	BodiesMax       int64         // bytes of all bodies held at once; default 64 MiB, at least four bodies
	HeaderMax       int           // bytes of all header fields together; default 16 KiB
	BodyTimeout     time.Duration // for a whole body; default 5s
	HeaderTimeout   time.Duration // for a whole header; default 5s
	IdleTimeout     time.Duration // of a kept-alive connection; default 60s
	WriteTimeout    time.Duration // for a caller to take one event or one answer; default 5s
	DeadlineMax     time.Duration // default 120s
	DeadlineDefault time.Duration // default 30s
	Connections     int           // open at once; default 4096
	Requests        int           // being served at once; default 1024
	TokensMax       float64       // of one prompt; default 1,000,000
}

func (l Limits) withDefaults() Limits {
	or(&l.BodyMax, 1<<20)
	or(&l.BodiesMax, max(64<<20, 4*l.BodyMax))
	or(&l.HeaderMax, 16<<10)
	or(&l.BodyTimeout, 5*time.Second)
	or(&l.HeaderTimeout, 5*time.Second)
	or(&l.IdleTimeout, time.Minute)
	or(&l.WriteTimeout, 5*time.Second)
	or(&l.DeadlineMax, 120*time.Second)
	or(&l.DeadlineDefault, 30*time.Second)
	or(&l.Connections, 4096)
	or(&l.Requests, 1024)
	or(&l.TokensMax, 1e6)
	return l
}

// in returns an instant by the machine's own clock, which connections go by
// also where the node's clock is stepped.
func in(d time.Duration) time.Time { return clock.System().Now().Add(d) }

func or[T int | int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Head is what every call carries.
type Head struct {
	ID       string    // request id, given by the caller or made
	Key      string    // the caller's
	Arrived  time.Time // the earliest moment at which it may have reached the node
	Deadline time.Time

	bounded bool // the caller gave the deadline in the header
}

// Connect asks which nodes to talk to.
type Connect struct {
	Head
	Service string
	Region  string // of the caller; "" means the node's own
	Zone    string
}

// Node is one node that a caller may talk to.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// Nearest is the answer to Connect, nearest ready nodes first.
type Nearest struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service,omitempty"`
	Region    string `json:"region"`
	Nodes     []Node `json:"nodes"`
}

// Prompt asks a model service for a streamed answer.
type Prompt struct {
	Head
	Service       string
	Prefix        string // shared by many prompts
	Session       string
	PrefixTokens  int
	SessionTokens int
	MaxTokens     int
	Region        string // of the caller; "" means the node's own
	Home          string // region that the prompt is bound to; "" for the tenant's, if any
}

// Tokens is what the prompt costs.
func (p *Prompt) Tokens() float64 {
	return float64(p.PrefixTokens) + float64(p.SessionTokens) + float64(p.MaxTokens)
}

// OneShot is a call to a web service that is never run twice.
type OneShot struct {
	Head
	Service string
	Region  string
	Method  string
	Path    string // escaped, with its leading slash
	Query   string // raw
	Header  http.Header
	Body    []byte
}

// Answer is a whole answer of a web server.
type Answer struct {
	Server string
	Status int
	Header http.Header
	Body   []byte
}

// RequestHandler is what stands behind the API.
type RequestHandler interface {
	// EarliestArrival returns the earliest moment at which a request that is read now
	// may have reached the node.
	EarliestArrival() time.Time
	// Authenticate tells, before a body is read, whether a call may be made at all.
	Authenticate(head *Head) *apierror.Error
	Connect(ctx context.Context, ask *Connect) (*Nearest, *apierror.Error)
	// Prompt passes events on to the stream. A fault before the first event
	// becomes the answer, one after it cuts the stream.
	Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error
	OneShot(ctx context.Context, shot *OneShot) (*Answer, *apierror.Error)
	// Ready tells whether the node takes traffic.
	Ready() *apierror.Error
	// Standing names the standing of the core beside this front, "" on a plain
	// front. It rides the answer to the readiness check and doesn't decide it.
	Standing() string
	// Rejected hears of each request that never became a call.
	Rejected(apiErr *apierror.Error)
	// Panicked hears of a panic while a request was served.
	Panicked(id string, panicked any)
}
