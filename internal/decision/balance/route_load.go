package balance

import (
	"math"
	"slices"
	"time"
)

const (
	// maxRoutes limits the routes that are remembered.
	maxRoutes = 4096
	// loadDecayTime is the time constant by which the recent load of routes decays.
	loadDecayTime = 30 * time.Second
	// minSampleShare is the least weight of a new sample in a route's means.
	minSampleShare = 0.05
)

// routeLoads are the loads of routes.
type routeLoads struct {
	byName map[string]*routeLoad
	// ordered has the same in the order in which they were first seen, since sums
	// over them must not depend on the order of a map.
	ordered []*routeLoad
}

func newRouteLoads() routeLoads { return routeLoads{byName: map[string]*routeLoad{}} }

// routeLoad is what one node knows of the requests of one route.
type routeLoad struct {
	service     string
	maxEventGap time.Duration
	regions     []string // that may serve it; empty for all
	firstSeen   time.Time

	meanPrompt float64 // tokens
	meanOutput float64 // tokens, at most
	samples    float64 // requests seen at all

	recentLoad
}

// recentLoad decays exponentially; its values are as of decayedAt.
type recentLoad struct {
	requests      float64
	prefillTokens float64
	serverSeconds float64 // that requests were at servers
	decayedAt     time.Time
}

func (l *recentLoad) decay(now time.Time) {
	left := math.Exp(-now.Sub(l.decayedAt).Seconds() / loadDecayTime.Seconds())
	l.requests *= left
	l.prefillTokens *= left
	l.serverSeconds *= left
	l.decayedAt = now
}

// of returns the load of a request's route, with the route's current properties.
func (r *routeLoads) of(request *Request, now time.Time) *routeLoad {
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
	load.regions = request.Regions
	return load
}

// meanPrompt returns the mean tokens of the prompts at a service, zero for none.
func (r *routeLoads) meanPrompt(service string) float64 {
	tokens := 0.0
	requests := 0.0
	for _, load := range r.ordered {
		if load.service == service {
			tokens += load.meanPrompt * load.requests
			requests += load.requests
		}
	}
	if requests == 0 {
		return 0
	}
	return tokens / requests
}

// recordSent records a request of the route and the tokens that its server is
// expected to compute.
func (l *routeLoad) recordSent(request *Request, prefillTokens float64, now time.Time) {
	l.decay(now)
	l.requests++
	l.prefillTokens += prefillTokens
	l.samples++
	weight := max(minSampleShare, 1/l.samples)
	l.meanPrompt += (request.promptTokens() - l.meanPrompt) * weight
	l.meanOutput += (request.OutputTokens - l.meanOutput) * weight
}

// recordDuration records how long a request of the route was at its server.
func (l *routeLoad) recordDuration(took time.Duration, now time.Time) {
	l.decay(now)
	l.serverSeconds += took.Seconds()
}

// concurrency returns how many requests of the route this node has at servers, on
// average (Little's law over the decaying window).
func (l *routeLoad) concurrency(now time.Time) float64 {
	window := loadDecayTime.Seconds() * (1 - math.Exp(-now.Sub(l.firstSeen).Seconds()/loadDecayTime.Seconds()))
	return l.serverSeconds / max(window, 1)
}

func (l *routeLoad) servedIn(region string) bool {
	return len(l.regions) == 0 || slices.Contains(l.regions, region)
}
