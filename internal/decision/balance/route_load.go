package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRoutes limits the number of routes whose load is tracked.
	maxRoutes = 4096
	// loadDecayTime is the time constant of the exponential decay of recent load.
	loadDecayTime = 30 * time.Second
	// minMeanSampleWeight is the minimum weight of a new sample in a route's means.
	minMeanSampleWeight = 0.05
)

// routeLoads tracks the load of each route.
type routeLoads struct {
	byName map[string]*routeLoad
	// ordered holds the same loads in the order in which they were first seen. Sums
	// iterate over it, so that their rounding does not depend on map order.
	ordered []*routeLoad
}

func newRouteLoads() routeLoads { return routeLoads{byName: map[string]*routeLoad{}} }

// routeLoad holds this node's statistics on the requests of one route.
type routeLoad struct {
	service     string
	maxEventGap time.Duration
	regions     []string // regions that may serve the route; empty for all
	firstSeen   time.Time

	meanPromptTokens float64
	meanOutputTokens float64 // mean of the requests' OutputTokens limits
	samples          float64 // requests since firstSeen, without decay

	recentLoad
}

// recentLoad is an exponentially decaying load; its values are as of decayedAt.
type recentLoad struct {
	requests      float64
	prefillTokens float64
	serverSeconds float64 // total duration of attempts
	decayedAt     time.Time
}

func (l *recentLoad) decay(now time.Time) {
	factor := math.Exp(-now.Sub(l.decayedAt).Seconds() / loadDecayTime.Seconds())
	l.requests *= factor
	l.prefillTokens *= factor
	l.serverSeconds *= factor
	l.decayedAt = now
}

// loadOf returns the load of a request's route, updated with the route's current
// properties. It adds the route if it is not tracked yet; if maxRoutes are already
// tracked, it discards all of them first.
func (r *routeLoads) loadOf(request *Request, now time.Time) *routeLoad {
	load := r.byName[request.Route]
	if load == nil {
		if len(r.ordered) >= maxRoutes {
			clear(r.byName)
			r.ordered = nil
		}
		load = &routeLoad{firstSeen: now, recentLoad: recentLoad{decayedAt: now}}
		r.byName[request.Route] = load
		r.ordered = append(r.ordered, load)
	}
	load.service = request.Service
	load.maxEventGap = request.MaxEventGap
	load.regions = request.AllowedRegions
	return load
}

// meanPromptTokens returns the mean prompt size at a service, in tokens; zero without
// recent requests.
func (r *routeLoads) meanPromptTokens(service string) float64 {
	tokens := 0.0
	requests := 0.0
	for _, load := range r.ordered {
		if load.service == service {
			tokens += load.meanPromptTokens * load.requests
			requests += load.requests
		}
	}
	if requests == 0 {
		return 0
	}
	return tokens / requests
}

// recordSent records a request of the route and the prompt tokens that its server is
// expected to prefill.
func (l *routeLoad) recordSent(request *Request, prefillTokens float64, now time.Time) {
	l.decay(now)
	l.requests++
	l.prefillTokens += prefillTokens
	l.samples++
	weight := max(minMeanSampleWeight, 1/l.samples)
	l.meanPromptTokens += (request.promptTokens() - l.meanPromptTokens) * weight
	l.meanOutputTokens += (request.OutputTokens - l.meanOutputTokens) * weight
}

// recordDuration records the duration of an attempt of the route.
func (l *routeLoad) recordDuration(duration time.Duration, now time.Time) {
	l.decay(now)
	l.serverSeconds += duration.Seconds()
}

// concurrency returns the mean number of this node's requests of the route in flight
// (Little's law over the decaying window).
func (l *routeLoad) concurrency(now time.Time) float64 {
	window := loadDecayTime.Seconds() * (1 - math.Exp(-now.Sub(l.firstSeen).Seconds()/loadDecayTime.Seconds()))
	return l.serverSeconds / max(window, 1)
}

func (l *routeLoad) allowsRegion(region string) bool {
	return len(l.regions) == 0 || slices.Contains(l.regions, region)
}
