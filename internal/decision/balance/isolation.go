package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Isolation keeps long answers to short prompts, whose readers notice each
// pause, on a few servers of a service that long prompts avoid: while a server
// reads a long prompt, its other answers wait for each of their tokens. Which
// routes are decode-heavy in this way is learned from their requests, and so is how many
// servers they need. All nodes order the servers of a region alike, so that they
// need not agree on more than about how many are set aside.
const (
	// A route is decode-heavy when its prompts have at most decodePromptMost of the mean of all
	// prompts at the service, and its answers at least decodeAnswerLeast of the tokens of
	// its own prompts.
	decodePromptMost  = 0.7
	decodeAnswerLeast = 0.1
	// isolatedRoom is how many servers are set aside for the part of a service's
	// work that decode-heavy routes have, against those that have this part of all. Less
	// than one lets them have more work than others: it is short.
	isolatedRoom = 0.5
	// placesUsed is the part of the places at servers that are set aside which
	// decode-heavy routes are to fill in the mean.
	placesUsed = 0.4
	// isolatedMost bounds the part of a region's servers that are set aside. Where
	// decode-heavy routes need less than wholeFrom servers, none is: long prompts
	// would miss more than decode-heavy routes win.
	isolatedMost = 0.5
	wholeFrom    = 1.5
	// Until firstSamples requests for streams have been seen at a service, decode
	// routes are taken to have firstShare of its work.
	firstSamples = 6
	firstShare   = 0.2
	// Once a server that is set aside was overloaded, decode-heavy routes go wherever it costs
	// least for overloadedFor. It is overloaded when it rejects a request, and when an
	// answer takes overloadedWait times as long to begin as expected and overloadedLeast
	// more.
	overloadedFor   = 3 * time.Second
	overloadedWait  = 2
	overloadedLeast = 250 * time.Millisecond
	// misplacedCost keeps long prompts from servers that are set aside, and decode
	// routes from the others, in milliseconds.
	misplacedCost = 200
	// workFades is the span in which what is known of the work of routes fades.
	workFades = 30 * time.Second
	// isolateEvery is how often the servers are parted anew.
	isolateEvery = time.Second
	// routesMost bounds the routes that are known.
	routesMost = 4096
	// sampleShare is the weight of a new sample in what is known of a route.
	sampleShare = 0.05
)

// routeLoad is what one node knows of the requests of one route.
type routeLoad struct {
	service  string
	pause    time.Duration // that its answers bear
	regions  []string      // that may serve it; empty for all
	prompt   float64       // mean tokens of a prompt
	answer   float64       // mean tokens of an answer, at most
	samples  float64       // requests seen at all
	requests float64       // requests of late, as of faded
	work     float64       // tokens read of late, as of faded
	running  float64       // seconds that requests ran of late, as of faded
	faded    time.Time
	begun    time.Time // when the first request was seen
}

// route returns what is known of a request's route.
func (t *Table) route(request *Request, now time.Time) *routeLoad {
	load := t.routes[request.Route]
	if load == nil {
		if len(t.loads) >= routesMost {
			clear(t.routes)
			t.loads = nil
		}
		load = &routeLoad{begun: now, faded: now}
		t.routes[request.Route] = load
		t.loads = append(t.loads, load)
	}
	load.service, load.pause, load.regions = request.Service, request.Pause, request.Regions
	return load
}

// fade lets what was of late fade until now.
func (r *routeLoad) fade(now time.Time) {
	left := math.Exp(-now.Sub(r.faded).Seconds() / workFades.Seconds())
	r.requests *= left
	r.work *= left
	r.running *= left
	r.faded = now
}

// sent notes that a request of the route was sent, of which so many tokens are
// to be read.
func (r *routeLoad) sent(request *Request, reads float64, now time.Time) {
	r.fade(now)
	r.requests++
	r.work += reads
	r.samples++
	weight := max(sampleShare, 1/r.samples)
	r.prompt += (request.tokens() - r.prompt) * weight
	r.answer += (request.Out - r.answer) * weight
}

// ran notes how long a request of the route was at its server.
func (r *routeLoad) ran(took time.Duration, now time.Time) {
	r.fade(now)
	r.running += took.Seconds()
}

// atOnce is how many requests of the route this node has at servers, in the
// mean of late.
func (r *routeLoad) atOnce(now time.Time) float64 {
	span := workFades.Seconds() * (1 - math.Exp(-now.Sub(r.begun).Seconds()/workFades.Seconds()))
	return r.running / max(span, 1)
}

// serves tells whether servers of a region may serve the route.
func (r *routeLoad) serves(region string) bool {
	return len(r.regions) == 0 || slices.Contains(r.regions, region)
}

