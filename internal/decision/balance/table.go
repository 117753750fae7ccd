// Package balance selects the server for each routed request. All state is in the
// Table, which has one owner and takes no locks; every decision is a function of the
// Table, its arguments and now. The package does no I/O.
//
// A request is sent to the server with the least cost: the expected wait, the prefill
// of a shared prefix that the server is not expected to have cached, the network
// distance, and penalties for stalls, recent failures and breaches of isolation. For
// each shared prefix one server is preferred by rendezvous hashing (highest random
// weight), so that all nodes prefer the same one without communicating. Fleet-wide
// limits (connections to a server, requests to a server in slow start, retries) are
// divided evenly among the nodes that carry traffic.
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

// Retry-After values of the errors returned by Choose.
const (
	budgetRetryAfter    = 300 * time.Millisecond
	queueFullRetryAfter = 200 * time.Millisecond
	noServerRetryAfter  = 500 * time.Millisecond
)

// Table is the load balancing state of one node. It is not safe for concurrent use.
type Table struct {
	config Config
	// selfHash is the hash of the node's name. Nodes use it to break ties between
	// servers differently from each other.
	selfHash uint64
	view     View
	fronts   []string // names of the nodes that carry traffic, including this one
	// slowStartNodes are the nodes from which the senders to a server in slow start
	// are selected: the fronts and all members. After a simultaneous restart, a node
	// does not know yet that the others carry traffic, but they are in the membership.
	slowStartNodes []string
	servers        map[string]*server
	pools          map[string][]*server // by service, sorted by name
	retryBudgets   map[string]*retryBudget
	prefillSpeeds  map[string]*prefillSpeed // by service
	prefixCaches   prefixCaches
	routeLoads     routeLoads
	isolation      isolation
}

// New returns a table without servers; Update adds them.
func New(config Config) *Table {
	config = config.withDefaults()
	return &Table{
		config:        config,
		selfHash:      xxhash.Sum64String(config.Self),
		fronts:        []string{config.Self},
		servers:       map[string]*server{},
		pools:         map[string][]*server{},
		retryBudgets:  map[string]*retryBudget{},
		prefillSpeeds: map[string]*prefillSpeed{},
		prefixCaches:  newPrefixCaches(),
		routeLoads:    newRouteLoads(),
		isolation:     isolation{servers: map[string]bool{}},
	}
}

// Choose selects the server for a request at time now. A caller that sends the
// request to the selected server must call StartAttempt before the next Choose. The
// error of the choice, if any, has the code BudgetSpent, QueueFull or NoServer.
func (t *Table) Choose(request *Request, now time.Time) Choice {
	t.recomputeIsolationIfDue(now)
	budget := t.retryBudget(request.Service)
	if request.Retry && !budget.allows(now, t.retrySlackPerNode()) {
		apiErr := apierror.Errorf(apierror.RetryBudgetExhausted,
			"retry budget of service %s exhausted: the limit is %g of this node's requests within %s plus %.3g retries",
			request.Service, t.config.RetryRatio, t.config.RetryWindow, t.retrySlackPerNode())
		return Choice{Err: apiErr.WithRetryAfter(budgetRetryAfter)}
	}
	chosen, atCapacity := t.leastCostServer(request, now)
	switch {
	case chosen != nil:
		return Choice{Server: chosen.name, Address: chosen.status.Address}
	case atCapacity && now.Before(request.QueueUntil):
		return Choice{Wait: true}
	case atCapacity:
		apiErr := apierror.Errorf(apierror.QueueFull, "no eligible server of service %s has capacity", request.Service)
		return Choice{Err: apiErr.WithRetryAfter(queueFullRetryAfter)}
	}
	apiErr := apierror.Errorf(apierror.NoServer, "no server of %s can take requests", request.Service)
	return Choice{Err: apiErr.WithRetryAfter(noServerRetryAfter)}
}

