package clientapi

import (
	"net/http"
	"time"
)

// Head contains the fields that all requests with an API key have.
type Head struct {
	ID       string    // request id, from the client or generated
	Key      string    // the client's API key
	Arrived  time.Time // earliest time at which the request may have reached the node
	Deadline time.Time

	deadlineGiven bool // the header contains a deadline
}

// Connect is a request for the nodes that the client should use.
type Connect struct {
	Head
	Service string
	Region  string // of the client; "" for the node's own region
	Zone    string
}

// Node is a node that a client may use.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"` // ip:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
}

// NearestNodes is the response to Connect, nearest ready nodes first.
type NearestNodes struct {
	RequestID string `json:"request_id"`
	Service   string `json:"service,omitempty"`
	Region    string `json:"region"`
	Nodes     []Node `json:"nodes"`
}

// Prompt is a request for a streamed response from a model service.
type Prompt struct {
	Head
	Service       string
	Prefix        string // id of a prefix that many prompts share; "" for none
	Session       string
	PrefixTokens  int
	SessionTokens int
	MaxTokens     int
	Region        string // of the client; "" for the node's own region
	HomeRegion    string // region that must serve the prompt; "" for the tenant's home region, if any
}

// Tokens returns the number of tokens that the prompt counts for.
func (p *Prompt) Tokens() float64 {
	return float64(p.PrefixTokens) + float64(p.SessionTokens) + float64(p.MaxTokens)
}

// OneShot is a call to a web service that must be executed at most once.
type OneShot struct {
	Head
	Service string
	Region  string // of the client; "" for the node's own region
	Method  string
	Path    string // escaped, with a leading slash
	Query   string // raw
	Header  http.Header
	Body    []byte
}

// Response is a complete response from a web server.
type Response struct {
	Server string
	Status int
	Header http.Header
	Body   []byte
}
