package sheet

import "encoding/json"

// Kinds of routes. A safe request may be executed more than once; an unsafe one
// at most once each time that a client sends it. A stream is answered by a series
// of events and may be executed again only if the route is resumable.
const (
	RouteSafe   = "safe"
	RouteUnsafe = "unsafe"
	RouteStream = "stream"
)

// Upper bounds on routes and client limits.
const (
	MaxRoutes      = 1 << 14
	MaxSplits      = 32 // of one route; also bounds its attempts
	MaxDurationMS  = 24 * 60 * 60 * 1000
	MaxPrefixBytes = 1024
	MaxHostBytes   = 255
	MaxClientLimit = 1 << 30 // bytes or milliseconds
)

// Split is one destination of a route. Its weight is relative to the sum of the
// weights of the route.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route selects the services that answer requests for a host under a path prefix.
// Among the routes of a host, the one with the longest matching prefix applies.
type Route struct {
	Host   string  `json:"host"`
	Prefix string  `json:"prefix"` // begins and ends with a slash
	Kind   string  `json:"kind"`   // safe, unsafe or stream
	Splits []Split `json:"splits"`
	// TimeoutMS is the time, in milliseconds, within which a request is answered
	// or fails.
	TimeoutMS int `json:"timeout_ms"`
	// ObjectiveMS is the latency objective, in milliseconds, for the answer or for
	// the first event of a stream. EventGapMS is the objective, in milliseconds, for the
	// time between two events. Zero means no objective.
	ObjectiveMS    int      `json:"objective_ms,omitempty"`
	EventGapMS     int      `json:"gap_ms,omitempty"`
	Priority       int      `json:"priority,omitempty"` // 0 is the most urgent
	Attempts       int      `json:"attempts,omitempty"` // maximum number of servers that may execute one request; 0 means 1
	Public         bool     `json:"public,omitempty"`   // requests need no key
	Affinity       bool     `json:"affinity,omitempty"` // requests with a common prompt prefix go to one server
	Resumable      bool     `json:"resumable,omitempty"`
	AllowedRegions []string `json:"homes,omitempty"` // regions that may serve its requests; empty for all
	// Origin is the row in the format of the adapter that submitted it. It is
	// retained so that the adapter can return it unchanged, and is not interpreted
	// elsewhere.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Idempotent reports whether a request of the route may be executed more than
// once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// ClientLimits bounds the size, in bytes, of the header and body of a request that
// matches a route, and the time, in milliseconds, that a client may take to send
// the header or may stay idle. Zero selects the node's setting.
type ClientLimits struct {
	HeaderBytes     int             `json:"header_bytes,omitempty"`
	BodyBytes       int             `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int             `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int             `json:"idle_timeout_ms,omitempty"`
	Origin          json.RawMessage `json:"origin,omitempty"`
}
