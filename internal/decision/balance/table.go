// Package balance chooses the server of each request that comes by a route. All
// state is in the Table, which has one owner and takes no locks; every decision is a
// function of the Table, its arguments and now. It does no I/O.
//
// A request goes to the server with the least cost: the time that it is expected to
// wait there, the prefill of the shared prefix that the server is not known to
// cache, and the network distance. Requests that share a prefix agree on one server
// by rendezvous hashing (highest random weight), so that all nodes choose the same
// one without communicating. Limits that hold over the whole fleet (connections to a
// server, requests to a server in slow start, retries) are divided evenly among the
// nodes that carry traffic.
//
// Invariants: the nodes together stay within those limits as long as they agree on
// the list of nodes; a server that is excluded, ejected or already tried is never
// chosen; the pools hold exactly the servers of the view that are not excluded.
package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
)

// Retry-After of the errors of Choose.
const (
	budgetRetryAfter    = 300 * time.Millisecond
	queueFullRetryAfter = 200 * time.Millisecond
	noServerRetryAfter  = 500 * time.Millisecond
)

// Table is the balancing state of one node. It has one owner.
type Table struct {
	config Config
	// selfHash is the hash of the node's name, by which nodes break ties differently.
	selfHash uint64
	view     View
	fronts   []string
	// slowStartNodes are the nodes of which a few send to a server in slow start.
	// Nodes that were restarted together do not know yet that the others carry
	// traffic, but the membership has them.
	slowStartNodes []string
	servers        map[string]*server
	pools          map[string][]*server // by service, sorted by name
	retryBudgets   map[string]*retryBudget
	speeds         map[string]*prefillSpeed // by service
	prefixes       prefixCaches
	routes         routeLoads
	isolation      isolation
}

// New returns a table without servers.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:       config,
		selfHash:     xxhash.Sum64String(config.Self),
		fronts:       []string{config.Self},
		servers:      map[string]*server{},
		pools:        map[string][]*server{},
		retryBudgets: map[string]*retryBudget{},
		speeds:       map[string]*prefillSpeed{},
		prefixes:     newPrefixCaches(),
		routes:       newRouteLoads(),
		isolation:    isolation{servers: map[string]bool{}},
	}
}

