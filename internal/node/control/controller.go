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
	// maxOrders bounds the orders under way.
	maxOrders = 64
)

// Replica is what a controller requires of the replica of the agreed state in its
// own process.
type Replica interface {
	// Propose returns once the command is chosen and applied here.
	Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error)
	// ReadMajority returns a state that holds whatever was chosen before the call.
	ReadMajority(ctx context.Context) (statemachine.State, error)
	// Current returns the newest state applied here.
	Current() statemachine.State
	// CommandsAfter returns the commands applied here after a version, oldest first;
	// complete is false when some of them are no longer retained.
	CommandsAfter(after uint64) (chosen []*wire.Chosen, complete bool)
	// Changed returns a channel that is closed when a newer state is applied.
	Changed() <-chan struct{}
	// Read returns how far this core has learned and accepted.
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error)
	// Standing returns whether this core votes, and if not why.
	Standing() wire.Standing
	// Voters returns the names of the voting cores.
	Voters() []string
	// Formation returns the identity of the group of cores, "" before it formed.
	Formation() string
}

// Controller is the control plane of a core. Its methods are safe for concurrent
// use; its state belongs to the goroutine of Serve.
type Controller struct {
	config  Config
	replica Replica
	peers   port.Peers
	clock   clock.Clock
	log     events.Log

	// orderSlots holds a token for each order under way.
	orderSlots chan struct{}
	// inbox holds functions that the owner is to run.
	inbox chan func()
	// listedAtMS is the newest instant, in ms of fleet time, at which a watcher saw
	// the platform's list. Readable from any goroutine.
	listedAtMS atomic.Int64

	// All fields below belong to the owner.

	ctx       context.Context // of Serve
	startedAt time.Time
	// state is the newest state of the replica that was published on the feed.
	state statemachine.State
	// caughtUp is set once the core holds whatever a majority had chosen when it
	// started; before that it grants no lease.
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
	outboxes map[string]*outbox // by the name of a core
	planner  planner
}

// New returns a controller whose startup grace begins now.
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

// Serve runs the owner until the context ends. It may be called again after it
// returned; what was under way then is dropped.
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
		// The channel is taken before the state is read, so that no change between
		// the two is missed.
		changed := c.replica.Changed()
		c.publishNewState()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case step := <-c.inbox:
			step()
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

// post hands a function to the owner; it reports whether that was possible before
// the context ended.
func (c *Controller) post(ctx context.Context, step func()) bool {
	select {
	case c.inbox <- step:
		return true
	case <-ctx.Done():
		return false
	}
}

// query runs a function at the owner and returns its result, or the error of the
// context if that ends first.
func query[T any](ctx context.Context, c *Controller, read func() T) (T, error) {
	reply := make(chan T, 1)
	var none T
	if !c.post(ctx, func() { reply <- read() }) {
		return none, ctx.Err()
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// otherCores returns the records of the other voting cores that are known.
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

// rank returns this core's position among the voters in the order of their names.
func (c *Controller) rank() (position int, voter bool) {
	voters := slices.Clone(c.replica.Voters())
	slices.Sort(voters)
	position = slices.Index(voters, c.config.Self)
	return position, position >= 0
}

// proposalDelay returns how long this core waits before it proposes what every
// core would, so that they rarely compete.
func (c *Controller) proposalDelay() time.Duration {
	position, _ := c.rank()
	return time.Duration(max(position, 0)) * c.config.ProposalStagger
}

func (c *Controller) mayPropose() bool {
	_, voter := c.rank()
	return voter && c.caughtUp && c.votes()
}

func (c *Controller) votes() bool {
	return c.replica.Standing() == wire.Standing_STANDING_VOTING
}

// notReady returns why the core grants no leases yet, nil when it does.
func (c *Controller) notReady() *apierror.Error {
	switch c.replica.Standing() {
	case wire.Standing_STANDING_BLANK, wire.Standing_STANDING_UNSPECIFIED:
		return apierror.Errorf(apierror.CoreBlank, "the cores have not formed yet")
	case wire.Standing_STANDING_AMNESIAC:
		return apierror.Errorf(apierror.CoreAmnesiac, "the core rebuilds its state")
	}
	if !c.caughtUp {
		return apierror.Errorf(apierror.NoMajority, "the core has not caught up since its start")
	}
	return nil
}
