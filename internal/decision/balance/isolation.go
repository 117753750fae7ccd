package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A route is decode-heavy when its prompts have at most maxDecodePromptRatio of
	// the mean prompt at the service, and its answers at least minDecodeOutputRatio of
	// the tokens of its own prompts.
	maxDecodePromptRatio = 0.7
	minDecodeOutputRatio = 0.1
	// isolatedShareOfWork is the share of the servers that are isolated per share of
	// the work that decode-heavy routes have. Less than one gives isolated servers
	// more work than others: it is of short prompts.
	isolatedShareOfWork = 0.5
	// slotUtilization is the part of the slots of isolated servers which decode-heavy
	// routes are to fill on average.
	slotUtilization = 0.4
	// maxIsolatedShare limits the part of a region's servers that are isolated. Where
	// decode-heavy routes need less than minIsolatedServers, none is: long prompts
	// would lose more than decode-heavy routes gain.
	maxIsolatedShare   = 0.5
	minIsolatedServers = 1.5
	// Until minStreamSamples requests for streams were seen at a service,
	// decode-heavy routes are assumed to have initialDecodeShare of its work.
	minStreamSamples   = 6
	initialDecodeShare = 0.2
	// After an isolated server was overloaded, decode-heavy routes go wherever it
	// costs least for overloadTime. A server is overloaded when it rejects a request,
	// and when a response takes overloadFactor times the expected time to start and
	// overloadMargin more.
	overloadTime   = 3 * time.Second
	overloadFactor = 2
	overloadMargin = 250 * time.Millisecond
	// misplacedCost keeps long prompts from isolated servers, and decode-heavy routes
	// from the others, in milliseconds.
	misplacedCost = 200
	// isolationInterval is the time between computations of the isolated servers.
	isolationInterval = time.Second
)

// isolation is the set of servers that are isolated: set aside for decode-heavy
// routes, those with long answers to short prompts, whose clients notice each pause.
// Long prompts avoid them, since during the prefill of a long prompt a server's other
// answers wait for each of their tokens (prefill/decode interference). Which routes
// are decode-heavy is learned from their requests, and so is how many servers they
// need. All nodes order the servers of a region alike, so that they need not agree on
// more than about how many are isolated.
type isolation struct {
	servers    map[string]bool
	computedAt time.Time
	// overloadedUntil is until when decode-heavy routes may use other servers too.
	overloadedUntil time.Time
}

// recordOverload records that a server has more requests than it can start at once.
func (i *isolation) recordOverload(server string, now time.Time) {
	if i.servers[server] {
		i.overloadedUntil = now.Add(overloadTime)
	}
}

// isOverloaded reports whether a response took far longer to start than expected.
func isOverloaded(took, expected time.Duration) bool {
	return took >= overloadFactor*expected+overloadMargin
}

func (t *Table) refreshIsolation(now time.Time) {
	if now.Sub(t.isolation.computedAt) >= isolationInterval {
		t.isolate(now)
		t.isolation.computedAt = now
	}
}

// isolate computes which servers of each service are isolated.
func (t *Table) isolate(now time.Time) {
	clear(t.isolation.servers)
	if t.config.Disabled[Isolation] {
		return
	}
	for service, pool := range t.pools {
		byRegion := groupByRegion(pool)
		share, regions := t.isolatedShare(service, byRegion, now)
		for region, servers := range byRegion {
			if regions[region] {
				t.isolation.reserve(withoutSlowStart(servers, now), share)
			}
		}
	}
}

// decodeHeavy reports whether a route has long answers to short prompts.
func (t *Table) decodeHeavy(load *routeLoad) bool {
	if load == nil || load.samples == 0 || load.maxEventGap <= 0 {
		return false
	}
	longAnswers := load.meanOutput >= minDecodeOutputRatio*load.meanPrompt
	return longAnswers && load.meanPrompt <= maxDecodePromptRatio*t.routes.meanPrompt(load.service)
}

