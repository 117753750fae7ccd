package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A route is decode-heavy if its mean prompt is at most maxDecodePromptRatio times
	// the mean prompt of the service, and its mean output at least minDecodeOutputRatio
	// times its own mean prompt, in tokens.
	maxDecodePromptRatio = 0.7
	minDecodeOutputRatio = 0.1
	// isolatedSharePerWorkShare is the ratio of the share of servers that are isolated
	// to the share of the service's work that decode-heavy routes have. A value below 1
	// gives isolated servers more work than others, since that work has short prompts.
	isolatedSharePerWorkShare = 0.5
	// targetSlotUtilization is the fraction of the isolated servers' slots that
	// decode-heavy routes should use on average.
	targetSlotUtilization = 0.4
	// maxIsolatedShare limits the fraction of a region's servers that are isolated. If
	// decode-heavy routes need fewer than minIsolatedServers, none is isolated: long
	// prompts would lose more than decode-heavy routes gain.
	maxIsolatedShare   = 0.5
	minIsolatedServers = 1.5
	// From the first streaming request to a service until there are minStreamSamples of
	// them, decode-heavy routes are assumed to have initialDecodeWorkShare of its work.
	minStreamSamples       = 6
	initialDecodeWorkShare = 0.2
	// For overloadTime after an isolated server was overloaded, decode-heavy routes may
	// use any server. A server is overloaded when it rejects a request, or when the
	// first byte of a response takes at least overloadFactor times the expected time
	// plus overloadMargin.
	overloadTime   = 3 * time.Second
	overloadFactor = 2
	overloadMargin = 250 * time.Millisecond
	// misplacedCost is the cost, in milliseconds, that keeps decode-heavy routes on
	// isolated servers and other routes off them.
	misplacedCost = 200
	// isolationInterval is the minimum time between periodic recomputations of the
	// isolated servers.
	isolationInterval = time.Second
)

// isolation is the set of isolated servers, which are reserved for decode-heavy
// routes: those with long outputs for short prompts, whose clients notice each pause.
// Other routes avoid these servers, since the prefill of a long prompt delays every
// token of the server's other responses (prefill/decode interference). Which routes
// are decode-heavy and how many servers they need is derived from recent requests.
// All nodes order the servers of a region identically, so their isolated sets overlap
// as long as they agree approximately on the number of isolated servers.
type isolation struct {
	servers    map[string]bool
	computedAt time.Time
	// overloadedUntil is the time until which decode-heavy routes may also use servers
	// that are not isolated.
	overloadedUntil time.Time
}

// recordOverload records that a server was overloaded. It has no effect if the server
// is not isolated.
func (i *isolation) recordOverload(server string, now time.Time) {
	if i.servers[server] {
		i.overloadedUntil = now.Add(overloadTime)
	}
}

// isOverloaded reports whether the time to the first byte of a response indicates an
// overloaded server.
func isOverloaded(firstByteTime, expected time.Duration) bool {
	return firstByteTime >= overloadFactor*expected+overloadMargin
}

func (t *Table) recomputeIsolationIfDue(now time.Time) {
	if now.Sub(t.isolation.computedAt) >= isolationInterval {
		t.recomputeIsolation(now)
		t.isolation.computedAt = now
	}
}

// recomputeIsolation determines the isolated servers of each service.
func (t *Table) recomputeIsolation(now time.Time) {
	clear(t.isolation.servers)
	if t.config.Disabled[Isolation] {
		return
	}
	for service, pool := range t.pools {
		byRegion := groupByRegion(pool)
		share, regions := t.isolatedShare(service, byRegion, now)
		for region, servers := range byRegion {
			if regions[region] {
				t.isolation.markIsolated(excludeSlowStart(servers, now), share)
			}
		}
	}
}

// isDecodeHeavy reports whether a route streams long outputs for short prompts.
func (t *Table) isDecodeHeavy(load *routeLoad) bool {
	if load == nil || load.samples == 0 || load.maxEventGap <= 0 {
		return false
	}
	longOutputs := load.meanOutputTokens >= minDecodeOutputRatio*load.meanPromptTokens
	return longOutputs && load.meanPromptTokens <= maxDecodePromptRatio*t.routeLoads.meanPromptTokens(load.service)
}

