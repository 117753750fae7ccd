package balance

import (
	"cmp"
	"math"
	"slices"

	"stepwick/internal/kernel"
)

// Isolation keeps long answers to short prompts, whose readers notice each
// pause, on a few servers of a service that long prompts avoid: while a server
// reads a long prompt, its other answers wait for each of their tokens. Which
// routes are calm in this way is learned from their requests, and so is the part
// of the servers that they need. All nodes order the servers alike, so that they
// need not agree on more than about how many are set aside.
const (
	// A route is calm when its prompts have at most calmPrompt of the mean of all
	// prompts at the service, and its answers at least calmAnswer of the mean of
	// all answers.
	calmPrompt  = 0.4
	calmAnswer  = 0.7
	calmSamples = 2 // requests until a route is known
	// gatherSamples is how many requests of a calm route a node has seen until it
	// gathers them at the servers that are set aside: the other nodes are to have
	// learned to keep long prompts away by then.
	gatherSamples = 4
	// isolatedRoom is how many times the part of the work that calm routes have is
	// set aside for them; isolatedMost bounds the part of the servers, of which
	// there must be isolatedLeast in a region.
	isolatedRoom  = 0.5
	isolatedMost  = 0.5
	isolatedLeast = 4
	// strayCost keeps long prompts from servers that are set aside, and calm
	// routes from the others, in milliseconds.
	strayCost = 200
	// workFades is the span in which what is known of the work of routes fades.
	workFades = 30 * kernel.Second
	// isolateEvery is how often the servers are parted anew.
	isolateEvery = kernel.Second
	// routesMost bounds the routes that are known.
	routesMost = 4096
	// routeShare is the weight of a new sample in what is known of a route.
	routeShare = 0.05
)

// routeLoad is what one node knows of the requests of one route.
type routeLoad struct {
	service  string
	pause    kernel.Duration // that its answers bear
	regions  []string        // that may serve it; empty for all
	prompt   float64         // mean tokens of a prompt
	answer   float64         // mean tokens of an answer, at most
	samples  float64         // requests seen at all
	requests float64         // requests of late, as of faded
	work     float64         // tokens read of late, as of faded
	faded    kernel.Time
}

// fade lets what was of late fade until now.
func (r *routeLoad) fade(now kernel.Time) {
	left := math.Exp(-now.Sub(r.faded).Seconds() / workFades.Seconds())
	r.requests *= left
	r.work *= left
	r.faded = now
}

func (t *Table) route(request *Request) *routeLoad {
	load := t.routes[request.Route]
	if load == nil {
		if len(t.loads) >= routesMost {
			clear(t.routes)
			t.loads = nil
		}
		load = &routeLoad{}
		t.routes[request.Route] = load
		t.loads = append(t.loads, load)
	}
	load.service, load.pause, load.regions = request.Service, request.Pause, request.Regions
	return load
}

// sent notes that a request of a route was sent, of which so many tokens are to
// be read.
func (r *routeLoad) sent(request *Request, reads float64, now kernel.Time) {
	r.fade(now)
	r.requests++
	r.work += reads
	r.samples++
	weight := max(routeShare, 1/r.samples)
	r.prompt += (request.tokens() - r.prompt) * weight
	r.answer += (request.Out - r.answer) * weight
}

// calm tells whether a route has long answers to short prompts.
func (t *Table) calm(r *routeLoad) bool {
	if r == nil || r.samples < calmSamples || r.pause <= 0 {
		return false
	}
	prompt, answer := t.means(r.service)
	return r.prompt <= calmPrompt*prompt && r.answer >= calmAnswer*answer
}

// means are the mean tokens of the prompts and of the answers at a service.
func (t *Table) means(service string) (prompt, answer float64) {
	requests := 0.0
	for _, load := range t.loads {
		if load.service == service {
			prompt += load.prompt * load.requests
			answer += load.answer * load.requests
			requests += load.requests
		}
	}
	if requests == 0 {
		return 0, 0
	}
	return prompt / requests, answer / requests
}

// isolate works out which servers of each service are set aside for calm routes.
func (t *Table) isolate(now kernel.Time) {
	clear(t.isolated)
	if t.config.Off[Isolation] {
		return
	}
	for service, pool := range t.pools {
		for region, servers := range byRegion(pool) {
			t.setAside(servers, t.calmShare(service, region, now))
		}
	}
}

// calmShare is the part of a service's work that calm routes have which a region
// may serve.
func (t *Table) calmShare(service, region string, now kernel.Time) float64 {
	calm, all := 0.0, 0.0
	for _, load := range t.loads {
		if load.service != service || len(load.regions) > 0 && !slices.Contains(load.regions, region) {
			continue
		}
		load.fade(now)
		all += load.work
		if t.calm(load) {
			calm += load.work
		}
	}
	if calm == 0 || calm == all {
		return 0
	}
	return calm / all
}

func (t *Table) setAside(servers []*server, share float64) {
	if len(servers) < isolatedLeast || share == 0 {
		return
	}
	count := math.Ceil(float64(len(servers)) * min(share*isolatedRoom, isolatedMost))
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(mix(a.hash), mix(b.hash)) })
	for _, s := range servers[:int(count)] {
		t.isolated[s.name] = true
	}
}

func byRegion(pool []*server) map[string][]*server {
	regions := map[string][]*server{}
	for _, s := range pool {
		regions[s.status.Region] = append(regions[s.status.Region], s)
	}
	return regions
}

// strays tells whether a server is not one for a request's route: set aside for
// calm routes, or not.
func (t *Table) strays(s *server, request *Request) bool {
	if len(t.isolated) == 0 {
		return false
	}
	load := t.routes[request.Route]
	if !t.calm(load) {
		return t.isolated[s.name]
	}
	return !t.isolated[s.name] && load.samples >= gatherSamples
}
