package follower

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config holds a follower's settings. Durations are in the clock's time.
type Config struct {
	Self         func() *wire.Process // own record, a fresh one at each call
	LeaseTTL     time.Duration
	RenewEvery   time.Duration
	PingEvery    time.Duration
	FeedWait     time.Duration
	Sighted      func() []port.Sight // processes known to the directory, by name
	CoreStaleFor time.Duration       // silence after which another core is followed
	// Attest takes every process that the feed says is live, after each change;
	// nil lets it be.
	Attest func(live []*wire.Process)
}

// How long a front counts as live after its last sign, which is a ping for a
// member of the roster and a directory's sight for one that isn't on it yet.
const (
	pingFresh  = 1500 * time.Millisecond
	sightFresh = 90 * time.Second
)

// Follower owns a front's control state. All fields below inbox belong to the
// goroutine in Serve.
type Follower struct {
	config Config
	name   string
	peers  port.Peers
	clock  clock.Clock
	log    events.Log

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	lapse   atomic.Pointer[time.Time] // until when the node rules; zero time when it does not
	offset  atomic.Int64              // fleet time less the clock, nanoseconds
	timed   atomic.Bool               // fleet time may be decided by
	pinged  atomic.Pointer[standing]

	inbox   chan func()
	serving atomic.Pointer[context.Context] // of the newest Serve
	ctx     context.Context
	begun   time.Time

	holder   *lease.Holder
	state    sheet.State
	held     bool
	reports  *serverstatus.ReportStore
	plan     *wire.Plan
	offsets  map[string]time.Duration
	renewing map[string]bool
	pinging  map[string]bool
	contact  map[string]time.Time // last answer of each peer
	asked    map[string]time.Time // first ping of each peer that is still unanswered
	refused  map[string]time.Time // peers whose last answer was a refused connection, and when
	told     map[string]told      // what the feed says of processes
	fedAt    time.Time            // when a core last answered with the feed
	words    map[string]word      // what each peer last said of itself
	turn     int
	rested   int       // intervals in which a large roster was not pinged as a whole
	wave     []string  // peers still to be pinged at this pace
	waved    time.Time // when the whole of a large roster was last begun
	failing  map[string]bool
	again    map[string]bool
	recorded map[string]*wire.Process // own record as each core last answered it
	behind   map[string]uint64
	unfed    string // the core whose feed failed last
	fetching bool
	feed     place
	ruling   bool
	ruledBy  lease.Source
	presence map[string]presence
	lives    map[string]uint64
	tell     map[string]bool // peers to be pinged again once the ping under way ends
	left     bool
	// directUntil is until when renewals go to every core instead of through one.
	directUntil time.Time
	found       found
	expired     time.Time // when old reports were last let go
	// published tells that a view was handed out, so that the first is, whatever it says.
	published bool
}

type place struct {
	core   string
	feed   string
	number uint64
	heard  time.Time
	open   bool
}

// word is what a peer says of itself in its answer to a ping; it is newer than
// the directory's record of the same incarnation.
type word struct {
	incarnation    uint64
	ready, leaving bool
	at             time.Time
}

type standing struct {
	version     uint64
	unconfirmed bool
}

// A node that starts takes its first state from the feed. While that may be on
// its way nothing else is asked for the same, and large ones are given time.
const (
	startByFeed  = 2 * time.Second
	largeTimeout = 5 * time.Second
)

// New returns a follower that knows nothing yet.
func New(config Config, peers port.Peers, clock clock.Clock, log events.Log) *Follower {
	f := &Follower{
		config: config, name: config.Self().Name, peers: peers, clock: clock, log: log,
		inbox: make(chan func(), 256), holder: lease.NewHolder(config.Self().Name, config.LeaseTTL),
		reports: serverstatus.NewReportStore(serverstatus.Config{}), offsets: map[string]time.Duration{},
		renewing: map[string]bool{}, pinging: map[string]bool{}, contact: map[string]time.Time{}, asked: map[string]time.Time{}, refused: map[string]time.Time{}, told: map[string]told{}, words: map[string]word{}, presence: map[string]presence{}, lives: map[string]uint64{}, again: map[string]bool{}, failing: map[string]bool{}, recorded: map[string]*wire.Process{}, tell: map[string]bool{}, behind: map[string]uint64{},
	}
	first := make(chan struct{})
	f.changed.Store(&first)
	idle := context.Background()
	f.serving.Store(&idle)
	f.lapse.Store(&time.Time{})
	f.pinged.Store(&standing{unconfirmed: true})
	f.view.Store(&View{Index: sheet.State{}.Index(), Servers: map[string]*wire.ServerStatus{}})
	return f
}

// View returns the newest view, never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view is published.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// Ruling tells, at this very moment, whether the node may decide by its view.
// A process that was frozen and thawed finds its leases lapsed.
func (f *Follower) Ruling() bool { return f.clock.Now().Before(*f.lapse.Load()) }

// Report puts a watcher's own sight into the view at once.
func (f *Follower) Report(report *wire.Report) {
	f.post(func() {
		if f.reports.Add(report, f.FleetNow()) {
			f.publishServers()
		}
	})
}

// Leave ends the ruling and the renewals of a front that stops: what it
// releases afterwards is not given again.
func (f *Follower) Leave(ctx context.Context) error {
	done := make(chan struct{})
	f.post(func() {
		f.left = true
		f.judge()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Follower) post(step func()) {
	select {
	case f.inbox <- step:
	default:
		serving := *f.serving.Load()
		go func() {
			select {
			case f.inbox <- step:
			case <-serving.Done():
			}
		}()
	}
}

// Serve runs the owner until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.ctx, f.begun = ctx, f.clock.Now()
	f.serving.Store(&ctx)
	hasten := f.clock.Ticker(hastenEvery)
	defer hasten.Stop()
	hastening := hasten.C()
	renew, ping, fold := f.clock.Ticker(f.config.RenewEvery), f.clock.Ticker(f.config.PingEvery), f.clock.Ticker(f.config.RenewEvery)
	defer renew.Stop()
	defer ping.Stop()
	defer fold.Stop()
	f.renewAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case step := <-f.inbox:
			step()
		case <-renew.C():
			f.renewAll()
		case <-hastening:
			if !f.hasten() {
				hasten.Stop()
				hastening = nil
			}
		case <-ping.C():
			f.pingAll()
		case <-fold.C():
			f.expire(f.clock.Now())
			f.publish()
		}
		f.follow()
	}
}

// expire lets old reports go, which is no matter of moments.
func (f *Follower) expire(now time.Time) {
	if now.Sub(f.expired) < expireEvery {
		return
	}
	f.expired = now
	f.reports.Expire(f.FleetNow())
}

const expireEvery = 2 * time.Second

// hastenEvery is the pace of renewals of a process that is not confirmed yet:
// after a start each moment counts in which it may not rule.
const hastenEvery = 50 * time.Millisecond

// hastenFor is how long after a start renewals are hastened.
const hastenFor = 5 * time.Second

// clockPatience is how long after its start a front waits for every core's
// clock: one clock alone, or two that differ, can't out-vote a wrong one.
const clockPatience = 1500 * time.Millisecond
