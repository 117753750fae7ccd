// Package control is the control part of a process with a disk, beside its
// replica: it gives leases, feeds the fleet, coordinates orders until they are in
// force, keeps the roster and carries duties. One goroutine owns all of it;
// handlers ask it and wait outside.
package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/election"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config is what a core is set up with. Zero values take the defaults named.
type Config struct {
	Self        string
	Incarnation uint64
	LeaseTTL    time.Duration // 2 s
	PingEvery   time.Duration // 500 ms: pace of pings and of the cores' views
	QuietAfter  time.Duration // 700 ms: silence after which a member is pinged
	BatchFor    time.Duration // 300 ms: how long new members are gathered
	RemoveAfter time.Duration // 60 s of unbroken refusal
	TurnStep    time.Duration // 500 ms: stagger between cores that would propose the same
	PlanPeriod  time.Duration // 5 s
	LoadEvery   time.Duration // 1 s: pace at which mere load rides the feed
	AckPace     time.Duration // 50 ms: slowest pace at which views are asked for an order
	OrderWait   time.Duration // 10 s: patience of an order that names none
	FeedWait    time.Duration // 5 s: longest poll
	FeedBound   int           // 4096 changes
	SheetMax    int           // 16 MiB
	Merge       serverstatus.Config
	Policy      plan.Policy
	// Setting checks a run-time setting of a sheet; nil lets all pass.
	Setting func(name, value string) error
	// FleetNow gives fleet time; the clock's own when nil.
	FleetNow func() time.Time
}

func (c Config) orDefaults(clock clock.Clock) Config {
	span := func(d *time.Duration, fallback time.Duration) {
		if *d <= 0 {
			*d = fallback
		}
	}
	span(&c.LeaseTTL, 2*time.Second)
	span(&c.PingEvery, 500*time.Millisecond)
	span(&c.QuietAfter, 700*time.Millisecond)
	span(&c.BatchFor, 300*time.Millisecond)
	span(&c.RemoveAfter, time.Minute)
	span(&c.TurnStep, 500*time.Millisecond)
	span(&c.PlanPeriod, 5*time.Second)
	span(&c.LoadEvery, time.Second)
	span(&c.AckPace, 50*time.Millisecond)
	span(&c.OrderWait, 10*time.Second)
	span(&c.FeedWait, 5*time.Second)
	if c.FeedBound <= 0 {
		c.FeedBound = 4096
	}
	if c.SheetMax <= 0 {
		c.SheetMax = 16 << 20
	}
	if c.FleetNow == nil {
		c.FleetNow = clock.Now
	}
	return c
}

// Agreement is what a core needs of its replica.
type Agreement interface {
	// Propose returns once the command is chosen and applied here.
	Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error)
	// ReadMajority returns a state that holds whatever was chosen before the call.
	ReadMajority(ctx context.Context) (statemachine.State, error)
	// Current returns the newest state applied here.
	Current() statemachine.State
	// Learned returns the commands applied here after a version, oldest first;
	// whole is false when some of them are no longer kept.
	Learned(after uint64) (chosen []*wire.Chosen, whole bool)
	// Changed returns a channel that is closed when a newer state is applied.
	Changed() <-chan struct{}
	// Read tells how far this core has learned and accepted.
	Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error)
	Standing() wire.Standing
	Voters() []string
	Formation() string
}

const (
	tickEvery   = 50 * time.Millisecond
	viewTimeout = 400 * time.Millisecond
	viewWait    = 250 * time.Millisecond
	jobTimeout  = 3 * time.Second
	gatherFor   = 1500 * time.Millisecond
	inboxBound  = 1024
	orderBound  = 64
)

