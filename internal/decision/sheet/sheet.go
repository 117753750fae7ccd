// Package sheet holds the configuration that operators agree on: the sheet's
// cells and checks, the commands that change it, and the state that the log of
// agreed commands folds into. Everything here is a pure function of its
// arguments and gives the same bytes on every machine.
package sheet

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Kinds of a service.
const (
	KindModel = "model"
	KindWeb   = "web"
)

// Bounds of a sheet. MaxBytes bounds Size.
const (
	MaxBytes      = 16 << 20
	MaxName       = 64
	MaxServices   = 1024
	MaxRegions    = 256
	MaxTenants    = 1 << 16
	MaxKeys       = 64
	MaxSettings   = 256
	MaxSetting    = 1024
	MaxNumber     = 1e12
	detailedRules = 8
)

// Service is one row of the services. PlainTokens is what one one-shot call
// costs its tenant; zero means the default. The fields after it concern http
// services only.
type Service struct {
	Kind        string  `json:"kind"`
	PlainTokens float64 `json:"plain_tokens,omitempty"`
	HealthPath  string  `json:"health_path,omitempty"`
	// MaxConnections bounds the connections to one server from all nodes
	// together; zero means no bound.
	MaxConnections int `json:"max_connections,omitempty"`
	// SlowStartRate is how many requests a second a cold server bears from all
	// nodes together; zero means that servers are never cold. SlowStartMS is how long
	// a server stays cold after its start.
	SlowStartRate float64 `json:"cold_per_second,omitempty"`
	SlowStartMS   int     `json:"cold_ms,omitempty"`
	// Origin is the row in the form of the adapter that it came from; see Route.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Tenant is one row of the tenants: Rate in units a second, Burst in units,
// Home a region or empty, KeyHashes in lower-case hexadecimal SHA-256. The
// fields after them concern requests that come by a route.
type Tenant struct {
	Rate      float64  `json:"rate"`
	Burst     float64  `json:"burst,omitempty"`
	Home      string   `json:"home,omitempty"`
	KeyHashes []string `json:"keys,omitempty"`
	Priority  int      `json:"priority,omitempty"` // 0 is the most urgent; goes before the route's
	Unit      string   `json:"unit,omitempty"`     // tokens (also when empty) or requests
	// PlainTokens is what a request that names no tokens counts for; zero means
	// the node's setting.
	PlainTokens float64         `json:"plain_tokens,omitempty"`
	Homes       []string        `json:"homes,omitempty"` // the only regions that may serve it; empty for all
	Origin      json.RawMessage `json:"origin,omitempty"`
}

// Sheet is what operators submit. Weights go by service, then region. Settings
// are those that may change at run time. A sheet in a State is never changed.
type Sheet struct {
	Services map[string]Service            `json:"services"`
	Weights  map[string]map[string]float64 `json:"weights,omitempty"`
	Tenants  map[string]Tenant             `json:"tenants,omitempty"`
	Settings map[string]string             `json:"settings,omitempty"`
	Routes   map[string]Route              `json:"routes,omitempty"`
	Limits   *ClientLimits                 `json:"limits,omitempty"`
	// Origin holds what an adapter's form has beside the tables above.
	Origin json.RawMessage `json:"origin,omitempty"`
}

// Zone names a zone of a region, such as lagos/a.
func ZoneName(region, zone string) string { return region + "/" + zone }

// ValidName says whether a name may stand in a sheet: 1 to MaxName bytes of
// letters, digits, _ and -.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxName || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if r != '_' && r != '-' && !unicode.IsLetter(r) && !unicode.IsDigit(r) && !unicode.IsMark(r) {
			return false
		}
	}
	return true
}

// ValidZoneName says whether a name is that of a region or of a zone.
func ValidZoneName(name string) bool {
	region, zone, both := strings.Cut(name, "/")
	return ValidName(region) && (!both || ValidName(zone))
}