// decodeDemand is the recent load of a service and of its decode-heavy routes.
type decodeDemand struct {
	prefillTokens            float64
	decodeHeavyPrefillTokens float64
	decodeHeavyConcurrency   float64
	streamSamples            float64
	// regions are the regions that may serve a decode-heavy route.
	regions map[string]bool
}

func (t *Table) computeDecodeDemand(service string, byRegion map[string][]*server, now time.Time) decodeDemand {
	demand := decodeDemand{regions: map[string]bool{}}
	for _, load := range t.routeLoads.ordered {
		if load.service != service {
			continue
		}
		load.decay(now)
		demand.prefillTokens += load.prefillTokens
		if load.maxEventGap > 0 {
			demand.streamSamples += load.samples
		}
		if !t.isDecodeHeavy(load) {
			continue
		}
		demand.decodeHeavyPrefillTokens += load.prefillTokens
		demand.decodeHeavyConcurrency += load.concurrency(now)
		for region := range byRegion {
			demand.regions[region] = demand.regions[region] || load.allowsRegion(region)
		}
	}
	return demand
}

// isolatedShare returns the fraction of each region's servers that decode-heavy routes
// need, and the regions that may serve them.
func (t *Table) isolatedShare(service string, byRegion map[string][]*server, now time.Time) (share float64, regions map[string]bool) {
	demand := t.computeDecodeDemand(service, byRegion, now)
	if demand.streamSamples > 0 && demand.streamSamples < minStreamSamples {
		for region := range byRegion {
			demand.regions[region] = true
		}
		return initialDecodeWorkShare * isolatedSharePerWorkShare, demand.regions
	}
	if demand.decodeHeavyPrefillTokens == 0 || demand.decodeHeavyPrefillTokens == demand.prefillTokens {
		return 0, nil
	}
	return t.neededShare(service, byRegion, demand), demand.regions
}

// neededShare returns the fraction of the servers in the demand's regions that
// decode-heavy routes need: the larger of what their work and their concurrency
// require. It assumes that all nodes have as many requests as this one.
func (t *Table) neededShare(service string, byRegion map[string][]*server, demand decodeDemand) float64 {
	serverCount := 0.0
	slotCount := 0.0
	for region, allowed := range demand.regions {
		if !allowed {
			continue
		}
		for _, srv := range byRegion[region] {
			serverCount++
			slotCount += float64(srv.status.Slots)
		}
	}
	if serverCount == 0 {
		return 0
	}
	workShare := demand.decodeHeavyPrefillTokens / demand.prefillTokens
	shareByWork := workShare * isolatedSharePerWorkShare * float64(len(t.pools[service])) / serverCount
	if slotCount == 0 {
		return shareByWork
	}
	return max(shareByWork, demand.decodeHeavyConcurrency*float64(len(t.fronts))/(slotCount*targetSlotUtilization))
}

// markIsolated isolates a fraction of a region's servers, in the order of their hashes.
// It sorts servers in place.
func (i *isolation) markIsolated(servers []*server, share float64) {
	needed := float64(len(servers)) * min(share, maxIsolatedShare)
	if needed < minIsolatedServers {
		return
	}
	count := int(math.Ceil(needed))
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(splitMix64Finalizer(a.hash), splitMix64Finalizer(b.hash)) })
	for _, srv := range servers[:count] {
		i.servers[srv.name] = true
	}
}

// excludeSlowStart returns the servers that are not in slow start. Servers in slow
// start accept too few requests to be isolated.
func excludeSlowStart(servers []*server, now time.Time) []*server {
	return slices.DeleteFunc(slices.Clone(servers), func(srv *server) bool { return srv.slowStart.active(now) })
}

func groupByRegion(pool []*server) map[string][]*server {
	byRegion := map[string][]*server{}
	for _, srv := range pool {
		byRegion[srv.status.Region] = append(byRegion[srv.status.Region], srv)
	}
	return byRegion
}

// isMisplaced reports whether a request should avoid a server because of isolation:
// the server is isolated and the route is not decode-heavy, or the reverse.
func (t *Table) isMisplaced(srv *server, request *Request, now time.Time) bool {
	switch {
	case len(t.isolation.servers) == 0:
		return false
	case t.isDecodeHeavy(t.routeLoads.byName[request.Route]):
		return !t.isolation.servers[srv.name] && !now.Before(t.isolation.overloadedUntil)
	}
	return t.isolation.servers[srv.name]
}