// Choose decides where a request goes now. The caller calls StartAttempt when it
// follows the choice, before it calls Choose again. Errors have the codes
// BudgetSpent, QueueFull and NoServer.
func (t *Table) Choose(request *Request, now time.Time) Choice {
	t.refreshIsolation(now)
	budget := t.retryBudget(request.Service)
	if request.Retry && !budget.allows(now, t.retrySlackPerNode()) {
		apiErr := apierror.Errorf(apierror.BudgetSpent, "repeated sends are bound to a share of the requests")
		return Choice{Err: apiErr.WithRetryAfter(budgetRetryAfter)}
	}
	chosen, waits := t.leastCost(request, now)
	switch {
	case chosen != nil:
		return Choice{Server: chosen.name, Address: chosen.status.Address}
	case waits && now.Before(request.QueueUntil):
		return Choice{Wait: true}
	case waits:
		apiErr := apierror.Errorf(apierror.QueueFull, "the servers of %s have no room", request.Service)
		return Choice{Err: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
	apiErr := apierror.Errorf(apierror.NoServer, "no server of %s can take requests", request.Service)
	return Choice{Err: apiErr.WithRetryAfter(noServerRetryAfter)}
}

// leastCost returns the server with the least cost among those that accept the
// request now; waits reports that others may accept it later.
func (t *Table) leastCost(request *Request, now time.Time) (chosen *server, waits bool) {
	best := 0.0
	preferred := t.preferredServer(request, now)
	for _, srv := range t.pools[request.Service] {
		if !srv.mayServe(request) {
			continue
		}
		if !t.hasCapacity(srv, now) {
			waits = true
			continue
		}
		if cost := t.cost(srv, request, preferred, now); chosen == nil || cost < best {
			chosen = srv
			best = cost
		}
	}
	return chosen, waits
}

// CountRequest counts a client's request for a service, by which its retry budget
// grows.
func (t *Table) CountRequest(service string, now time.Time) {
	t.retryBudget(service).countRequest(now)
}

// StartAttempt records that a request was sent to a server. It returns nil for a
// server that the table does not know; the other methods accept that attempt.
func (t *Table) StartAttempt(name string, request *Request, now time.Time) *Attempt {
	srv := t.servers[name]
	if srv == nil {
		return nil
	}
	attempt := &Attempt{server: srv, service: request.Service, began: now}
	attempt.prefillTokens = request.OwnTokens + t.uncachedTokens(srv, request, t.preferredServer(request, now), now)
	attempt.alone = srv.load.inFlight == 0
	attempt.route = t.routes.of(request, now)
	attempt.route.recordSent(request, attempt.prefillTokens, now)
	srv.startAttempt(attempt, now)
	t.prefixes.record(request.Affinity, name, now)
	if request.Retry {
		t.retryBudget(request.Service).countRetry(now)
	}
	return attempt
}

// ResponseStarted records that the first bytes of the response to an attempt have
// arrived: the server's prefill is complete. Only the first call counts.
func (t *Table) ResponseStarted(attempt *Attempt, now time.Time) {
	if attempt == nil || attempt.responded {
		return
	}
	attempt.responded = true
	took := now.Sub(attempt.began)
	speed := t.speed(attempt.service)
	if isOverloaded(took, speed.expected(attempt.prefillTokens)) {
		t.isolation.recordOverload(attempt.server.name, now)
	}
	attempt.server.load.responseStarted(attempt, now)
	speed.recordTypical(took)
	if attempt.alone {
		speed.addSample(attempt.prefillTokens, took)
	}
}

// FinishAttempt records how an attempt ended. Only the first call counts.
func (t *Table) FinishAttempt(attempt *Attempt, outcome Outcome, now time.Time) {
	if attempt == nil || attempt.finished {
		return
	}
	attempt.finished = true
	attempt.route.recordDuration(now.Sub(attempt.began), now)
	if outcome == OutcomeRejected {
		t.isolation.recordOverload(attempt.server.name, now)
	}
	attempt.server.finishAttempt(attempt, outcome, now, t.config)
	if attempt.server.load.inFlight == 0 && t.view.Servers[attempt.server.name] == nil {
		delete(t.servers, attempt.server.name)
	}
}

// ServerUnacknowledged ejects a server whose machine no longer acknowledges what is
// sent.
func (t *Table) ServerUnacknowledged(name string, now time.Time) {
	if srv := t.servers[name]; srv != nil {
		srv.ejection.eject(now, t.config)
	}
}

// StalledServer is a server that has not responded for longer than expected.
type StalledServer struct {
	Address string
	Level   StallLevel
}

// StalledServers returns the servers that have not responded for longer than
// expected, by name; nil for none.
func (t *Table) StalledServers(now time.Time) map[string]StalledServer {
	var stalled map[string]StalledServer
	for name, srv := range t.servers {
		if srv.exclusion != "" || len(srv.load.unanswered) == 0 {
			continue
		}
		level := t.stallLevel(srv, now)
		if level == NotStalled {
			continue
		}
		if stalled == nil {
			stalled = map[string]StalledServer{}
		}
		stalled[name] = StalledServer{Address: srv.status.Address, Level: level}
	}
	return stalled
}

// RespondedSince reports whether a server has responded to this node after an
// instant.
func (t *Table) RespondedSince(name string, since time.Time) bool {
	srv := t.servers[name]
	return srv != nil && srv.load.lastResponse.After(since)
}

func (t *Table) retryBudget(service string) *retryBudget {
	budget := t.retryBudgets[service]
	if budget == nil {
		budget = newRetryBudget(t.config.RetryRatio, t.config.RetryWindow)
		t.retryBudgets[service] = budget
	}
	return budget
}

func (t *Table) retrySlackPerNode() float64 { return t.config.RetrySlack / float64(len(t.fronts)) }

func (t *Table) speed(service string) *prefillSpeed {
	speed := t.speeds[service]
	if speed == nil {
		speed = &prefillSpeed{}
		t.speeds[service] = speed
	}
	return speed
}
