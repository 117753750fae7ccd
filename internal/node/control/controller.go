package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	tickInterval  = 50 * time.Millisecond
	inboxCapacity = 1024
	// maxOrders bounds the number of orders and reads in progress.
	maxOrders = 64
)

// Replica is the interface of the core's replica of the agreed state, which runs
// in the same process.
type Replica interface {
	// Propose proposes a command and returns once it is chosen and applied here.
	Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error)
	// ReadMajority reads from a majority of cores and returns a state that includes
	// every command chosen before the call.
	ReadMajority(ctx context.Context) (statemachine.State, error)
	// Current returns the state after the last command applied here.
	Current() statemachine.State
	// CommandsAfter returns the commands applied here after a version, oldest first.
	// complete is false if some of them are no longer retained.
	CommandsAfter(after uint64) (chosen []*wire.Chosen, complete bool)
	// Changed returns a channel that is closed when Current next changes.
	Changed() <-chan struct{}
	// Read returns the highest versions that this core has learned and accepted.
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error)
	// Standing returns whether this core votes and, if not, the reason.
	Standing() wire.Standing
	// Voters returns the names of the voting cores.
	Voters() []string
	// Incarnation returns this core's disk incarnation, zero until it votes.
	Incarnation() uint64
	// ReplacedIncarnations returns the newest known disk incarnations of the voters whose
	// disk was lost or replaced. Callers must not modify the map.
	ReplacedIncarnations() map[string]uint64
	// Formation returns the id of the formation, which is the group of voting cores;
	// "" before the group has formed.
	Formation() string
}

// Controller is the control plane of a core. Its methods are safe for concurrent
// use. Its state is owned by the goroutine that runs Serve.
type Controller struct {
	config  Config
	replica Replica
	peers   port.Peers
	clock   clock.Clock
	log     events.Log

	// orderSlots holds one token for each order or read in progress.
	orderSlots chan struct{}
	// inbox queues functions for the owner to run.
	inbox chan func()
	// platformListedAtMS is the latest time at which a watcher read the platform's
	// list of servers, in Unix milliseconds of fleet time. Any goroutine may read it.
	platformListedAtMS atomic.Int64

	// The fields below are accessed only by the owner.

	// ctx is the context of Serve.
	ctx       context.Context
	startedAt time.Time
	// state is the newest state whose commands were published on the feed.
	state statemachine.State
	// caughtUp is set once this core has learned every command that was chosen
	// before it started. Until then it grants no lease.
	caughtUp   bool
	jobs       runningJobs
	conditions conditionTimers

	leases      *lease.Table
	statuses    memberStatuses
	pings       pingTracker
	coreViews   coreViews
	viewWaiters []*viewWaiter
	relays      relayQueues

	feed     *feed
	reports  *serverReports
	outboxes map[string]*outbox // by core name
	planner  planner
}

// New returns a controller. The startup grace, during which leases granted by the
// core's former incarnation may still be active, begins now.
func New(config Config, replica Replica, peers port.Peers, clock clock.Clock, log events.Log) *Controller {
	config = config.withDefaults(clock)
	return &Controller{
		config:     config,
		replica:    replica,
		peers:      peers,
		clock:      clock,
		log:        log,
		orderSlots: make(chan struct{}, maxOrders),
		inbox:      make(chan func(), inboxCapacity),
		startedAt:  clock.Now(),
		jobs:       runningJobs{},
		conditions: conditionTimers{},
		leases:     lease.NewTable(config.Self, config.LeaseTTL, clock.Now()),
		statuses:   memberStatuses{tracker: lease.NewStatusTracker()},
		pings:      pingTracker{inFlight: map[string]bool{}},
		coreViews:  coreViews{byCore: map[string]coreView{}},
		relays:     relayQueues{byCore: map[string][]relayedRenewal{}},
		feed:       newFeed(config.Self, config.Incarnation, config.FeedCapacity),
		reports:    newServerReports(config.Self, config.Incarnation, config.ServerStatus),
		outboxes:   map[string]*outbox{},
	}
}