// Core is the runtime of a core. Fields after inbox belong to Serve's
// goroutine.
type Core struct {
	config    Config
	agreement Agreement
	peers     port.Peers
	clock     clock.Clock
	log       events.Log
	orders    chan struct{}
	inbox     chan func()

	listedAt atomic.Int64 // fleet time in ms at which a watcher last saw the platform's list

	ctx       context.Context
	ledger    *lease.Ledger
	opened    bool
	state     statemachine.State
	feed      *feed
	encoded   *encodedState
	reports   *reports
	begun     time.Time
	plan      *wire.Plan
	outboxes  map[string]*outbox
	sights    map[string]sight
	viewers   []*viewer
	processes *lease.Sights
	untold    bool // something rides the feed that no waiter has been answered with
	lastLook  time.Time
	pinging   map[string]bool
	jobs      map[string]bool
	wonTerm   uint64 // of the planner's duty, by this life of the process
	since     map[string]time.Time
	lastViews time.Time
	lastPings time.Time
	relays    map[string][]relayed // renewals that wait for a core, by its name
	lastRelay time.Time
}

// sight is a core's view of one member's lease.
type sight struct {
	at    time.Time
	about string
	view  *wire.LeaseViewResponse
}

// New returns a core whose leases begin now.
func New(config Config, agreement Agreement, peers port.Peers, clock clock.Clock, log events.Log) *Core {
	config = config.orDefaults(clock)
	return &Core{
		config: config, agreement: agreement, peers: peers, clock: clock, log: log,
		orders: make(chan struct{}, orderBound), inbox: make(chan func(), inboxBound),
		begun: clock.Now(), ledger: lease.NewLedger(config.Self, config.LeaseTTL, clock.Now()),
		feed:    newFeed(config.Self, config.Incarnation, config.FeedBound),
		reports: newReports(config.Self, config.Incarnation, config.Merge), outboxes: map[string]*outbox{}, sights: map[string]sight{},
		pinging: map[string]bool{}, jobs: map[string]bool{}, since: map[string]time.Time{},
		processes: lease.NewSights(), relays: map[string][]relayed{},
	}
}

// Serve runs the owner until the context ends.
func (c *Core) Serve(ctx context.Context) error {
	c.ctx = ctx
	clear(c.pinging)
	clear(c.jobs)
	for _, box := range c.outboxes {
		box.busy = false
	}
	tick := c.clock.Ticker(tickEvery)
	defer tick.Stop()
	for {
		changed := c.agreement.Changed()
		c.learn()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case step := <-c.inbox:
			step()
		case <-changed:
		case <-tick.C():
			c.tick(c.clock.Now())
		}
	}
}

func (c *Core) tick(now time.Time) {
	c.open(now)
	c.ledger.Expire(now)
	c.feed.prune()
	c.foldReports(now)
	c.pingQuiet(now)
	c.lookAll(now)
	c.answerViewers()
	c.askViews(now)
	c.keepRoster(now)
	c.keepDuty(now)
	c.keepPlan(now)
	c.flushAll()
	c.flushRelays(now)
}

