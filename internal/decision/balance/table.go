// Package balance chooses the server of each request that comes by a route. All
// state is in the Table, which has one owner and takes no locks; every decision
// is a function of the Table, its arguments and now.
//
// A request goes to the server with the least cost: the time that it is
// expected to wait there, the time to read again what the server is not known
// to hold of its prompt, and the distance. Requests that share a prompt agree
// on one server by rendezvous hashing, so that all nodes send them to the same
// one without speaking to each other. Bounds that hold over the whole fleet
// (connections to a server, requests to a cold server, retries) are parted
// evenly among the nodes that carry traffic.
package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Config is a node's place and the bounds that hold over the fleet. Zero
// values take the defaults named.
type Config struct {
	Self, Region, Zone string
	// RetryRatio bounds repeated sends to a service within RetryWindow to a
	// share of its requests, plus RetrySlack over all nodes; 0.1, 10 s and 0.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverage and ColdSlack widen what a cold server bears a second:
	// rate × overage + slack over all nodes; 1 and 0.
	ColdOverage float64
	ColdSlack   float64
	// EjectFor is the first rest of a server that failed, doubled up to
	// EjectMost; 1 s and 5 s.
	EjectFor  time.Duration
	EjectMost time.Duration
	// Off are the mechanisms that are switched off.
	Off Off
}

func (c Config) orDefaults() Config {
	c.RetryRatio = cmp.Or(c.RetryRatio, 0.1)
	c.RetryWindow = cmp.Or(c.RetryWindow, 10*time.Second)
	c.ColdOverage = cmp.Or(c.ColdOverage, 1)
	c.EjectFor = cmp.Or(c.EjectFor, time.Second)
	c.EjectMost = cmp.Or(c.EjectMost, 5*time.Second)
	return c
}

// View is what the node knows of the fleet. Fronts are the names of the nodes
// that carry traffic; the node itself counts even when it is missing. FleetNow
// is the time by which servers are cold. The maps are never changed after they
// were handed over.
type View struct {
	State   statemachine.State
	Servers map[string]*wire.ServerStatus
	Fronts  []string
	// Members are the names of all nodes on the roster, on which all nodes agree,
	// whether they are known to carry traffic now or not.
	Members  []string
	FleetNow time.Time
}

// Request is what a choice depends on.
type Request struct {
	ID       string
	Service  string
	Route    string        // whose requests resemble each other
	Pause    time.Duration // the longest between two events of an answer in time; 0 where it has none
	Regions  []string      // that may serve it; empty for all
	Affinity uint64        // digest of the shared prompt; 0 for none
	Shared   float64       // tokens of the prompt that a server may hold already
	Own      float64       // the prompt's other tokens
	Out      float64       // tokens of the answer at most; 0 where that is not known
	Urgency  int           // 0 is the most urgent
	Until    time.Time     // how long it may wait for room
	Tried    []string      // servers that are out of the question, as it was tried there
	Repeat   bool          // a server got it before, so that sending it again spends from the retry budget
}

// tokens is the size of the whole prompt.
func (r *Request) tokens() float64 { return r.Own + r.Shared }

// Choice is a server, a fault, or the word to wait.
type Choice struct {
	Server  string
	Address string
	Wait    bool
	Fault   *apierror.Error
}

// Outcome is how an attempt ended.
type Outcome struct {
	OK       bool // the server answered as it should
	Erred    bool // the server answered that it failed
	Rejected bool // the server said that it did not run the request
	Refused  bool // the connection was refused
	Replaced bool // another server has the address: this one is gone for good
	Failed   bool // no answer, or none that is whole
	Silent   bool // the server's machine acknowledged nothing, and no connection came up
}

// Table is the balancing state of one node. It has one owner.
type Table struct {
	config Config
	view   View
	fronts []string
	// coldRanked are the nodes of which a few send to a cold server. Nodes that were
	// restarted together do not know each other as ready yet, but the roster does.
	coldRanked []string
	servers    map[string]*server
	pools      map[string][]*server // by service, by name
	budgets    map[string]*budget   // by service
	speeds     map[string]*speed    // by service
	holders    holders
	routes     map[string]*routeLoad // by name
	loads      []*routeLoad          // the same in the order in which they were met
	// isolated are the servers that are set aside for decode-heavy routes, as of isolatedAt.
	isolated   map[string]bool
	isolatedAt time.Time
	// overloadedUntil is until when decode-heavy routes are not held to those servers.
	overloadedUntil time.Time
	random          uint64
}

// New returns a table that knows no server.
func New(config Config) *Table {
	config = config.orDefaults()
	return &Table{config: config, fronts: []string{config.Self}, servers: map[string]*server{}, pools: map[string][]*server{},
		budgets: map[string]*budget{}, speeds: map[string]*speed{},
		holders: newHolders(), routes: map[string]*routeLoad{}, isolated: map[string]bool{}, random: xxhash.Sum64String(config.Self)}
}

// Usable tells whether a server may be sent requests at this moment.
func (t *Table) Usable(name string) bool {
	s := t.servers[name]
	return s != nil && s.excluded == ""
}