// Serve runs the owner until the context ends, and returns the context's error. It
// may be called again after it has returned. Work that was in progress then is
// abandoned.
func (c *Controller) Serve(ctx context.Context) error {
	c.ctx = ctx
	clear(c.pings.inFlight)
	clear(c.jobs)
	for _, box := range c.outboxes {
		box.sending = false
	}
	ticker := c.clock.Ticker(tickInterval)
	defer ticker.Stop()
	for {
		// The channel must be obtained before the state is read; otherwise a change
		// in between would be missed.
		changed := c.replica.Changed()
		c.publishNewState()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case operation := <-c.inbox:
			operation()
		case <-changed:
		case <-ticker.C():
			c.tick(c.clock.Now())
		}
	}
}

func (c *Controller) tick(now time.Time) {
	c.catchUp()
	c.leases.Prune(now)
	c.feed.dropEndedWaiters()
	c.publishDueReports(now)
	c.pingIdleMembers(now)
	c.publishMemberStatuses(now)
	c.answerViewWaiters()
	c.pollCoreViews(now)
	c.maintainRoster(now)
	c.campaignForPlanner(now)
	c.updatePlan(now)
	c.flushOutboxes()
	c.flushRelays(now)
}

// post queues a function for the owner. It returns false if the context ended
// before there was room in the inbox.
func (c *Controller) post(ctx context.Context, operation func()) bool {
	select {
	case c.inbox <- operation:
		return true
	case <-ctx.Done():
		return false
	}
}

// callOwner runs a function in the owner goroutine and returns its result, or the
// context's error if the context ends first.
func callOwner[T any](ctx context.Context, c *Controller, operation func() T) (T, error) {
	reply := make(chan T, 1)
	var zero T
	if !c.post(ctx, func() { reply <- operation() }) {
		return zero, ctx.Err()
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// otherCores returns the records of the other voting cores, without those whose
// records are unknown.
func (c *Controller) otherCores() []*wire.Process {
	var others []*wire.Process
	for _, voter := range c.replica.Voters() {
		if voter == c.config.Self {
			continue
		}
		if core, ok := c.peers.Process(voter); ok {
			others = append(others, core)
		}
	}
	return others
}

// rank returns this core's position among the voters, sorted by name. voter is
// false if this core is not a voter.
func (c *Controller) rank() (position int, voter bool) {
	voters := slices.Clone(c.replica.Voters())
	slices.Sort(voters)
	position = slices.Index(voters, c.config.Self)
	return position, position >= 0
}

// proposalDelay returns how long this core waits before it proposes a command that
// every core would propose. The delays differ, so that cores rarely compete.
func (c *Controller) proposalDelay() time.Duration {
	position, _ := c.rank()
	return time.Duration(max(position, 0)) * c.config.ProposalStagger
}

// mayPropose reports whether this core may propose commands of its own: it is a
// voter, votes and has caught up.
func (c *Controller) mayPropose() bool {
	_, voter := c.rank()
	return voter && c.caughtUp && c.isVoting()
}

func (c *Controller) isVoting() bool {
	return c.replica.Standing() == wire.Standing_STANDING_VOTING
}

// notReady returns the error for renewals while this core grants no leases, or nil
// if it grants them.
func (c *Controller) notReady() *apierror.Error {
	switch c.replica.Standing() {
	case wire.Standing_STANDING_BLANK, wire.Standing_STANDING_UNSPECIFIED:
		return apierror.Errorf(apierror.CoreBlank, "the group of cores has not formed yet")
	case wire.Standing_STANDING_AMNESIAC:
		return apierror.Errorf(apierror.CoreRecovering, "the core is rebuilding its state from the other cores")
	}
	if !c.caughtUp {
		return apierror.Errorf(apierror.NoMajority, "the core has not caught up with a majority of cores since its start")
	}
	return nil
}
