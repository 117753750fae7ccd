// Package follower is the control owner of a front. It does five things, a file
// each:
//
//   - renewal: it renews the front's lease at the cores, directly or, in a large
//     fleet, through one core that relays the renewal to the others;
//   - feed: it follows the numbered feed of one core by long polls, and falls
//     back to a snapshot where it lags behind;
//   - membership: it pings the other members and merges what the pings show with
//     what the feed reports of them;
//   - fleet time: it estimates the median of the cores' clocks;
//   - publication: it publishes what the traffic owners decide by as immutable
//     views.
//
// One goroutine, in Serve, owns all mutable state. Calls to other processes run
// off that goroutine and post their results to its inbox. Readers load the
// published values through atomic pointers and never wait for the owner.
//
// The package decides no request and writes nothing to disk. Whether the front
// may decide is computed by lease.Holder; see Gray & Cheriton 1989 for leases.
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

// Config holds a follower's settings. Durations are in the clock's time.
type Config struct {
	// Self returns the process's own record, a fresh one at each call.
	Self func() *wire.Process
	// LeaseTTL is how long a lease lasts after the request that renewed it was
	// sent.
	LeaseTTL time.Duration
	// RenewInterval is the time between two renewals at each core.
	RenewInterval time.Duration
	// PingInterval is the time between two pings of each member of a small
	// fleet, and the timeout of one ping.
	PingInterval time.Duration
	// FeedWait is how long a core may hold a poll of the feed open when it has no
	// news.
	FeedWait time.Duration
	// KnownProcesses returns the processes that the directory knows, by name.
	KnownProcesses func() []port.KnownProcess
	// CoreStaleAfter is how long after its last renewal a core is no longer
	// preferred for the feed or as a relay.
	CoreStaleAfter time.Duration
	// ConfirmLive takes every process that the feed reports as live, after each
	// change; nil for none.
	ConfirmLive func(live []*wire.Process)
}

const (
	inboxCapacity = 256

	// initialFeedGrace is how long after its start a front expects its first
	// configuration from the feed. Until then it requests the same from nobody
	// else, since a snapshot is large.
	initialFeedGrace = 2 * time.Second
	// snapshotTimeout bounds calls whose answer may hold a snapshot.
	snapshotTimeout = 5 * time.Second
	// reportExpiryInterval is the time between two removals of old reports on
	// servers.
	reportExpiryInterval = 2 * time.Second
)

// Follower owns a front's control state. The fields from inbox on, except
// serving, belong to the goroutine in Serve.
type Follower struct {
	config Config
	name   string
	peers  port.Peers
	clock  clock.Clock
	log    events.Log

	view       atomic.Pointer[View]
	changed    atomic.Pointer[chan struct{}] // closed when a newer view is published
	validUntil atomic.Pointer[time.Time]     // the end of the authority; zero while there is none
	confirmed  atomic.Pointer[confirmedVersion]
	fleetTime  fleetClock

	inbox     chan func()
	serving   atomic.Pointer[context.Context] // that of the latest Serve
	ctx       context.Context
	startedAt time.Time

	holder          *lease.Holder
	hasAuthority    bool
	authoritySource lease.Source
	leaving         bool

	configuration configuration
	plan          *wire.Plan
	reports       *serverstatus.ReportStore
	reportsExpiry time.Time // when old reports were last removed

	renewals     renewals
	feed         feedReader
	membership   membership
	pinger       pinger
	members      memberLists
	hasPublished bool
}

// New returns a follower that knows nothing yet. It makes no call before Serve.
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
	idle := context.Background()
	follower.serving.Store(&idle)
	follower.validUntil.Store(&time.Time{})
	follower.confirmed.Store(&confirmedVersion{unconfirmed: true})
	follower.view.Store(&View{Index: statemachine.State{}.Index(), Servers: map[string]*wire.ServerStatus{}})
	return follower
}

// Serve runs the owner until the context ends, and returns the context's error.
func (f *Follower) Serve(ctx context.Context) error {
	f.ctx = ctx
	f.startedAt = f.clock.Now()
	f.serving.Store(&ctx)
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
		case step := <-f.inbox:
			step()
		case <-renew.C():
			f.renewAll()
		case <-initialRenewals:
			if !f.renewUnconfirmed() {
				initialRenew.Stop()
				initialRenewals = nil
			}
		case <-ping.C():
			f.pingDue()
		case <-publish.C():
			f.expireReports(f.clock.Now())
			f.publish()
		}
		f.pollFeed()
	}
}

// post hands a step to the owner. It never waits: where the inbox is full, a
// goroutine delivers the step later, until Serve ends.
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

// View returns the latest view, never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view is published.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// Report adds an observation of a server by this front's own health checks to the
// view, without waiting for the feed.
func (f *Follower) Report(report *wire.Report) {
	f.post(func() {
		if f.reports.Add(report, f.FleetNow()) {
			f.publishServers()
		}
	})
}

// Leave ends the authority and the renewals of a front that stops, so that a
// lease which it releases afterwards is not granted once more. It waits for the
// owner and returns the context's error when that ends first.
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

// expireReports removes old reports on servers, which need not be prompt.
func (f *Follower) expireReports(now time.Time) {
	if now.Sub(f.reportsExpiry) < reportExpiryInterval {
		return
	}
	f.reportsExpiry = now
	f.reports.Prune(f.FleetNow())
}
