package sheet

import (
	"slices"
	"strings"
)

func (s *Sheet) checkRoutes(broken *violations) {
	if len(s.Routes) > MaxRoutes {
		broken.add("routes: %d; the bound is %d", len(s.Routes), MaxRoutes)
		return
	}
	type match struct{ host, prefix string }
	matches := make(map[match]string, len(s.Routes))
	for _, name := range sortedNames(s.Routes) {
		if !ValidName(name) {
			broken.add("routes: %s is no name", quoted(name))
			continue
		}
		route := s.Routes[name]
		s.checkRoute(broken, "routes."+name, route)
		key := match{strings.ToLower(route.Host), route.Prefix}
		if other, taken := matches[key]; taken {
			broken.add("routes.%s: routes.%s has the same host and prefix", name, other)
		}
		matches[key] = name
	}
}

func (s *Sheet) checkRoute(broken *violations, cell string, route Route) {
	if route.Host == "" || len(route.Host) > MaxHost {
		broken.add("%s.host: not of 1 to %d bytes", cell, MaxHost)
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") || len(route.Prefix) > MaxPathPrefix {
		broken.add("%s.prefix: %s does not begin and end with a slash", cell, quoted(route.Prefix))
	}
	if !slices.Contains([]string{RouteSafe, RouteUnsafe, RouteStream}, route.Kind) {
		broken.add("%s.kind: %s is none of safe, unsafe and stream", cell, quoted(route.Kind))
	}
	if route.TimeoutMS <= 0 || route.TimeoutMS > MaxMillisecond {
		broken.add("%s.timeout_ms: %d is out of bounds", cell, route.TimeoutMS)
	}
	for column, value := range map[string]int{"objective_ms": route.ObjectiveMS, "gap_ms": route.GapMS} {
		if value < 0 || value > MaxMillisecond {
			broken.add("%s.%s: %d is out of bounds", cell, column, value)
		}
	}
	if route.Priority < 0 || route.Priority > MaxPriority {
		broken.add("%s.priority: %d is out of bounds", cell, route.Priority)
	}
	if route.Attempts < 0 || route.Attempts > MaxSplits {
		broken.add("%s.attempts: %d is out of bounds", cell, route.Attempts)
	}
	s.checkSplits(broken, cell, route.Splits)
	checkHomes(broken, cell, route.Homes)
}

func (s *Sheet) checkSplits(broken *violations, cell string, splits []Split) {
	if len(splits) > MaxSplits {
		broken.add("%s.splits: %d; the bound is %d", cell, len(splits), MaxSplits)
		return
	}
	total := 0.0
	for i, split := range splits {
		service, known := s.Services[split.Service]
		switch {
		case !known:
			broken.add("%s.splits.%d: no service %s", cell, i, quoted(split.Service))
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

// checkHomes checks the regions that a route or tenant is restricted to.
func checkHomes(broken *violations, cell string, homes []string) {
	if len(homes) > MaxHomes {
		broken.add("%s.homes: %d; the bound is %d", cell, len(homes), MaxHomes)
	}
	for _, home := range homes {
		if !ValidName(home) {
			broken.add("%s.homes: %s is no name", cell, quoted(home))
		}
	}
}

func (s *Sheet) checkLimits(broken *violations) {
	if s.Limits == nil {
		return
	}
	columns := map[string]int{
		"header_bytes":      s.Limits.HeaderBytes,
		"body_bytes":        s.Limits.BodyBytes,
		"header_timeout_ms": s.Limits.HeaderTimeoutMS,
		"idle_timeout_ms":   s.Limits.IdleTimeoutMS,
	}
	for column, value := range columns {
		if value < 0 || value > MaxClientLimit {
			broken.add("limits.%s: %d is out of bounds", column, value)
		}
	}
}
