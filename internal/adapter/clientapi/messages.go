package clientapi

import (
	"net/http"
	"time"
)

// Head is the part that all requests with an API key have.
type Head struct {
	ID       string    // rawRequest id, from the caller or generated
	Key      string    // the caller's API key
	Arrived  time.Time // the earliest time at which it may have reached the node
	Deadline time.Time

	deadlineGiven bool // the caller gave the deadline in the header
}

// Connect requests the nodes that the caller should use.
type Connect struct {
	Head
	Service string
	Region  string // of the caller; "" means the node's own
	Zone    string
}

// Node is one node that a caller may use.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// NearestNodes is the answer to Connect, nearest ready nodes first.
type NearestNodes struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service,omitempty"`
	Region    string `json:"region"`
	Nodes     []Node `json:"nodes"`
}

// Prompt requests a streamed answer of a model service.
type Prompt struct {
	Head
	Service       string
	Prefix        string // shared by many prompts
	Session       string
	PrefixTokens  int
	SessionTokens int
	MaxTokens     int
	Region        string // of the caller; "" means the node's own
	Home          string // region that must serve the prompt; "" for the tenant's, if any
}

// Tokens returns the cost of the prompt.
func (p *Prompt) Tokens() float64 {
	return float64(p.PrefixTokens) + float64(p.SessionTokens) + float64(p.MaxTokens)
}

// OneShot is a call to a web service that must run at most once.
type OneShot struct {
	Head
	Service string
	Region  string // of the caller; "" means the node's own
	Method  string
	Path    string // escaped, with its leading slash
	Query   string // raw
	Header  http.Header
	Body    []byte
}

// Answer is a complete answer of a web server.
type Answer struct {
	Server string
	Status int
	Header http.Header
	Body   []byte
}
