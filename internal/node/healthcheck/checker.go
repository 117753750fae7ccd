// Package healthcheck is a front's part in the health checks of the servers. A few
// fronts of each region read the platform's list of servers (service discovery),
// and a few fronts in each server's zone poll its status (active health checks).
// What they observe goes into the front's own view at once and, in batches, to
// every core, which merges the reports of all fronts.
//
// Which front checks what is decided by rendezvous hashing over the known fronts,
// so it needs no agreement. Fronts whose knowledge differs may check the same
// server, which is harmless, as reports are ordered by the core that merges them.
//
// The package doesn't decide whether a server is healthy, nor which server gets a
// request.
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

// Config holds a checker's settings.
type Config struct {
	// Self is the name of the front's process, and Region and Zone where it runs.
	Self   string
	Region string
	Zone   string
	// Incarnation is that of the process; it orders its reports after those of an
	// earlier one.
	Incarnation uint64
	// View returns the latest merged view of the fleet.
	View func() View
	// Report takes an observation into the front's own view.
	Report func(*wire.Report)
	// FleetNow returns fleet time.
	FleetNow func() time.Time

	// ListInterval is the least time between two readings of the list; 500 ms when
	// zero.
	ListInterval time.Duration
	// PollInterval is the least time between two polls of a server; 500 ms when zero.
	PollInterval time.Duration
	// SubmitTimeout bounds the call that submits a batch of reports to a core; 1 s
	// when zero.
	SubmitTimeout time.Duration
	// ListReaders is how many fronts of a region read the list; 3 when zero.
	ListReaders int
	// ServerPollers is how many fronts poll a server; 2 when zero.
	ServerPollers int
	// UnresponsiveAfter is the number of successive polls without an answer after
	// which a server counts as unreachable; 2 when zero.
	UnresponsiveAfter int
	// MaxPolls is how many polls are in flight at once; 32 when zero.
	MaxPolls int
	// ListOnly turns polls off, for platforms whose servers report no status or
	// charge for it. Their health is then judged by the list and by the answers to
	// requests.
	ListOnly bool
	// DrainWithin is how soon after the list shows that a server drains no more
	// requests may be sent to it; zero where that is not known. See standbyDelay.
	DrainWithin time.Duration
}

func (c Config) withDefaults() Config {
	c.ListInterval = cmp.Or(c.ListInterval, 500*time.Millisecond)
	c.PollInterval = cmp.Or(c.PollInterval, 500*time.Millisecond)
	c.SubmitTimeout = cmp.Or(c.SubmitTimeout, time.Second)
	c.ListReaders = cmp.Or(c.ListReaders, 3)
	c.ServerPollers = cmp.Or(c.ServerPollers, 2)
	c.UnresponsiveAfter = cmp.Or(c.UnresponsiveAfter, 2)
	c.MaxPolls = cmp.Or(c.MaxPolls, 32)
	return c
}

// View is what the checker needs to know of the fleet. It is immutable.
type View struct {
	Servers map[string]*wire.ServerStatus // merged, by name
	Fronts  []*wire.Process               // the live ones
}

const (
	// tickInterval is how often the checker looks for what is due.
	tickInterval = 100 * time.Millisecond
	// spareResults is the room for results beside those of polls.
	spareResults         = 8
	observationsCapacity = 64
)

// Checker is a supervised service. Its state belongs to the goroutine of Serve;
// calls run off it and return their results to it.
type Checker struct {
	config Config
	source port.ServerSource
	peers  port.Peers
	clock  clock.Clock
	log    events.Log

	results chan func() // of calls in flight
	steps   chan func() // observations by other parts of the node

	reportCounter uint64 // of the last report
	serverCount   int    // in the view
	observations  map[observationKey]*observation
	discovery     discovery
	polling       polling
	queues        map[string]*reportQueue // by core
}

// New returns a checker. It makes no call before Serve.
func New(config Config, source port.ServerSource, peers port.Peers, clock clock.Clock, log events.Log) *Checker {
	config = config.withDefaults()
	return &Checker{
		config:       config,
		source:       source,
		peers:        peers,
		clock:        clock,
		log:          log,
		results:      make(chan func(), config.MaxPolls+spareResults),
		steps:        make(chan func(), observationsCapacity),
		observations: map[observationKey]*observation{},
		discovery:    discovery{absences: map[string]int{}},
		polling:      polling{polls: map[string]*poll{}},
		queues:       map[string]*reportQueue{},
	}
}

// Serve checks servers until the context ends, and returns the context's error.
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
		case step := <-c.steps:
			step()
		}
	}
}

// resetCalls forgets the calls of an earlier Serve, whose results are lost.
func (c *Checker) resetCalls() {
	c.discovery.inFlight = false
	c.polling.reset()
	for _, queue := range c.queues {
		queue.inFlight = false
	}
	c.results = make(chan func(), c.config.MaxPolls+spareResults)
}

// Observe reports what this node's own requests showed of a server (passive health
// check): whether it is reachable. It takes the place of this front's last poll of
// the server, as both report from SourceServer, and reaches this front's own view at
// once and the others through the cores. It waits for the owner until the context
// ends.
func (c *Checker) Observe(ctx context.Context, server string, reachable bool) {
	at := c.config.FleetNow()
	step := func() {
		c.record(serverstatus.SourceServer, &wire.ServerStatus{Name: server, Reachable: reachable}, at)
	}
	select {
	case c.steps <- step:
	case <-ctx.Done():
	}
}

// String names the service for its supervisor.
func (c *Checker) String() string { return "watch" }

// runDue starts what is due: a reading of the list, polls, and batches of reports.
func (c *Checker) runDue(ctx context.Context) {
	now := c.clock.Now()
	view := c.config.View()
	c.serverCount = len(view.Servers)
	if !c.discovery.inFlight && !now.Before(c.discovery.nextAt) && c.readsList(view.Fronts) {
		c.discovery.nextAt = now.Add(c.listInterval())
		c.discover(ctx, view.Fronts)
	}
	if !c.config.ListOnly && !now.Before(c.polling.nextAt) {
		c.queueDuePolls(view)
		c.polling.nextAt = now.Add(c.pollInterval())
	}
	c.startPolls(ctx, view)
	c.submitPending(ctx, now)
}

// runAsync runs a call off the owner, and the completion that it returns on the
// owner.
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
