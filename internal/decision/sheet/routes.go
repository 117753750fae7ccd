package sheet

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/decision/strictjson"
)

// KindHTTP is the kind of a service whose servers take plain HTTP requests.
// Clients reach it through the sheet's routes; it needs no weights, since a
// route may go to any region that the route and the tenant allow.
const KindHTTP = "http"

// Kinds of a route. A safe request may run more than once, an unsafe one at
// most once for each time that it is sent; a stream is answered by a series of
// events, and may run again only where the route is resumable.
const (
	RouteSafe   = "safe"
	RouteUnsafe = "unsafe"
	RouteStream = "stream"
)

// Units in which a tenant's allowance is counted.
const (
	UnitTokens   = "tokens"
	UnitRequests = "requests"
)

// Bounds of the tables that concern routes.
const (
	MaxRoutes      = 1 << 14
	MaxSplits      = 32
	MaxHomes       = 64
	MaxPriority    = 99
	MaxMillisecond = 24 * 60 * 60 * 1000
	MaxPathPrefix  = 1024
	MaxHost        = 255
)

// Split is one destination of a route. Weights of a route are relative to
// their sum.
type Split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route tells which service answers the requests of a host below a path
// prefix. Among the routes of a host the longest prefix wins.
type Route struct {
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"` // begins and ends with a slash
	Kind      string  `json:"kind"`   // safe, unsafe or stream
	Splits    []Split `json:"splits"`
	TimeoutMS int     `json:"timeout_ms"` // longest time that a request is held
	// ObjectiveMS is the time to the answer, or to the first event of a stream,
	// that counts as in time; GapMS the longest pause between two events.
	ObjectiveMS int      `json:"objective_ms,omitempty"`
	GapMS       int      `json:"gap_ms,omitempty"`
	Priority    int      `json:"priority,omitempty"` // 0 is the most urgent
	Attempts    int      `json:"attempts,omitempty"` // most servers for one request; 0 means 1
	Public      bool     `json:"public,omitempty"`   // needs no key
	Affinity    bool     `json:"affinity,omitempty"` // requests that share parts of a prompt go to one server
	Resumable   bool     `json:"resumable,omitempty"`
	Homes       []string `json:"homes,omitempty"` // the only regions that may serve it; empty for all
	// Origin is the row in the form of the adapter that it came from, kept so
	// that it reads back unchanged. Nothing in the product looks into it.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Idempotent says whether a request of the route may run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// ClientLimits bound what a client of the routes may send, and how long it may take
// or rest. Zero means the node's own setting.
type ClientLimits struct {
	HeaderBytes     int             `json:"header_bytes,omitempty"`
	BodyBytes       int             `json:"body_bytes,omitempty"`
	HeaderTimeoutMS int             `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int             `json:"idle_timeout_ms,omitempty"`
	Origin          json.RawMessage `json:"origin,omitempty"`
}

func (s *Sheet) checkRoutes(broken *rules) {
	if len(s.Routes) > MaxRoutes {
		broken.add("routes: %d; the bound is %d", len(s.Routes), MaxRoutes)
		return
	}
	places := make(map[[2]string]string, len(s.Routes))
	for _, name := range sortedNames(s.Routes) {
		if !ValidName(name) {
			broken.add("routes: %s is no name", strconv.Quote(strictjson.Excerpt(name)))
			continue
		}
		route := s.Routes[name]
		s.checkRoute(broken, "routes."+name, route)
		place := [2]string{strings.ToLower(route.Host), route.Prefix}
		if other, taken := places[place]; taken {
			broken.add("routes.%s: routes.%s has the same host and prefix", name, other)
		}
		places[place] = name
	}
}

func (s *Sheet) checkRoute(broken *rules, cell string, r Route) {
	if r.Host == "" || len(r.Host) > MaxHost {
		broken.add("%s.host: not of 1 to %d bytes", cell, MaxHost)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") || len(r.Prefix) > MaxPathPrefix {
		broken.add("%s.prefix: %s does not begin and end with a slash", cell, strconv.Quote(strictjson.Excerpt(r.Prefix)))
	}
	if !slices.Contains([]string{RouteSafe, RouteUnsafe, RouteStream}, r.Kind) {
		broken.add("%s.kind: %s is none of safe, unsafe and stream", cell, strconv.Quote(strictjson.Excerpt(r.Kind)))
	}
	if r.TimeoutMS <= 0 || r.TimeoutMS > MaxMillisecond {
		broken.add("%s.timeout_ms: %d is out of bounds", cell, r.TimeoutMS)
	}
	for column, value := range map[string]int{"objective_ms": r.ObjectiveMS, "gap_ms": r.GapMS} {
		if value < 0 || value > MaxMillisecond {
			broken.add("%s.%s: %d is out of bounds", cell, column, value)
		}
	}
	if r.Priority < 0 || r.Priority > MaxPriority {
		broken.add("%s.priority: %d is out of bounds", cell, r.Priority)
	}
	if r.Attempts < 0 || r.Attempts > MaxSplits {
		broken.add("%s.attempts: %d is out of bounds", cell, r.Attempts)
	}
	s.checkSplits(broken, cell, r.Splits)
	checkHomes(broken, cell, r.Homes)
}

func (s *Sheet) checkSplits(broken *rules, cell string, splits []Split) {
	if len(splits) > MaxSplits {
		broken.add("%s.splits: %d; the bound is %d", cell, len(splits), MaxSplits)
		return
	}
	total := 0.0
	for i, split := range splits {
		service, known := s.Services[split.Service]
		switch {
		case !known:
			broken.add("%s.splits.%d: no service %s", cell, i, strconv.Quote(strictjson.Excerpt(split.Service)))
		case service.Kind != KindHTTP:
			broken.add("%s.splits.%d: %s is not an http service", cell, i, split.Service)
		}
		if !validNumber(split.Weight) {
			broken.add("%s.splits.%d: weight %v is out of bounds", cell, i, split.Weight)
			continue
		}
		total += split.Weight
	}
	if total <= 0 {
		broken.add("%s.splits: no service has a weight above zero", cell)
	}
}

func checkHomes(broken *rules, cell string, homes []string) {
	if len(homes) > MaxHomes {
		broken.add("%s.homes: %d; the bound is %d", cell, len(homes), MaxHomes)
	}
	for _, home := range homes {
		if !ValidName(home) {
			broken.add("%s.homes: %s is no name", cell, strconv.Quote(strictjson.Excerpt(home)))
		}
	}
}

func (s *Sheet) checkLimits(broken *rules) {
	if s.Limits == nil {
		return
	}
	for column, value := range map[string]int{
		"header_bytes": s.Limits.HeaderBytes, "body_bytes": s.Limits.BodyBytes,
		"header_timeout_ms": s.Limits.HeaderTimeoutMS, "idle_timeout_ms": s.Limits.IdleTimeoutMS,
	} {
		if value < 0 || value > 1<<30 {
			broken.add("limits.%s: %d is out of bounds", column, value)
		}
	}
}

// Removal names rows that a merge takes away.
type Removal struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Merge returns the sheet with rows added, or replaced by name, after others
// were removed. Names that are not there need no removal. The result is not
// checked; the sheet itself, which may be nil, stays as it is.
func (s *Sheet) Merge(upsert *Sheet, remove Removal) *Sheet {
	next := Sheet{}
	if s != nil {
		next = *s
	}
	if upsert == nil {
		upsert = &Sheet{}
	}
	next.Routes = mergedRows(next.Routes, upsert.Routes, remove.Routes)
	next.Services = mergedRows(next.Services, upsert.Services, remove.Services)
	next.Tenants = mergedRows(next.Tenants, upsert.Tenants, remove.Tenants)
	next.Weights = mergedRows(next.Weights, upsert.Weights, nil)
	next.Settings = mergedRows(next.Settings, upsert.Settings, nil)
	if upsert.Limits != nil {
		next.Limits = upsert.Limits
	}
	if upsert.Origin != nil {
		next.Origin = upsert.Origin
	}
	return &next
}

func mergedRows[V any](rows, upsert map[string]V, remove []string) map[string]V {
	if len(upsert) == 0 && len(remove) == 0 {
		return rows
	}
	next := cloned(rows)
	for _, name := range remove {
		delete(next, name)
	}
	for name, row := range upsert {
		next[name] = row
	}
	return next
}