// leastCostServer returns the server with the least cost among the eligible servers
// that have capacity now, or nil if there is none. atCapacity reports whether an
// eligible server has no capacity now, but may have it later.
func (t *Table) leastCostServer(request *Request, now time.Time) (chosen *server, atCapacity bool) {
	lowestCost := 0.0
	preferred := t.preferredServer(request, now)
	for _, srv := range t.pools[request.Service] {
		if !srv.isEligible(request) {
			continue
		}
		if !t.hasCapacity(srv, now) {
			atCapacity = true
			continue
		}
		if cost := t.cost(srv, request, preferred, now); chosen == nil || cost < lowestCost {
			chosen = srv
			lowestCost = cost
		}
	}
	return chosen, atCapacity
}

// CountRequest counts a client request to a service, which increases the service's
// retry budget.
func (t *Table) CountRequest(service string, now time.Time) {
	t.retryBudget(service).countRequest(now)
}

// StartAttempt records that a request was sent to a server. It returns nil if the
// server is not in the table; ResponseStarted and FinishAttempt ignore a nil attempt.
func (t *Table) StartAttempt(name string, request *Request, now time.Time) *Attempt {
	srv := t.servers[name]
	if srv == nil {
		return nil
	}
	attempt := &Attempt{server: srv, service: request.Service, startedAt: now}
	attempt.prefillTokens = request.UnsharedTokens + t.uncachedTokens(srv, request, t.preferredServer(request, now), now)
	attempt.serverWasIdle = srv.load.inFlight == 0
	attempt.route = t.routeLoads.loadOf(request, now)
	attempt.route.recordSent(request, attempt.prefillTokens, now)
	srv.startAttempt(attempt, now)
	t.prefixCaches.record(request.PrefixDigest, name, now)
	if request.Retry {
		t.retryBudget(request.Service).countRetry(now)
	}
	return attempt
}

// ResponseStarted records that the first bytes of the response to an attempt have
// arrived, which means that the server's prefill is complete. Further calls for the
// same attempt have no effect.
func (t *Table) ResponseStarted(attempt *Attempt, now time.Time) {
	if attempt == nil || attempt.responded {
		return
	}
	attempt.responded = true
	firstByteTime := now.Sub(attempt.startedAt)
	speed := t.prefillSpeed(attempt.service)
	if isOverloaded(firstByteTime, speed.expectedFirstByteTime(attempt.prefillTokens)) {
		t.isolation.recordOverload(attempt.server.name, now)
	}
	attempt.server.load.responseStarted(attempt, now)
	speed.recordFirstByteTime(firstByteTime)
	if attempt.serverWasIdle {
		speed.addRegressionSample(attempt.prefillTokens, firstByteTime)
	}
}

// FinishAttempt records the outcome of an attempt. Further calls for the same attempt
// have no effect.
func (t *Table) FinishAttempt(attempt *Attempt, outcome Outcome, now time.Time) {
	if attempt == nil || attempt.finished {
		return
	}
	attempt.finished = true
	attempt.route.recordDuration(now.Sub(attempt.startedAt), now)
	if outcome == OutcomeRejected {
		t.isolation.recordOverload(attempt.server.name, now)
	}
	attempt.server.finishAttempt(attempt, outcome, now, t.config)
	if attempt.server.load.inFlight == 0 && t.view.Servers[attempt.server.name] == nil {
		delete(t.servers, attempt.server.name)
	}
}

// EjectUnacknowledgedServer ejects a server whose machine no longer acknowledges the data
// sent to it.
func (t *Table) EjectUnacknowledgedServer(name string, now time.Time) {
	if srv := t.servers[name]; srv != nil {
		srv.ejection.eject(now, t.config)
	}
}

// StalledServer describes a server that has not responded within the expected time.
type StalledServer struct {
	Address string
	Level   StallLevel
}

// StalledServers returns the servers that have not responded within the expected
// time, by name; nil if there are none.
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

// RespondedSince reports whether this node has received a response from a server
// after the time since.
func (t *Table) RespondedSince(name string, since time.Time) bool {
	srv := t.servers[name]
	return srv != nil && srv.load.lastResponseAt.After(since)
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

func (t *Table) prefillSpeed(service string) *prefillSpeed {
	speed := t.prefillSpeeds[service]
	if speed == nil {
		speed = &prefillSpeed{}
		t.prefillSpeeds[service] = speed
	}
	return speed
}