// decodeHeavy tells whether a route has long answers to short prompts.
func (t *Table) decodeHeavy(r *routeLoad) bool {
	if r == nil || r.samples == 0 || r.pause <= 0 {
		return false
	}
	return r.answer >= decodeAnswerLeast*r.prompt && r.prompt <= decodePromptMost*t.meanPrompt(r.service)
}

// meanPrompt is the mean of the tokens of the prompts at a service.
func (t *Table) meanPrompt(service string) float64 {
	tokens, requests := 0.0, 0.0
	for _, load := range t.loads {
		if load.service == service {
			tokens += load.prompt * load.requests
			requests += load.requests
		}
	}
	if requests == 0 {
		return 0
	}
	return tokens / requests
}

// isolate works out which servers of each service are set aside for decode-heavy routes.
func (t *Table) isolate(now time.Time) {
	clear(t.isolated)
	if t.config.Off[Isolation] {
		return
	}
	for service, pool := range t.pools {
		regions := byRegion(pool)
		need, open := t.decodeNeed(service, regions, now)
		for region, servers := range regions {
			if open[region] {
				t.reserve(warm(servers, now), need)
			}
		}
	}
}

// decodeNeed is the part of the servers of each region that decode-heavy routes need, and
// the regions that may serve them.
func (t *Table) decodeNeed(service string, regions map[string][]*server, now time.Time) (need float64, open map[string]bool) {
	decode, all, streams, running := 0.0, 0.0, 0.0, 0.0
	open = map[string]bool{}
	for _, load := range t.loads {
		if load.service != service {
			continue
		}
		load.fade(now)
		all += load.work
		if load.pause > 0 {
			streams += load.samples
		}
		if !t.decodeHeavy(load) {
			continue
		}
		decode += load.work
		running += load.atOnce(now)
		for region := range regions {
			open[region] = open[region] || load.serves(region)
		}
	}
	if streams > 0 && streams < firstSamples {
		for region := range regions {
			open[region] = true
		}
		return firstShare * isolatedRoom, open
	}
	if decode == 0 || decode == all {
		return 0, nil
	}
	return t.shareOf(service, regions, open, decode/all, running), open
}

// shareOf turns a part of the work, and a number of requests that this node has
// at servers at once, into the part of the servers of some regions that they
// need, if all nodes have as many.
func (t *Table) shareOf(service string, regions map[string][]*server, open map[string]bool, work, running float64) float64 {
	servers, places := 0.0, 0.0
	for region := range open {
		if !open[region] {
			continue
		}
		for _, s := range regions[region] {
			servers++
			places += float64(s.status.Slots)
		}
	}
	if servers == 0 {
		return 0
	}
	byWork := work * isolatedRoom * float64(len(t.pools[service])) / servers
	if places == 0 {
		return byWork
	}
	return max(byWork, running*float64(len(t.fronts))/(places*placesUsed))
}

// reserve sets a part of a region's servers aside.
func (t *Table) reserve(servers []*server, part float64) {
	needed := float64(len(servers)) * min(part, isolatedMost)
	if needed < wholeFrom {
		return
	}
	count := math.Ceil(needed)
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(mix(a.hash), mix(b.hash)) })
	for _, s := range servers[:int(count)] {
		t.isolated[s.name] = true
	}
}

// warm returns the servers that are not cold: cold ones can't take a crowd.
func warm(servers []*server, now time.Time) []*server {
	return slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return now.Before(s.cold.until) })
}

func byRegion(pool []*server) map[string][]*server {
	regions := map[string][]*server{}
	for _, s := range pool {
		regions[s.status.Region] = append(regions[s.status.Region], s)
	}
	return regions
}

// misplaced tells whether a server is not one for a request's route: set aside for
// decode-heavy routes, or not.
func (t *Table) misplaced(s *server, request *Request, now time.Time) bool {
	switch {
	case len(t.isolated) == 0:
		return false
	case t.decodeHeavy(t.routes[request.Route]):
		return !t.isolated[s.name] && !now.Before(t.overloadedUntil)
	}
	return t.isolated[s.name]
}

// overloaded notes that a server has more requests than it can begin at once.
func (t *Table) overloaded(s *server, now time.Time) {
	if t.isolated[s.name] {
		t.overloadedUntil = now.Add(overloadedFor)
	}
}

// slow tells whether an answer took far longer to begin than expected.
func (t *Table) slow(a *Attempt, now time.Time) bool {
	expected := t.speed(a.service).expected(a.reads)
	return now.Sub(a.began) >= overloadedWait*expected+overloadedLeast
}