// post hands a step to the owner.
func (c *Core) post(ctx context.Context, step func()) bool {
	select {
	case c.inbox <- step:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask runs a question at the owner and waits for its answer.
func ask[T any](ctx context.Context, c *Core, question func() T) (T, error) {
	reply := make(chan T, 1)
	var none T
	if !c.post(ctx, func() { reply <- question() }) {
		return none, ctx.Err()
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// job runs work outside the owner, one at a time of a name, and then at the
// owner what it returns.
func (c *Core) job(name string, timeout time.Duration, work func(ctx context.Context) func()) {
	if c.jobs[name] {
		return
	}
	c.jobs[name] = true
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		done := work(ctx)
		c.post(parent, func() {
			c.jobs[name] = false
			if done != nil {
				done()
			}
		})
	}()
}

// waited tells whether a condition has held since it was first asked about,
// for a span; ending it forgets.
func (c *Core) waited(name string, holds bool, span time.Duration, now time.Time) bool {
	if !holds {
		delete(c.since, name)
		return false
	}
	since, ok := c.since[name]
	if !ok {
		c.since[name] = now
		since = now
	}
	return now.Sub(since) >= span
}

// learn takes up what the replica has applied and feeds it on. When commands
// in between are no longer kept the feed begins a new life, so that those who
// follow it take a snapshot.
func (c *Core) learn() {
	current := c.agreement.Current()
	if current.Version <= c.state.Version {
		return
	}
	chosen, whole := c.agreement.Learned(c.state.Version)
	before := c.state
	c.state = current
	if before.Version > 0 && whole && len(chosen) > 0 && chosen[0].Epoch == before.Version+1 && chosen[len(chosen)-1].Epoch >= current.Version {
		for _, one := range chosen {
			if one.Epoch <= current.Version {
				c.feed.publish(&wire.Change{What: &wire.Change_Chosen{Chosen: one}})
			}
		}
	} else {
		c.feed.restart()
		c.log.Emit(events.FeedSnapshot, "epoch", current.Version)
	}
	c.announce(before, current)
	c.answerWaiters()
}

func (c *Core) announce(before, after statemachine.State) {
	c.log.Emit(events.VersionLearned, "epoch", after.Version, "sheet_epoch", after.SheetVersion)
	for name := range after.Roster {
		if _, known := before.Roster[name]; !known && before.Version > 0 {
			c.log.Emit(events.MemberAdded, "member", name, "epoch", after.Version)
		}
	}
	for name := range before.Roster {
		if _, known := after.Roster[name]; !known {
			c.log.Emit(events.MemberRemoved, "member", name, "epoch", after.Version)
		}
	}
	if was, is := before.Roles[election.Planner], after.Roles[election.Planner]; was.Holder == c.config.Self && is.Holder != c.config.Self {
		c.log.Emit(events.DutyLost, "duty", election.Planner, "term", is.Term, "holder", is.Holder)
	}
	if !before.RosterCommitted() && after.RosterCommitted() {
		c.log.Emit(events.RosterSettled, "epoch", after.Version, "members", len(after.Roster))
	}
}

// learned returns the core's learned version; it never falls within a life.
func (c *Core) learned() uint64 { return max(c.state.Version, c.agreement.Current().Version) }

// open lets leases begin once the core holds whatever a majority had chosen
// when it started: what its former life learned and vouched for may not have
// been synced.
func (c *Core) open(now time.Time) {
	if c.opened || c.agreement.Standing() != wire.Standing_STANDING_VOTING {
		return
	}
	if !c.waited("open", true, 0, now) {
		return
	}
	c.job("open", jobTimeout, func(ctx context.Context) func() {
		state, err := c.agreement.ReadMajority(ctx)
		if err != nil {
			return nil
		}
		return func() { c.opened = c.opened || c.learned() >= state.Version }
	})
}

func (c *Core) closedFault() *apierror.Error {
	switch c.agreement.Standing() {
	case wire.Standing_STANDING_BLANK, wire.Standing_STANDING_UNSPECIFIED:
		return apierror.Errorf(apierror.CoreBlank, "the cores have not formed yet")
	case wire.Standing_STANDING_AMNESIAC:
		return apierror.Errorf(apierror.CoreAmnesiac, "the core rebuilds its state")
	}
	if !c.opened {
		return apierror.Errorf(apierror.NoMajority, "the core has not caught up since its start")
	}
	return nil
}

// others returns the other cores that are known, by name.
func (c *Core) others() []*wire.Process {
	var others []*wire.Process
	for _, voter := range c.agreement.Voters() {
		if voter == c.config.Self {
			continue
		}
		if p, ok := c.peers.Process(voter); ok {
			others = append(others, p)
		}
	}
	return others
}

// rank is this core's place among the voters, by which cores that would
// propose the same take turns.
func (c *Core) rank() (place int, voter bool) {
	voters := slices.Clone(c.agreement.Voters())
	slices.Sort(voters)
	place = slices.Index(voters, c.config.Self)
	return place, place >= 0
}

func (c *Core) turn() time.Duration {
	place, _ := c.rank()
	return time.Duration(max(place, 0)) * c.config.TurnStep
}

func (c *Core) mayPropose() bool {
	_, voter := c.rank()
	return voter && c.opened && c.agreement.Standing() == wire.Standing_STANDING_VOTING
}
