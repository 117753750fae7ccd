// Package healthcheck is a front's part in watching the servers: a few fronts of each
// region read the platform's list, and a few fronts in each server's zone
// ask it for its own status. What they see goes into the front's own view at
// once and to every core.
//
// Who watches what follows from rendezvous hashing over the ready fronts, so it
// needs no agreement; a front that isn't sure watches too, as a watcher too
// many does no harm.
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

// Config is a front's place and pace. Incarnation is that of its process. Zero
// values mean: ListEvery and StatusEvery 500 ms, SendTimeout 1 s, 3 fronts a
// region for the list, 2 a server, 2 silent polls until a server counts as
// silent, 32 polls at once.
type Config struct {
	Self         string
	Region, Zone string
	Incarnation  uint64
	ListEvery    time.Duration
	StatusEvery  time.Duration
	SendTimeout  time.Duration
	ListFronts   int
	ServerFronts int
	SilentAfter  int
	Workers      int
	// ListOnly leaves the servers' own status alone, for sources that have none
	// or charge for it: then servers are judged by the list and by their answers.
	ListOnly bool
	// DrainWithin is how soon after the list shows that a server drains it must get
	// nothing more; zero where that is not known. See standby.
	DrainWithin time.Duration
}

func (c Config) orDefaults() Config {
	c.ListEvery = cmp.Or(c.ListEvery, 500*time.Millisecond)
	c.StatusEvery = cmp.Or(c.StatusEvery, 500*time.Millisecond)
	c.SendTimeout = cmp.Or(c.SendTimeout, time.Second)
	c.ListFronts = cmp.Or(c.ListFronts, 3)
	c.ServerFronts = cmp.Or(c.ServerFronts, 2)
	c.SilentAfter = cmp.Or(c.SilentAfter, 2)
	c.Workers = cmp.Or(c.Workers, 32)
	return c
}

// View is what the watcher needs to know: the folded servers and the fronts
// that are ready. It must not be changed afterwards.
type View struct {
	Servers map[string]*wire.ServerStatus
	Fronts  []*wire.Process
}

// Watcher is a supervised service; its state belongs to the goroutine of Serve.
type Watcher struct {
	cfg      Config
	source   port.ServerSource
	peers    port.Peers
	clock    clock.Clock
	view     func() View
	report   func(*wire.Report)
	fleetNow func() time.Time
	log      events.Log

	counter uint64
	results chan func()
	// observed are steps that other parts of the node hand in.
	observed chan func()
	busy     int
	listing  bool
	failing  bool
	readers  readers
	calls    int // that the last list took
	missing  map[string]int
	sights   map[sightKey]*sight
	polls    map[string]*poll
	waiting  []string
	outbox   map[string]*outbox
	listAt   time.Time
	listedAt time.Time // fleet time of the list that they were last told of
	stoodAt  time.Time // when the cores were last told that the listed sights stand
	pollAt   time.Time
	size     int
}

const (
	tick       = 100 * time.Millisecond
	goneFor    = 10 * time.Second
	retryAfter = 200 * time.Millisecond
	batchSize  = 512
	rampSeen   = 64
)

// New returns a watcher. view gives the newest view, report takes a sight into
// the front's own view, fleetNow is fleet time.
func New(cfg Config, source port.ServerSource, peers port.Peers, clock clock.Clock, view func() View, report func(*wire.Report), fleetNow func() time.Time, log events.Log) *Watcher {
	cfg = cfg.orDefaults()
	return &Watcher{cfg: cfg, source: source, peers: peers, clock: clock, view: view, report: report, fleetNow: fleetNow,
		log: log, results: make(chan func(), cfg.Workers+8), observed: make(chan func(), 64), missing: map[string]int{},
		sights: map[sightKey]*sight{}, polls: map[string]*poll{}, outbox: map[string]*outbox{}}
}

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.busy, w.listing, w.waiting = 0, false, nil
	for _, p := range w.polls {
		p.running = false
	}
	for _, box := range w.outbox {
		box.sending = false
	}
	w.results = make(chan func(), w.cfg.Workers+8)
	ticker := w.clock.Ticker(tick)
	defer ticker.Stop()
	for {
		w.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case done := <-w.results:
			done()
		case step := <-w.observed:
			step()
		}
	}
}

// Observe reports what this node's own requests show of a server: that it
// answers, or that it is silent. It waits for the owner, but not longer than
// the context.
func (w *Watcher) Observe(ctx context.Context, server string, reachable bool) {
	at := w.fleetNow()
	step := func() { w.see(serverstatus.SourceServer, &wire.ServerStatus{Name: server, Reachable: reachable}, at) }
	select {
	case w.observed <- step:
	case <-ctx.Done():
	}
}

// String names the service for its supervisor.
func (w *Watcher) String() string { return "watch" }

func (w *Watcher) step(ctx context.Context) {
	now, v := w.clock.Now(), w.view()
	w.size = len(v.Servers)
	if !w.listing && !now.Before(w.listAt) && w.readsList(v.Fronts) {
		w.listAt = now.Add(w.listEvery())
		w.lookAtList(ctx, v.Fronts)
	}
	if !w.cfg.ListOnly && !now.Before(w.pollAt) {
		w.duePolls(v)
		w.pollAt = now.Add(max(w.cfg.StatusEvery, time.Duration(len(w.polls))*pollCost))
	}
	for len(w.waiting) > 0 && w.busy < w.cfg.Workers {
		name := w.waiting[0]
		w.waiting = w.waiting[1:]
		if status := v.Servers[name]; status != nil {
			w.pollServer(ctx, name, status.Address)
		} else if p := w.polls[name]; p != nil {
			p.running = false
		}
	}
	w.send(ctx, now)
}

// work runs f off the owner and its result on it.
func (w *Watcher) work(ctx context.Context, f func() func()) {
	results := w.results
	go func() {
		done := f()
		select {
		case results <- done:
		case <-ctx.Done():
		}
	}()
}
