// Package sheet defines the configuration document of a fleet, which operators
// call the sheet, and functions that validate, change, compare and query it. A
// sheet consists of tables (services, weights, tenants, routes, settings and
// client limits). The rows of a table have names, and a path such as
// weights.chat.lagos addresses one cell.
//
// Invariants: every function depends on its arguments only and returns the same
// bytes on every machine. A sheet that is in force is never modified: a change
// copies the tables and rows that it affects.
//
// Versions of a sheet and the order of changes are the concern of package
// statemachine.
package sheet

import "encoding/json"

// Kinds of services.
const (
	KindModel = "model"
	KindWeb   = "web"
	// KindHTTP is the kind of a service whose servers accept plain HTTP requests.
	// Clients reach it through the sheet's routes. It needs no weights, because a
	// request may go to any region that its route and tenant allow.
	KindHTTP = "http"
)

// Units of a tenant's rate limit.
const (
	UnitTokens   = "tokens"
	UnitRequests = "requests"
)

// Upper bounds on the contents of a sheet.
const (
	MaxBytes          = 16 << 20 // as estimated by Size
	MaxNameBytes      = 64
	MaxServices       = 1024
	MaxRegions        = 256 // of one service's weights
	MaxTenants        = 1 << 16
	MaxKeys           = 64 // of one tenant
	MaxSettings       = 256
	MaxSettingBytes   = 1024 // of one value
	MaxNumber         = 1e12
	MaxPriority       = 99
	MaxAllowedRegions = 64 // of one route or tenant
)

// Sheet is the configuration document of a fleet. Weights are indexed by service
// and then by region. Settings contains only those that may change at run time.
type Sheet struct {
	Services map[string]Service            `json:"services"`
	Weights  map[string]map[string]float64 `json:"weights,omitempty"`
	Tenants  map[string]Tenant             `json:"tenants,omitempty"`
	Settings map[string]string             `json:"settings,omitempty"`
	Routes   map[string]Route              `json:"routes,omitempty"`
	Limits   *ClientLimits                 `json:"limits,omitempty"`
	// Origin holds the parts of an adapter's document format that the tables do
	// not represent.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Service is a row of the services table.
type Service struct {
	Kind string `json:"kind"`
	// OneShotTokens is the number of tokens that a one-shot call costs its tenant;
	// zero selects the default.
	OneShotTokens float64 `json:"plain_tokens,omitempty"`
	// The remaining fields apply only to services of KindHTTP.

	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections limits the connections to one server from all nodes
	// together; zero means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// SlowStartRate is the rate, in requests per second, that a server in slow
	// start receives from all nodes together; zero disables slow start.
	// SlowStartMS is the duration of slow start after a server starts, in
	// milliseconds.
	SlowStartRate float64 `json:"cold_per_second,omitempty"`
	SlowStartMS   int     `json:"cold_ms,omitempty"`
	// Origin is the row in the format of the adapter that submitted it; see
	// Route.Origin.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Tenant is a row of the tenants table.
type Tenant struct {
	Rate       float64  `json:"rate"`            // units per second
	Burst      float64  `json:"burst,omitempty"` // units
	HomeRegion string   `json:"home,omitempty"`  // home region; may be empty
	KeyHashes  []string `json:"keys,omitempty"`  // SHA-256 in lower-case hexadecimal
	// The remaining fields apply to requests that match a route.

	Priority int    `json:"priority,omitempty"` // 0 is the most urgent; overrides the route's
	Unit     string `json:"unit,omitempty"`     // tokens (also when empty) or requests
	// DefaultTokens is the number of tokens charged for a request that states no
	// token count; zero selects the node's setting.
	DefaultTokens  float64  `json:"plain_tokens,omitempty"`
	AllowedRegions []string `json:"homes,omitempty"` // regions that may serve its requests; empty for all
	// Origin is the row in the format of the adapter that submitted it; see
	// Route.Origin.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// hasRouteColumns reports whether any of the columns that apply to routes is
// set. The row of such a tenant is exported as a single cell.
func (t Tenant) hasRouteColumns() bool {
	return t.Priority != 0 || t.Unit != "" || t.DefaultTokens != 0 || len(t.AllowedRegions) > 0 || t.Origin != nil
}

// Estimated JSON overhead, in bytes, of a sheet and its rows: everything but
// their names and strings.
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

// Size returns the approximate size of the sheet's JSON, in bytes.
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
		size += len(name) + len(tenant.HomeRegion) + tenantBytes + keyHashBytes*len(tenant.KeyHashes) + len(tenant.Origin)
	}
	for name, value := range s.Settings {
		size += len(name) + len(value) + settingBytes
	}
	return size
}
