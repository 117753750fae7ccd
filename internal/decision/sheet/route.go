package sheet

import "encoding/json"

// Kinds of a route. A safe request may run more than once, an unsafe one at
// most once for each time that it is sent; a stream is answered by a series of
// events, and may run again only where the route is resumable.
const (
	RouteSafe   = "safe"
	RouteUnsafe = "unsafe"
	RouteStream = "stream"
)

// Bounds of the routes and of the limits of clients.
const (
	MaxRoutes      = 1 << 14
	MaxSplits      = 32 // of one route; also the most attempts
	MaxMillisecond = 24 * 60 * 60 * 1000
	MaxPathPrefix  = 1024    // bytes
	MaxHost        = 255     // bytes
	MaxClientLimit = 1 << 30 // bytes or milliseconds
)

// Split is one destination of a route. Weights of a route are relative to
// their sum.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route selects the service that answers the requests of a host below a path
// prefix. Among the routes of a host the longest prefix wins.
type Route struct {
	Host   string  `json:"host"`
	Prefix string  `json:"prefix"` // begins and ends with a slash
	Kind   string  `json:"kind"`   // safe, unsafe or stream
	Splits []Split `json:"splits"`
	// TimeoutMS is the longest time, in milliseconds, until a request is
	// answered or fails.
	TimeoutMS int `json:"timeout_ms"`
	// ObjectiveMS is the latency objective, in milliseconds: the time to the
	// answer, or to the first event of a stream. GapMS is the objective for the
	// time between two events. Zero means none.
	ObjectiveMS int      `json:"objective_ms,omitempty"`
	GapMS       int      `json:"gap_ms,omitempty"`
	Priority    int      `json:"priority,omitempty"` // 0 is the most urgent
	Attempts    int      `json:"attempts,omitempty"` // most servers that may execute one request; 0 means 1
	Public      bool     `json:"public,omitempty"`   // needs no key
	Affinity    bool     `json:"affinity,omitempty"` // requests with a common prompt prefix go to one server
	Resumable   bool     `json:"resumable,omitempty"`
	Homes       []string `json:"homes,omitempty"` // the only regions that may serve it; empty for all
	// Origin is the row in the form of the adapter that it came from, retained so
	// that it reads back unchanged. Nothing in the product inspects it.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Idempotent reports whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// ClientLimits bound what a client of the routes may send, in bytes, and how
// long it may take to send a header or stay idle, in milliseconds. Zero means
// the node's own setting.
type ClientLimits struct {
	HeaderBytes     int             `json:"header_bytes,omitempty"`
	BodyBytes       int             `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int             `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int             `json:"idle_timeout_ms,omitempty"`
	Origin          json.RawMessage `json:"origin,omitempty"`
}
