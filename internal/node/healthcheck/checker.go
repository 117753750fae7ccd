// Package healthcheck runs a front's share of the health checks. A few fronts in
// each region read the platform's list of servers (service discovery), and a few
// fronts in each server's zone poll its status endpoint (active health checks).
// Every front also reports which servers its own requests could not reach (passive
// health checks). A report is applied to the front's own view immediately and
// submitted in batches to every core, which merges the reports of all fronts.
//
// Checks are assigned to fronts by rendezvous hashing over the fronts in the view,
// without coordination. Fronts with different views may check the same server. That
// is harmless, because the cores merge reports in any order.
//
// The package decides neither whether a server is healthy nor which server receives
// a request; see packages serverstatus, route and balance.
package healthcheck

import (
	"cmp"
	"context"
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config configures a Checker. Fields that are zero have the default given in their
// comment.
type Config struct {
	// Self is the name of the front's process; Region and Zone are its location.
	Self   string
	Region string
	Zone   string
	// Incarnation is the incarnation of the process. It orders the process's reports
	// after those of an earlier process with the same name.
	Incarnation uint64
	// View returns the current view of the fleet.
	View func() View
	// ApplyReport applies a report to the front's own view.
	ApplyReport func(*wire.Report)
	// FleetNow returns fleet time.
	FleetNow func() time.Time

	// ListInterval is the minimum time between two reads of the list. Default 500 ms.
	ListInterval time.Duration
	// PollInterval is the minimum time between two polls of a server. Default 500 ms.
	PollInterval time.Duration
	// SubmitTimeout bounds a call that submits a batch of reports to a core. Default
	// 1 s.
	SubmitTimeout time.Duration
	// ListReadersPerRegion is the number of fronts in a region that read the list.
	// Default 3.
	ListReadersPerRegion int
	// PollersPerServer is the number of fronts that poll a server. Default 2.
	PollersPerServer int
	// FailureThreshold is the number of consecutive unanswered polls after which a
	// server is reported as unreachable. Default 2.
	FailureThreshold int
	// MaxConcurrentPolls bounds the polls in flight. Default 32.
	MaxConcurrentPolls int
	// ListOnly disables polls, for platforms whose servers have no status endpoint or
	// charge for its use. Server health is then derived from the list and from the
	// results of requests.
	ListOnly bool
	// DrainWithin is the time that the platform allows between listing a server as
	// draining and the last request sent to that server; zero if unknown. It bounds
	// the interval between reads of the list; see listInterval and standbyDelay.
	DrainWithin time.Duration
}

func (c Config) withDefaults() Config {
	c.ListInterval = cmp.Or(c.ListInterval, 500*time.Millisecond)
	c.PollInterval = cmp.Or(c.PollInterval, 500*time.Millisecond)
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, time.Second)
	c.ListReadersPerRegion = cmp.Or(c.ListReadersPerRegion, 3)
	c.PollersPerServer = cmp.Or(c.PollersPerServer, 2)
	c.FailureThreshold = cmp.Or(c.FailureThreshold, 2)
	c.MaxConcurrentPolls = cmp.Or(c.MaxConcurrentPolls, 32)
	return c
}

// View is the part of the fleet's state that a Checker uses. It is immutable.
type View struct {
	Servers map[string]*wire.ServerStatus // merged statuses by server name
	Fronts  []*wire.Process               // live fronts
}

const (
	// tickInterval is the interval at which the checker starts work that is due.
	tickInterval = 100 * time.Millisecond
	// otherResultsCapacity is the capacity for results of calls other than polls.
	otherResultsCapacity        = 8
	passiveObservationsCapacity = 64
)

// Checker runs a front's share of the health checks. It is a supervised service: the
// goroutine of Serve owns its state. Calls run in goroutines of their own and send
// their results to that goroutine.
type Checker struct {
	config Config
	source port.ServerSource
	peers  port.Peers
	clock  clock.Clock
	log    events.Log

	results             chan func() // completions of finished calls, run by the owner
	passiveObservations chan func() // by Observe, run by the owner

	reportCounter uint64 // counter of the last report
	serverCount   int    // number of servers in the view
	observations  map[observationKey]*observation
	discovery     discovery
	polling       polling
	queues        map[string]*reportQueue // by core name
}

// New returns a Checker. It makes no calls until Serve runs.
func New(config Config, source port.ServerSource, peers port.Peers, clock clock.Clock, log events.Log) *Checker {
	config = config.withDefaults()
	return &Checker{
		config:              config,
		source:              source,
		peers:               peers,
		clock:               clock,
		log:                 log,
		results:             make(chan func(), config.MaxConcurrentPolls+otherResultsCapacity),
		passiveObservations: make(chan func(), passiveObservationsCapacity),
		observations:        map[observationKey]*observation{},
		discovery:           discovery{absences: map[string]int{}},
		polling:             polling{states: map[string]*pollState{}},
		queues:              map[string]*reportQueue{},
	}
}

// Serve runs the health checks until the context ends, and returns the context's
// error.
func (c *Checker) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.resetCalls()
	ticker := c.clock.Ticker(tickInterval)
	defer ticker.Stop()
	for {
		c.runDue(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case complete := <-c.results:
			complete()
		case apply := <-c.passiveObservations:
			apply()
		}
	}
}

// resetCalls discards the calls of an earlier run of Serve, whose results are lost.
func (c *Checker) resetCalls() {
	c.discovery.inFlight = false
	c.polling.reset()
	for _, queue := range c.queues {
		queue.inFlight = false
	}
	c.results = make(chan func(), c.config.MaxConcurrentPolls+otherResultsCapacity)
}

// Observe reports whether a request of this process reached a server (passive health
// check). The report replaces that of the front's last poll of the server, because
// both are from SourceServer. It is applied to this front's own view immediately and
// reaches other fronts through the cores. Observe blocks until the report is queued or
// the context ends.
func (c *Checker) Observe(ctx context.Context, server string, reachable bool) {
	observedAt := c.config.FleetNow()
	apply := func() {
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: server, Reachable: reachable}, observedAt)
	}
	select {
	case c.passiveObservations <- apply:
	case <-ctx.Done():
	}
}

// String returns the name of the service.
func (c *Checker) String() string { return "watcher" }

// runDue starts the work that is due: a read of the list, polls, and submissions of
// reports.
func (c *Checker) runDue(ctx context.Context) {
	now := c.clock.Now()
	view := c.config.View()
	c.serverCount = len(view.Servers)
	if !c.discovery.inFlight && !now.Before(c.discovery.nextReadAt) && c.readsList(view.Fronts) {
		c.discovery.nextReadAt = now.Add(c.listInterval())
		c.discover(ctx, view.Fronts)
	}
	if !c.config.ListOnly && !now.Before(c.polling.nextRoundAt) {
		c.queueDuePolls(view)
		c.polling.nextRoundAt = now.Add(c.pollInterval())
	}
	c.startPolls(ctx, view)
	c.submitPending(ctx, now)
}

// runAsync runs a call in a goroutine of its own. The owner then runs the completion
// that the call returns, unless the context has ended.
func (c *Checker) runAsync(ctx context.Context, call func() (complete func())) {
	results := c.results
	go func() {
		complete := call()
		select {
		case results <- complete:
		case <-ctx.Done():
		}
	}()
}