// Choose decides where a request goes now. A request that is a
// Repeat spends from the retry budget of its service. The caller calls Started
// when it follows the choice, before it asks again.
func (t *Table) Choose(request *Request, now time.Time) Choice {
	if now.Sub(t.isolatedAt) >= isolateEvery {
		t.isolate(now)
		t.isolatedAt = now
	}
	budget := t.budget(request.Service)
	if request.Repeat && !budget.allows(now, t.retryShare()) {
		return Choice{Fault: apierror.Errorf(apierror.BudgetSpent, "repeated sends are bound to a share of the requests").WithRetryAfter(retryPause)}
	}
	chosen, waits := t.pick(request, now)
	switch {
	case chosen != nil:
		return Choice{Server: chosen.name, Address: chosen.status.Address}
	case waits && now.Before(request.Until):
		return Choice{Wait: true}
	case waits:
		return Choice{Fault: apierror.Errorf(apierror.QueueFull, "the servers of %s have no room", request.Service).WithRetryAfter(fullPause)}
	}
	return Choice{Fault: apierror.Errorf(apierror.NoServer, "no server of %s can take requests", request.Service).WithRetryAfter(emptyPause)}
}

// Count counts a client's request for a service, by which its retry budget grows.
func (t *Table) Count(service string, now time.Time) { t.budget(service).count(now) }

// When a client is told to come back.
const (
	retryPause = 300 * time.Millisecond
	fullPause  = 200 * time.Millisecond
	emptyPause = 500 * time.Millisecond
)

// pick returns the server with the least cost among those that may take the
// request now; waits tells that there are others that may take it later.
func (t *Table) pick(request *Request, now time.Time) (chosen *server, waits bool) {
	best := 0.0
	holder := t.holder(request, now)
	for _, s := range t.pools[request.Service] {
		if !t.allowed(s, request) {
			continue
		}
		if !t.open(s, now) {
			waits = true
			continue
		}
		if cost := t.cost(s, request, holder, now); chosen == nil || cost < best {
			chosen, best = s, cost
		}
	}
	return chosen, waits
}

func (t *Table) allowed(s *server, request *Request) bool {
	if s.excluded != "" {
		return false
	}
	if len(request.Regions) > 0 && !slices.Contains(request.Regions, s.status.Region) {
		return false
	}
	return !slices.Contains(request.Tried, s.name)
}

// Started counts a request that was sent on to its server.
func (t *Table) Started(name string, request *Request, now time.Time) *Attempt {
	s := t.servers[name]
	if s == nil {
		return nil
	}
	a := &Attempt{server: s, service: request.Service, began: now}
	a.reads = request.Own + t.missing(s, request, t.holder(request, now), now)
	a.alone = s.inFlight == 0
	a.route = t.route(request, now)
	a.route.sent(request, a.reads, now)
	s.started(a, now)
	t.holders.note(request.Affinity, name, now)
	if request.Repeat {
		t.budget(request.Service).spend(now)
	}
	return a
}

// Began tells that the answer to an attempt has begun: its prompt is read.
func (t *Table) Began(a *Attempt, now time.Time) {
	if a == nil || a.begun {
		return
	}
	a.begun = true
	if t.slow(a, now) {
		t.overloaded(a.server, now)
	}
	a.server.begun(a, now)
	t.speed(a.service).note(now.Sub(a.began))
	if a.alone {
		t.speed(a.service).learn(a.reads, now.Sub(a.began))
	}
}

// Unacknowledged rests a server whose machine no longer acknowledges what is sent.
func (t *Table) Unacknowledged(name string, now time.Time) {
	if s := t.servers[name]; s != nil {
		s.eject(now, t.config)
	}
}

// Resting tells whether a server rests after it failed.
func (t *Table) Resting(name string, now time.Time) bool {
	s := t.servers[name]
	return s != nil && now.Before(s.until)
}

// Silent is a server that has been silent on what it was sent for longer than
// expected.
type Silent struct {
	Address string
	Silence Silence
}

// Silences returns the silent servers by name.
func (t *Table) Silences(now time.Time) map[string]Silent {
	var silent map[string]Silent
	for name, s := range t.servers {
		if s.excluded != "" || len(s.waiting) == 0 {
			continue
		}
		if silence := t.silence(s, now); silence > Usual {
			if silent == nil {
				silent = map[string]Silent{}
			}
			silent[name] = Silent{Address: s.status.Address, Silence: silence}
		}
	}
	return silent
}

// HeardSince tells whether a server has answered this node after an instant.
func (t *Table) HeardSince(name string, since time.Time) bool {
	s := t.servers[name]
	return s != nil && s.heard.After(since)
}

// Finished ends an attempt.
func (t *Table) Finished(a *Attempt, outcome Outcome, now time.Time) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.route.ran(now.Sub(a.began), now)
	if outcome.Rejected {
		t.overloaded(a.server, now)
	}
	a.server.finished(a, outcome, now, t.config)
	if a.server.inFlight == 0 && t.view.Servers[a.server.name] == nil {
		delete(t.servers, a.server.name)
	}
}

func (t *Table) budget(service string) *budget {
	b := t.budgets[service]
	if b == nil {
		b = newBudget(t.config.RetryRatio, t.config.RetryWindow)
		t.budgets[service] = b
	}
	return b
}

func (t *Table) retryShare() float64 { return t.config.RetrySlack / float64(len(t.fronts)) }

func (t *Table) speed(service string) *speed {
	s := t.speeds[service]
	if s == nil {
		s = &speed{}
		t.speeds[service] = s
	}
	return s
}
