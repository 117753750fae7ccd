// Package sheet is the configuration of a fleet: the document that operators
// submit (they call it the sheet), its checks, and the ways to change, compare
// and look it up. A sheet has tables (services, weights, tenants, routes,
// settings and the limits of clients), a table has rows by name, and a cell is
// addressed by a path such as weights.chat.lagos.
//
// Invariants: everything here is a pure function of its arguments and gives the
// same bytes on every machine; a sheet that is in force is never changed, but
// copied where it differs.
//
// The package knows neither versions nor the order of changes: see package
// statemachine.
package sheet

import "encoding/json"

// Kinds of a service; see also KindHTTP.
const (
	KindModel = "model"
	KindWeb   = "web"
	// KindHTTP is the kind of a service whose servers take plain HTTP requests.
	// Clients reach it through the sheet's routes; it needs no weights, since a
	// route may go to any region that the route and the tenant allow.
	KindHTTP = "http"
)

// Units in which a tenant's rate limit is counted.
const (
	UnitTokens   = "tokens"
	UnitRequests = "requests"
)

// Bounds of a sheet.
const (
	MaxBytes    = 16 << 20 // of Size
	MaxName     = 64       // bytes
	MaxServices = 1024
	MaxRegions  = 256 // of one service's weights
	MaxTenants  = 1 << 16
	MaxKeys     = 64 // of one tenant
	MaxSettings = 256
	MaxSetting  = 1024 // bytes of one value
	MaxNumber   = 1e12
	MaxPriority = 99
	MaxHomes    = 64 // of one route or tenant
)

// Sheet is the document. Weights are by service, then region. Settings are
// those that may change at run time.
type Sheet struct {
	Services map[string]Service            `json:"services"`
	Weights  map[string]map[string]float64 `json:"weights,omitempty"`
	Tenants  map[string]Tenant             `json:"tenants,omitempty"`
	Settings map[string]string             `json:"settings,omitempty"`
	Routes   map[string]Route              `json:"routes,omitempty"`
	Limits   *ClientLimits                 `json:"limits,omitempty"`
	// Origin is what an adapter's form of the document has besides the tables.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Service is one row of the services.
type Service struct {
	Kind string `json:"kind"`
	// PlainTokens is how many tokens one one-shot call costs its tenant; zero
	// means the default.
	PlainTokens float64 `json:"plain_tokens,omitempty"`
	// The remaining fields concern services of KindHTTP only.

	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections bounds the connections to one server from all nodes
	// together; zero means no bound.
	MaxConnections int `json:"max_connections,omitempty"`
	// SlowStartRate is how many requests a second a server that is warming up
	// gets from all nodes together; zero means that servers need no slow start.
	// SlowStartMS is how long a server warms up after its start, in
	// milliseconds.
	SlowStartRate float64 `json:"cold_per_second,omitempty"`
	SlowStartMS   int     `json:"cold_ms,omitempty"`
	// Origin is the row in the form of the adapter that it came from; see Route.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Tenant is one row of the tenants.
type Tenant struct {
	Rate      float64  `json:"rate"`            // units a second
	Burst     float64  `json:"burst,omitempty"` // units
	Home      string   `json:"home,omitempty"`  // a region, or empty
	KeyHashes []string `json:"keys,omitempty"`  // SHA-256, in lower-case hexadecimal
	// The remaining fields concern requests that match a route.

	Priority int    `json:"priority,omitempty"` // 0 is the most urgent; overrides the route's
	Unit     string `json:"unit,omitempty"`     // tokens (also when empty) or requests
	// PlainTokens is how many tokens a request that states none counts for; zero
	// means the node's setting.
	PlainTokens float64  `json:"plain_tokens,omitempty"`
	Homes       []string `json:"homes,omitempty"` // the only regions that may serve it; empty for all
	// Origin is the row in the form of the adapter that it came from; see Route.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// concernsRoutes reports whether a tenant has columns that concern routes; its
// row is then one cell.
func (t Tenant) concernsRoutes() bool {
	return t.Priority != 0 || t.Unit != "" || t.PlainTokens != 0 || len(t.Homes) > 0 || t.Origin != nil
}

// Estimated bytes of a sheet's rows as JSON, besides their names and texts.
const (
	sheetBytes   = 64
	serviceBytes = 40
	routeBytes   = 200
	splitBytes   = 64
	weightsBytes = 8
	weightBytes  = 12
	tenantBytes  = 64
	keyHashBytes = 67
	settingBytes = 8
)

// Size returns about how many bytes the sheet takes as JSON.
func (s *Sheet) Size() int {
	size := sheetBytes
	for name := range s.Services {
		size += len(name) + serviceBytes + len(s.Services[name].Origin)
	}
	for name, route := range s.Routes {
		size += len(name) + routeBytes + len(route.Host) + len(route.Prefix) + splitBytes*len(route.Splits) + len(route.Origin)
	}
	for service, weights := range s.Weights {
		size += len(service) + weightsBytes
		for region := range weights {
			size += len(region) + weightBytes
		}
	}
	for name, tenant := range s.Tenants {
		size += len(name) + len(tenant.Home) + tenantBytes + keyHashBytes*len(tenant.KeyHashes) + len(tenant.Origin)
	}
	for name, value := range s.Settings {
		size += len(name) + len(value) + settingBytes
	}
	return size
}