// decodeDemand is the recent load of a service, and of its decode-heavy routes.
type decodeDemand struct {
	tokens            float64
	decodeTokens      float64
	decodeConcurrency float64
	streamSamples     float64
	// regions are those that may serve a decode-heavy route.
	regions map[string]bool
}

func (t *Table) decodeDemand(service string, byRegion map[string][]*server, now time.Time) decodeDemand {
	demand := decodeDemand{regions: map[string]bool{}}
	for _, load := range t.routes.ordered {
		if load.service != service {
			continue
		}
		load.decay(now)
		demand.tokens += load.prefillTokens
		if load.maxEventGap > 0 {
			demand.streamSamples += load.samples
		}
		if !t.decodeHeavy(load) {
			continue
		}
		demand.decodeTokens += load.prefillTokens
		demand.decodeConcurrency += load.concurrency(now)
		for region := range byRegion {
			demand.regions[region] = demand.regions[region] || load.servedIn(region)
		}
	}
	return demand
}

// isolatedShare returns the share of the servers of each region that decode-heavy
// routes need, and the regions that may serve them.
func (t *Table) isolatedShare(service string, byRegion map[string][]*server, now time.Time) (share float64, regions map[string]bool) {
	demand := t.decodeDemand(service, byRegion, now)
	if demand.streamSamples > 0 && demand.streamSamples < minStreamSamples {
		for region := range byRegion {
			demand.regions[region] = true
		}
		return initialDecodeShare * isolatedShareOfWork, demand.regions
	}
	if demand.decodeTokens == 0 || demand.decodeTokens == demand.tokens {
		return 0, nil
	}
	return t.neededShare(service, byRegion, demand), demand.regions
}

// neededShare returns the share of the servers of the demand's regions that
// decode-heavy routes need by their work and by their concurrency, on the assumption
// that all nodes have as many requests as this one.
func (t *Table) neededShare(service string, byRegion map[string][]*server, demand decodeDemand) float64 {
	servers := 0.0
	slots := 0.0
	for region, open := range demand.regions {
		if !open {
			continue
		}
		for _, srv := range byRegion[region] {
			servers++
			slots += float64(srv.status.Slots)
		}
	}
	if servers == 0 {
		return 0
	}
	shareOfWork := demand.decodeTokens / demand.tokens
	byWork := shareOfWork * isolatedShareOfWork * float64(len(t.pools[service])) / servers
	if slots == 0 {
		return byWork
	}
	return max(byWork, demand.decodeConcurrency*float64(len(t.fronts))/(slots*slotUtilization))
}

// reserve isolates a share of a region's servers, the first by their hashes. It
// reorders servers.
func (i *isolation) reserve(servers []*server, share float64) {
	needed := float64(len(servers)) * min(share, maxIsolatedShare)
	if needed < minIsolatedServers {
		return
	}
	count := int(math.Ceil(needed))
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(mix(a.hash), mix(b.hash)) })
	for _, srv := range servers[:count] {
		i.servers[srv.name] = true
	}
}

// withoutSlowStart returns the servers that are not in slow start, as those in slow
// start accept too few requests.
func withoutSlowStart(servers []*server, now time.Time) []*server {
	return slices.DeleteFunc(slices.Clone(servers), func(srv *server) bool { return srv.slowStart.active(now) })
}

func groupByRegion(pool []*server) map[string][]*server {
	byRegion := map[string][]*server{}
	for _, srv := range pool {
		byRegion[srv.status.Region] = append(byRegion[srv.status.Region], srv)
	}
	return byRegion
}

// misplaced reports whether a server is not one for a request's route: isolated and
// the route not decode-heavy, or the reverse.
func (t *Table) misplaced(srv *server, request *Request, now time.Time) bool {
	switch {
	case len(t.isolation.servers) == 0:
		return false
	case t.decodeHeavy(t.routes.byName[request.Route]):
		return !t.isolation.servers[srv.name] && !now.Before(t.isolation.overloadedUntil)
	}
	return t.isolation.servers[srv.name]
}
