// Package follower maintains the control state of a front: its configuration, its
// lease and its view of the other processes. It has five parts:
//
//   - renewal: it renews the front's lease at the cores, directly or, in a large
//     fleet, through one core that relays the renewal to the others;
//   - feed: it follows the numbered changes on the feed of one core by long polls,
//     and falls back to a snapshot if it lags behind;
//   - membership: it pings the other members and merges the results with the feed's
//     reports on them;
//   - fleet time: it estimates the median of the cores' clocks;
//   - publication: it publishes the state as immutable views, on which the
//     goroutines that serve requests base their decisions.
//
// One goroutine, the owner, runs Serve and owns all mutable state. Calls to other
// processes run in goroutines of their own and post their results to the owner's
// inbox. Readers load the published values through atomic pointers and never wait
// for the owner.
//
// The package makes no decision about individual requests and writes nothing to
// disk. Whether the front may serve is computed by lease.Holder; see Gray & Cheriton
// 1989 for leases.
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config holds a follower's settings. Durations are measured by the clock that is
// passed to New.
type Config struct {
	// Self returns this process's own record, a new value at each call.
	Self func() *wire.Process
	// LeaseTTL is how long a lease lasts, counted from when the renewal request was
	// sent.
	LeaseTTL time.Duration
	// RenewInterval is the time between two renewals at each core.
	RenewInterval time.Duration
	// PingInterval is the time between two pings of each member of a small fleet,
	// and the timeout of a ping.
	PingInterval time.Duration
	// FeedWait is how long a core may hold a poll of the feed open while there are
	// no changes.
	FeedWait time.Duration
	// KnownProcesses returns the processes in the directory, sorted by name.
	KnownProcesses func() []port.KnownProcess
	// CoreStaleAfter is how long after its last granted renewal a core is no longer
	// preferred for the feed or as a relay.
	CoreStaleAfter time.Duration
	// ConfirmRunning is called with all processes that the feed doesn't report as
	// left, after each change of these reports. It may be nil.
	ConfirmRunning func(running []*wire.Process)
}

const (
	inboxCapacity = 256

	// initialFeedGrace is how long after its start a front expects its first
	// configuration from the feed. Until then it doesn't fetch the configuration
	// from another process, because a snapshot is large.
	initialFeedGrace = 2 * time.Second
	// snapshotTimeout bounds calls whose answer may contain a snapshot.
	snapshotTimeout = 5 * time.Second
	// reportPruneInterval is the time between two removals of outdated reports on
	// servers.
	reportPruneInterval = 2 * time.Second
)

// Follower maintains a front's control state. The fields from inbox on, except
// serveContext, belong to the owner, the goroutine that runs Serve.
type Follower struct {
	config Config
	name   string
	peers  port.Peers
	clock  clock.Clock
	log    events.Log

	view           atomic.Pointer[View]
	changed        atomic.Pointer[chan struct{}] // closed when a newer view is published
	authorityUntil atomic.Pointer[time.Time]     // when the authority expires; the zero time if there is none
	confirmed      atomic.Pointer[confirmedVersion]
	fleetTime      fleetClock

	inbox        chan func()
	serveContext atomic.Pointer[context.Context] // context of the latest call of Serve
	ctx          context.Context
	startedAt    time.Time

	holder          *lease.Holder
	hasAuthority    bool
	authoritySource lease.Source
	leaving         bool

	configuration   configuration
	plan            *wire.Plan
	reports         *serverstatus.ReportStore
	reportsPrunedAt time.Time

	renewals     renewals
	feed         feedState
	membership   membership
	pinger       pinger
	buffers      memberBuffers
	hasPublished bool
}

// New returns a follower without any state. It makes no calls until Serve runs.
func New(config Config, peers port.Peers, clock clock.Clock, log events.Log) *Follower {
	name := config.Self().Name
	follower := &Follower{
		config:     config,
		name:       name,
		peers:      peers,
		clock:      clock,
		log:        log,
		inbox:      make(chan func(), inboxCapacity),
		holder:     lease.NewHolder(name, config.LeaseTTL),
		reports:    serverstatus.NewReportStore(serverstatus.Config{}),
		fleetTime:  fleetClock{offsets: map[string]time.Duration{}},
		renewals:   renewals{cores: map[string]*coreRenewal{}},
		membership: newMembership(name),
	}
	firstChange := make(chan struct{})
	follower.changed.Store(&firstChange)
	background := context.Background()
	follower.serveContext.Store(&background)
	follower.authorityUntil.Store(&time.Time{})
	follower.confirmed.Store(&confirmedVersion{unconfirmed: true})
	follower.view.Store(&View{Index: statemachine.State{}.Index(), Servers: map[string]*wire.ServerStatus{}})
	return follower
}

// Serve runs the event loop of the owner until the context ends, and returns the
// context's error.
func (f *Follower) Serve(ctx context.Context) error {
	f.ctx = ctx
	f.startedAt = f.clock.Now()
	f.serveContext.Store(&ctx)
	initialRenew := f.clock.Ticker(initialRenewInterval)
	defer initialRenew.Stop()
	initialRenewals := initialRenew.C()
	renew := f.clock.Ticker(f.config.RenewInterval)
	defer renew.Stop()
	ping := f.clock.Ticker(f.config.PingInterval)
	defer ping.Stop()
	publish := f.clock.Ticker(f.config.RenewInterval)
	defer publish.Stop()
	f.renewAll()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case task := <-f.inbox:
			task()
		case <-renew.C():
			f.renewAll()
		case <-initialRenewals:
			if !f.renewUnconfirmed() {
				initialRenew.Stop()
				initialRenewals = nil
			}
		case <-ping.C():
			f.pingMembers()
		case <-publish.C():
			f.pruneReports(f.clock.Now())
			f.publish()
		}
		f.pollFeed()
	}
}

// post passes a task to the owner. It never blocks: if the inbox is full, a
// goroutine delivers the task later, unless Serve ends first.
func (f *Follower) post(task func()) {
	select {
	case f.inbox <- task:
	default:
		serveContext := *f.serveContext.Load()
		go func() {
			select {
			case f.inbox <- task:
			case <-serveContext.Done():
			}
		}()
	}
}

// View returns the latest view; it is never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view is published.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// Report merges a report of this front's own health checks on a server into the
// view, without waiting for the feed to deliver it.
func (f *Follower) Report(report *wire.Report) {
	f.post(func() {
		if f.reports.Add(report, f.FleetNow()) {
			f.publishServers()
		}
	})
}

// Leave ends the authority and the renewals of a front that is stopping, so that a
// lease which it releases afterwards isn't granted again. It waits for the owner,
// and returns the context's error if the context ends first.
func (f *Follower) Leave(ctx context.Context) error {
	done := make(chan struct{})
	f.post(func() {
		f.leaving = true
		f.updateAuthority()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pruneReports removes outdated reports on servers, at most once per
// reportPruneInterval because removal need not be prompt.
func (f *Follower) pruneReports(now time.Time) {
	if now.Sub(f.reportsPrunedAt) < reportPruneInterval {
		return
	}
	f.reportsPrunedAt = now
	f.reports.Prune(f.FleetNow())
}
