package sheet

import (
	"slices"
	"strings"
)

func (s *Sheet) checkRoutes(violations *violationList) {
	if len(s.Routes) > MaxRoutes {
		violations.addf("routes: %d routes exceed the limit of %d", len(s.Routes), MaxRoutes)
		return
	}
	type hostPrefix struct{ host, prefix string }
	routeNames := make(map[hostPrefix]string, len(s.Routes))
	for _, name := range sortedNames(s.Routes) {
		if !ValidName(name) {
			violations.addf("routes: %s is not a valid name", quoted(name))
			continue
		}
		route := s.Routes[name]
		s.checkRoute(violations, "routes."+name, route)
		key := hostPrefix{strings.ToLower(route.Host), route.Prefix}
		if other, taken := routeNames[key]; taken {
			violations.addf("routes.%s: routes.%s has the same host and prefix", name, other)
		}
		routeNames[key] = name
	}
}

func (s *Sheet) checkRoute(violations *violationList, cell string, route Route) {
	if route.Host == "" || len(route.Host) > MaxHostBytes {
		violations.addf("%s.host: the length of %d bytes is not between 1 and %d", cell, len(route.Host), MaxHostBytes)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") || len(route.Prefix) > MaxPrefixBytes {
		violations.addf("%s.prefix: %s does not begin and end with a slash, or exceeds the limit of %d bytes", cell, quoted(route.Prefix), MaxPrefixBytes)
	}
	if !slices.Contains([]string{RouteSafe, RouteUnsafe, RouteStream}, route.Kind) {
		violations.addf("%s.kind: %s is not one of safe, unsafe and stream", cell, quoted(route.Kind))
	}
	if route.TimeoutMS <= 0 || route.TimeoutMS > MaxDurationMS {
		violations.addf("%s.timeout_ms: %d is not between 1 and %d", cell, route.TimeoutMS, MaxDurationMS)
	}
	for column, value := range map[string]int{"objective_ms": route.ObjectiveMS, "gap_ms": route.EventGapMS} {
		if value < 0 || value > MaxDurationMS {
			violations.addf("%s.%s: %d is not between 0 and %d", cell, column, value, MaxDurationMS)
		}
	}
	if route.Priority < 0 || route.Priority > MaxPriority {
		violations.addf("%s.priority: %d is not between 0 and %d", cell, route.Priority, MaxPriority)
	}
	if route.Attempts < 0 || route.Attempts > MaxSplits {
		violations.addf("%s.attempts: %d is not between 0 and %d", cell, route.Attempts, MaxSplits)
	}
	s.checkSplits(violations, cell, route.Splits)
	checkAllowedRegions(violations, cell, route.AllowedRegions)
}

func (s *Sheet) checkSplits(violations *violationList, cell string, splits []Split) {
	if len(splits) > MaxSplits {
		violations.addf("%s.splits: %d splits exceed the limit of %d", cell, len(splits), MaxSplits)
		return
	}
	total := 0.0
	for i, split := range splits {
		service, exists := s.Services[split.Service]
		switch {
		case !exists:
			violations.addf("%s.splits.%d: no service %s", cell, i, quoted(split.Service))
		case service.Kind != KindHTTP:
			violations.addf("%s.splits.%d: %s is not an http service", cell, i, split.Service)
		}
		if !validNumber(split.Weight) {
			violations.addf("%s.splits.%d: weight %v is out of bounds", cell, i, split.Weight)
			continue
		}
		total += split.Weight
	}
	if total <= 0 {
		violations.addf("%s.splits: no service has a weight above zero", cell)
	}
}

// checkAllowedRegions checks the regions to which a route or tenant is restricted.
func checkAllowedRegions(violations *violationList, cell string, homes []string) {
	if len(homes) > MaxAllowedRegions {
		violations.addf("%s.homes: %d regions exceed the limit of %d", cell, len(homes), MaxAllowedRegions)
	}
	for _, home := range homes {
		if !ValidName(home) {
			violations.addf("%s.homes: %s is not a valid name", cell, quoted(home))
		}
	}
}

func (s *Sheet) checkLimits(violations *violationList) {
	if s.Limits == nil {
		return
	}
	values := map[string]int{
		"header_bytes":      s.Limits.HeaderBytes,
		"body_bytes":        s.Limits.BodyBytes,
		"header_timeout_ms": s.Limits.HeaderTimeoutMS,
		"idle_timeout_ms":   s.Limits.IdleTimeoutMS,
	}
	for column, value := range values {
		if value < 0 || value > MaxClientLimit {
			violations.addf("limits.%s: %d is not between 0 and %d", column, value, MaxClientLimit)
		}
	}
}