// ValidKeyHash says whether a text is a SHA-256 in lower-case hexadecimal.
func ValidKeyHash(hash string) bool {
	if len(hash) != 64 {
		return false
	}
	for i := range len(hash) {
		c := hash[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Size returns about how many bytes the sheet takes as JSON.
func (s *Sheet) Size() int {
	size := 64
	for name := range s.Services {
		size += len(name) + 40 + len(s.Services[name].Origin)
	}
	for name, route := range s.Routes {
		size += len(name) + 200 + len(route.Host) + len(route.Prefix) + 64*len(route.Splits) + len(route.Origin)
	}
	for service, row := range s.Weights {
		size += len(service) + 8
		for region := range row {
			size += len(region) + 12
		}
	}
	for name, tenant := range s.Tenants {
		size += len(name) + len(tenant.Home) + 64 + 67*len(tenant.KeyHashes) + len(tenant.Origin)
	}
	for name, value := range s.Settings {
		size += len(name) + len(value) + 8
	}
	return size
}

// Check returns nil for a sound sheet, or a fault whose detail names the first
// broken rules in the order of the cells. The code is SheetTooLarge where a
// bound on size is passed and InvalidSheet otherwise.
func (s *Sheet) Check() *apierror.Error {
	if s == nil {
		return apierror.Errorf(apierror.InvalidSheet, "no sheet")
	}
	return s.check(sortedNames(s.Tenants))
}

// check is Check for a sheet whose tenants other than those named are known to
// be sound among themselves.
func (s *Sheet) check(tenants []string) *apierror.Error {
	if size := s.Size(); size > MaxBytes {
		return apierror.Errorf(apierror.SheetTooLarge, "about %d bytes; the bound is %d", size, MaxBytes)
	}
	if len(s.Tenants) > MaxTenants || len(s.Services) > MaxServices || len(s.Settings) > MaxSettings {
		return apierror.Errorf(apierror.SheetTooLarge, "%d tenants, %d services, %d settings; the bounds are %d, %d and %d",
			len(s.Tenants), len(s.Services), len(s.Settings), MaxTenants, MaxServices, MaxSettings)
	}
	var broken rules
	s.checkServices(&broken)
	s.checkWeights(&broken)
	s.checkTenants(&broken, tenants)
	s.checkSettings(&broken)
	s.checkRoutes(&broken)
	s.checkLimits(&broken)
	return broken.fault(apierror.InvalidSheet)
}

func (s *Sheet) checkServices(broken *rules) {
	if len(s.Services) == 0 {
		broken.add("services: there is none")
	}
	for _, name := range sortedNames(s.Services) {
		service := s.Services[name]
		if !ValidName(name) {
			broken.add("services: %s is no name", strconv.Quote(strictjson.Excerpt(name)))
			continue
		}
		if service.Kind != KindModel && service.Kind != KindWeb && service.Kind != KindHTTP {
			broken.add("services.%s.kind: %s is none of model, web and http", name, strconv.Quote(strictjson.Excerpt(service.Kind)))
		}
		if service.MaxConnections < 0 || service.SlowStartMS < 0 || !validNumber(service.SlowStartRate) {
			broken.add("services.%s: a bound is below zero", name)
		}
		if !validNumber(service.PlainTokens) {
			broken.add("services.%s.plain_tokens: %v is out of bounds", name, service.PlainTokens)
		}
		if service.Kind != KindHTTP && !hasWeight(s.Weights[name]) {
			broken.add("weights.%s: no region has a weight above zero", name)
		}
	}
}

func hasWeight(row map[string]float64) bool {
	for _, weight := range row {
		if weight > 0 {
			return true
		}
	}
	return false
}

func (s *Sheet) checkWeights(broken *rules) {
	for _, service := range sortedNames(s.Weights) {
		if _, known := s.Services[service]; !known {
			broken.add("weights: no service %s", strconv.Quote(strictjson.Excerpt(service)))
			continue
		}
		row := s.Weights[service]
		if len(row) > MaxRegions {
			broken.add("weights.%s: %d regions; the bound is %d", service, len(row), MaxRegions)
		}
		for _, region := range sortedNames(row) {
			switch {
			case !ValidName(region):
				broken.add("weights.%s: %s is no name", service, strconv.Quote(strictjson.Excerpt(region)))
			case !validNumber(row[region]):
				broken.add("weights.%s.%s: %v is out of bounds", service, region, row[region])
			}
		}
	}
}

func (s *Sheet) checkTenants(broken *rules, names []string) {
	owners := make(map[string]string, len(names))
	for _, name := range names {
		tenant := s.Tenants[name]
		if !ValidName(name) {
			broken.add("tenants: %s is no name", strconv.Quote(strictjson.Excerpt(name)))
			continue
		}
		if !validNumber(tenant.Rate) {
			broken.add("tenants.%s.rate: %v is out of bounds", name, tenant.Rate)
		}
		if !validNumber(tenant.Burst) {
			broken.add("tenants.%s.burst: %v is out of bounds", name, tenant.Burst)
		}
		if tenant.Priority < 0 || tenant.Priority > MaxPriority {
			broken.add("tenants.%s.priority: %d is out of bounds", name, tenant.Priority)
		}
		if tenant.Unit != "" && tenant.Unit != UnitTokens && tenant.Unit != UnitRequests {
			broken.add("tenants.%s.unit: %s is neither tokens nor requests", name, strconv.Quote(strictjson.Excerpt(tenant.Unit)))
		}
		if !validNumber(tenant.PlainTokens) {
			broken.add("tenants.%s.plain_tokens: %v is out of bounds", name, tenant.PlainTokens)
		}
		checkHomes(broken, "tenants."+name, tenant.Homes)
		if tenant.Home != "" && !ValidName(tenant.Home) {
			broken.add("tenants.%s.home: %s is no name", name, strconv.Quote(strictjson.Excerpt(tenant.Home)))
		}
		if len(tenant.KeyHashes) > MaxKeys {
			broken.add("tenants.%s.keys: %d keys; the bound is %d", name, len(tenant.KeyHashes), MaxKeys)
		}
		for _, hash := range tenant.KeyHashes {
			if !ValidKeyHash(hash) {
				broken.add("tenants.%s.keys: %s is not 64 lower-case hexadecimal digits", name, strconv.Quote(strictjson.Excerpt(hash)))
				continue
			}
			if owner, taken := owners[hash]; taken {
				broken.add("tenants.%s.keys: %s… is already a key of %s", name, hash[:8], owner)
				continue
			}
			owners[hash] = name
		}
	}
	if len(names) < len(s.Tenants) {
		s.checkOthers(broken, names, owners)
	}
}

func (s *Sheet) checkOthers(broken *rules, names []string, owners map[string]string) {
	taken := make(map[string]string)
	for other, tenant := range s.Tenants {
		for _, hash := range tenant.KeyHashes {
			if owner, both := owners[hash]; both && owner != other {
				taken[hash] = other
			}
		}
	}
	for _, name := range names {
		for _, hash := range s.Tenants[name].KeyHashes {
			if other, both := taken[hash]; both {
				broken.add("tenants.%s.keys: %s… is already a key of %s", name, hash[:8], other)
			}
		}
	}
}

func (s *Sheet) checkSettings(broken *rules) {
	for _, name := range sortedNames(s.Settings) {
		for part := range strings.SplitSeq(name, ".") {
			if !ValidName(part) {
				broken.add("settings: %s is no name", strconv.Quote(strictjson.Excerpt(name)))
				break
			}
		}
		if value := s.Settings[name]; len(value) > MaxSetting || !utf8.ValidString(value) {
			broken.add("settings.%s: not a text of at most %d bytes", strictjson.Excerpt(name), MaxSetting)
		}
	}
}

func validNumber(v float64) bool {
	return !math.IsNaN(v) && v >= 0 && v <= MaxNumber
}

type rules struct {
	first []string
	more  int
}

func (r *rules) add(format string, args ...any) {
	if len(r.first) == detailedRules {
		r.more++
		return
	}
	r.first = append(r.first, fmt.Sprintf(format, args...))
}

func (r *rules) fault(code apierror.Code) *apierror.Error {
	if len(r.first) == 0 {
		return nil
	}
	detail := strings.Join(r.first, "; ")
	if r.more > 0 {
		detail += fmt.Sprintf("; and %d more", r.more)
	}
	return &apierror.Error{Code: code, Detail: detail}
}
