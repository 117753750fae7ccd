package follow

import (
	"slices"
	"sort"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/core/grant"
	"stepwick/internal/core/merge"
	"stepwick/internal/core/sheet"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config holds a follower's settings. Durations are in the clock's time.
type Config struct {
	Self         func() *wire.Process // own record, a fresh one at each call
	GrantTTL     kernel.Duration
	RenewEvery   kernel.Duration
	PingEvery    kernel.Duration
	FeedWait     kernel.Duration
	Sighted      func() []Sight  // processes known to the directory, by name
	CoreStaleFor kernel.Duration // silence after which another core is followed
	// Attest takes every process that the feed says is live, after each change;
	// nil lets it be.
	Attest func(live []*wire.Process)
}

// Sight is a process and when it was last seen to live, by the clock.
type Sight struct {
	Process *wire.Process
	Seen    kernel.Time
}

// How long a front counts as live after its last sign, which is a ping for a
// member of the roster and a directory's sight for one that isn't on it yet.
const (
	pingFresh  = 1500 * kernel.Millisecond
	sightFresh = 90 * kernel.Second
)

// A roster of up to pingWhole members is pinged as a whole at each interval.
// Of a larger one only pingShare members are, in turn, and a few that did not
// answer, while the grant stands, so that the cost of a node does not grow with
// the fleet. Once no majority of cores has renewed for half of the TTL, and a
// majority fails to answer, all are, once in half a TTL, pingBurst at once.
const (
	pingWhole = 32
	pingShare = 1
	pingAgain = 2
	pingBurst = 64
)

// Follower owns a front's control state. All fields below inbox belong to the
// goroutine in Serve.
type Follower struct {
	config Config
	name   string
	peers  port.Peers
	clock  kernel.Clock
	log    events.Log

	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	lapse   atomic.Pointer[kernel.Time] // until when the node rules; zero time when it does not
	offset  atomic.Int64                // fleet time less the clock, nanoseconds
	timed   atomic.Bool                 // fleet time may be decided by
	pinged  atomic.Pointer[standing]

	inbox   chan func()
	serving atomic.Pointer[kernel.Context] // of the newest Serve
	ctx     kernel.Context
	begun   kernel.Time

	holder   *grant.Holder
	state    sheet.State
	held     bool
	reports  *merge.Reports
	plan     *wire.Plan
	offsets  map[string]kernel.Duration
	renewing map[string]bool
	pinging  map[string]bool
	contact  map[string]kernel.Time // last answer of each peer
	asked    map[string]kernel.Time // first ping of each peer that is still unanswered
	refused  map[string]kernel.Time // peers whose last answer was a refused connection, and when
	told     map[string]told        // what the feed says of processes
	fedAt    kernel.Time            // when a core last answered with the feed
	words    map[string]word        // what each peer last said of itself
	turn     int
	wave     []string    // peers still to be pinged at this pace
	waved    kernel.Time // when the whole of a large roster was last begun
	failing  map[string]bool
	again    map[string]bool
	recorded map[string]*wire.Process // own record as each core last answered it
	behind   map[string]uint64
	fetching bool
	feed     place
	ruling   bool
	ruledBy  grant.By
	presence map[string]presence
	lives    map[string]uint64
	tell     map[string]bool // peers to be pinged again once the ping under way ends
	left     bool
}

type place struct {
	core   string
	feed   string
	number uint64
	heard  kernel.Time
	open   bool
}

// word is what a peer says of itself in its answer to a ping; it is newer than
// the directory's record of the same incarnation.
type word struct {
	incarnation    uint64
	ready, leaving bool
	at             kernel.Time
}

type standing struct {
	epoch       uint64
	unconfirmed bool
}

// A node that starts takes its first state from the feed. While that may be on
// its way nothing else is asked for the same, and large ones are given time.
const (
	startByFeed  = 2 * kernel.Second
	largeTimeout = 5 * kernel.Second
)

// New returns a follower that knows nothing yet.
func New(config Config, peers port.Peers, clock kernel.Clock, log events.Log) *Follower {
	f := &Follower{
		config: config, name: config.Self().Name, peers: peers, clock: clock, log: log,
		inbox: make(chan func(), 256), holder: grant.NewHolder(config.Self().Name, config.GrantTTL),
		reports: merge.New(merge.Config{}), offsets: map[string]kernel.Duration{},
		renewing: map[string]bool{}, pinging: map[string]bool{}, contact: map[string]kernel.Time{}, asked: map[string]kernel.Time{}, refused: map[string]kernel.Time{}, told: map[string]told{}, words: map[string]word{}, presence: map[string]presence{}, lives: map[string]uint64{}, again: map[string]bool{}, failing: map[string]bool{}, recorded: map[string]*wire.Process{}, tell: map[string]bool{}, behind: map[string]uint64{},
	}
	first := make(chan struct{})
	f.changed.Store(&first)
	idle := kernel.Background()
	f.serving.Store(&idle)
	f.lapse.Store(&kernel.Time{})
	f.pinged.Store(&standing{unconfirmed: true})
	f.view.Store(&View{Index: sheet.State{}.Index(), Servers: map[string]*wire.ServerStatus{}})
	return f
}

// View returns the newest view, never nil.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when a newer view is published.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// Ruling tells, at this very moment, whether the node may decide by its view.
// A process that was frozen and thawed finds its grants lapsed.
func (f *Follower) Ruling() bool { return f.clock.Now().Before(*f.lapse.Load()) }

// FleetNow returns the time agreed from the cores' clocks. It is proof against
// steps of this machine's clock.
func (f *Follower) FleetNow() kernel.Time {
	return f.clock.Now().Add(kernel.Duration(f.offset.Load()))
}

// Report puts a watcher's own sight into the view at once.
func (f *Follower) Report(report *wire.Report) {
	f.post(func() {
		if f.reports.Merge(report, f.FleetNow()) {
			f.publish()
		}
	})
}

// Ping answers a peer with the epoch that this front has confirmed.
func (f *Follower) Ping(ctx kernel.Context, req *wire.PingRequest) (*wire.PingResponse, error) {
	if !req.Unconfirmed {
		f.post(func() { f.holder.Known(req.Epoch); f.judge() })
	}
	s, own := f.pinged.Load(), f.config.Self()
	return &wire.PingResponse{Name: f.name, Incarnation: own.Incarnation, Epoch: s.epoch, Unconfirmed: s.unconfirmed,
		Ready: own.Ready, Leaving: own.Leaving}, nil
}

// Fetch answers a process that is behind with the whole state.
func (f *Follower) Fetch(ctx kernel.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	state := f.View().State
	if state.Epoch <= req.After {
		return &wire.FetchResponse{Learned: state.Epoch}, nil
	}
	return &wire.FetchResponse{SnapshotEpoch: state.Epoch, Snapshot: state.Encode(), Learned: state.Epoch}, nil
}

// Leave ends the ruling and the renewals of a front that stops: what it
// releases afterwards is not given again.
func (f *Follower) Leave(ctx kernel.Context) error {
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
func (f *Follower) Serve(ctx kernel.Context) error {
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
			f.reports.Expire(f.FleetNow())
			f.publish()
		}
		f.follow()
	}
}

func (f *Follower) cores() []*wire.Process {
	var cores []*wire.Process
	for _, p := range f.peers.Processes() {
		if p.Core {
			cores = append(cores, p)
		}
	}
	return cores
}

// voters returns the names that a majority is counted over: those of the
// formation, as any core tells them.
func (f *Follower) voters() []string {
	for _, p := range f.cores() {
		if len(p.Voters) > 0 {
			return p.Voters
		}
	}
	return nil
}

func (f *Follower) renewAll() {
	f.holder.SetCores(f.voters())
	for _, core := range f.cores() {
		f.renew(core)
	}
	f.judge()
}

// hastenEvery is the pace of renewals of a process that is not confirmed yet:
// after a start each moment counts in which it may not rule.
const hastenEvery = 50 * kernel.Millisecond

// hasten renews at once at the cores that have not answered since the start; it
// tells whether there is still haste.
func (f *Follower) hasten() bool {
	if !f.holder.Unconfirmed() || f.clock.Now().Sub(f.begun) >= hastenFor {
		return false
	}
	f.renewAll()
	return true
}

// hastenFor is how long after a start renewals are hastened.
const hastenFor = 5 * kernel.Second

// renew keeps one call per core in flight; a wish to renew meanwhile is kept
// and met when the call returns.
func (f *Follower) renew(core *wire.Process) {
	if f.left {
		return
	}
	if f.renewing[core.Name] {
		f.again[core.Name] = true
		return
	}
	f.renewing[core.Name] = true
	sent := f.clock.Now()
	own := f.config.Self()
	req := &wire.RenewRequest{Epoch: f.state.Epoch, Unconfirmed: f.holder.Unconfirmed()}
	if grant.SameProcess(f.recorded[core.Name], own) {
		req.Name, req.Incarnation = own.Name, own.Incarnation
	} else {
		req.Self = own
	}
	go func() {
		ctx, cancel := kernel.WithTimeout(f.ctx, 2*f.config.RenewEvery)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Renew(ctx, connect.NewRequest(req))
		back := f.clock.Now()
		f.post(func() {
			f.renewing[core.Name] = false
			switch {
			case err != nil:
				f.failing[core.Name] = true
				delete(f.recorded, core.Name)
			case resp.Msg.Who:
				delete(f.recorded, core.Name)
				f.again[core.Name] = true
			default:
				delete(f.failing, core.Name)
				f.recorded[core.Name] = own
				f.renewed(core, sent, back, req, resp.Msg)
			}
			if f.again[core.Name] {
				f.again[core.Name] = false
				f.renew(core)
			}
		})
	}()
}

func (f *Follower) renewed(core *wire.Process, sent, back kernel.Time, req *wire.RenewRequest, resp *wire.RenewResponse) {
	f.offsets[core.Name] = kernel.UnixMicro(resp.TimeUs).Sub(sent.Add(back.Sub(sent) / 2))
	f.setOffset()
	f.behind[core.Name] = resp.Learned
	if f.held && resp.Learned > f.state.Epoch || !f.held && back.Sub(f.begun) >= startByFeed {
		f.fetch(core.Address)
	}
	wasUnconfirmed := f.holder.Unconfirmed()
	if resp.Granted {
		f.holder.Renewed(core.Name, sent, req.Epoch, resp.Learned)
	} else if req.Unconfirmed {
		f.holder.Asked(core.Name, resp.Learned)
	}
	if wasUnconfirmed && !f.holder.Unconfirmed() {
		for _, p := range f.cores() {
			f.renew(p)
		}
	}
	f.judge()
}

func (f *Follower) setOffset() {
	all := make([]kernel.Duration, 0, len(f.offsets))
	for _, offset := range f.offsets {
		all = append(all, offset)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	f.offset.Store(int64(all[(len(all)-1)/2]))
}

// clockPatience is how long after its start a front waits for every core's
// clock: one clock alone, or two that differ, can't out-vote a wrong one.
const clockPatience = 1500 * kernel.Millisecond

// Timed tells whether fleet time may be decided by.
func (f *Follower) Timed() bool { return f.timed.Load() }

func (f *Follower) settleTime() {
	if f.timed.Load() || len(f.offsets) == 0 {
		return
	}
	known := 0
	voters := f.voters()
	for _, core := range voters {
		if _, ok := f.offsets[core]; ok {
			known++
		}
	}
	if (known > 0 && known == len(voters)) || f.clock.Now().Sub(f.begun) >= clockPatience {
		f.timed.Store(true)
	}
}

// pingAll pings those whose turn it is; see pingWhole.
func (f *Follower) pingAll() {
	now := f.clock.Now()
	roster := rosterNames(f.state)
	switch {
	case len(roster) <= pingWhole:
		f.wave = append(f.wave[:0], roster...)
	case !f.wavering(now):
		f.wave = f.wave[:0]
		for range pingShare {
			f.turn = (f.turn + 1) % len(roster)
			f.wave = append(f.wave, roster[f.turn])
		}
		f.wave = append(f.wave, f.unanswered()...)
	case len(f.wave) == 0 && now.Sub(f.waved) >= f.config.GrantTTL/2:
		f.turn = (f.turn + 1) % len(roster)
		f.wave = append(append(f.wave, roster[f.turn:]...), roster[:f.turn]...)
		f.waved = now
	}
	f.surge()
	f.judge()
}

// surge pings who is left of the wave, pingBurst at once.
func (f *Follower) surge() {
	for len(f.wave) > 0 && len(f.pinging) < pingBurst {
		name := f.wave[0]
		f.wave = f.wave[1:]
		f.ping(name)
	}
}

// unanswered returns a few of those whose last ping was not answered, so that a
// peer of a large roster doesn't count as silent until its turn comes again.
func (f *Follower) unanswered() (names []string) {
	for name := range f.asked {
		if len(names) == pingAgain {
			break
		}
		if _, member := f.state.Roster[name]; member {
			names = append(names, name)
		}
	}
	return names
}

// wavering tells whether the grant is half way to its lapse and a majority of
// the cores failed to answer; those that are merely late set off no wave.
func (f *Follower) wavering(now kernel.Time) bool {
	verdict := f.holder.Ruling(now)
	if verdict.Ruling && verdict.By == grant.ByGrant && verdict.Until.Sub(now) >= f.config.GrantTTL/2 {
		return false
	}
	voters, failing := f.voters(), 0
	for _, core := range voters {
		if f.failing[core] {
			failing++
		}
	}
	return failing*2 >= len(voters)
}

func (f *Follower) ping(name string) {
	peer, known := f.peers.Process(name)
	if name == f.name || !known || f.pinging[name] {
		return
	}
	f.pinging[name] = true
	own, s, sent := f.config.Self(), f.pinged.Load(), f.clock.Now()
	if _, open := f.asked[name]; !open {
		f.asked[name] = sent
	}
	go func() {
		ctx, cancel := kernel.WithTimeout(f.ctx, f.config.PingEvery)
		defer cancel()
		resp, err := f.peers.Client(peer.Address).Ping(ctx, connect.NewRequest(&wire.PingRequest{
			From: own.Name, Incarnation: own.Incarnation, Epoch: s.epoch, Unconfirmed: s.unconfirmed}))
		f.post(func() {
			delete(f.pinging, name)
			switch {
			case err == nil && resp.Msg.Name == name:
				f.contact[name] = f.clock.Now()
				delete(f.asked, name)
				delete(f.refused, name)
				f.noticePeer(name, answers, resp.Msg.Incarnation)
				f.heard(peer, sent, resp.Msg)
			case err != nil && port.Refused(err):
				delete(f.contact, name)
				f.asked[name], f.refused[name] = kernel.Time{}, f.clock.Now()
				f.noticePeer(name, refuses, 0)
				f.holder.Refused(name, f.clock.Now())
			case f.clock.Now().Sub(f.asked[name]) >= pingFresh && f.refused[name].IsZero():
				f.noticePeer(name, silent, 0)
			}
			if f.tell[name] {
				f.tell[name] = false
				f.ping(name)
			}
			f.surge()
			f.judge()
		})
	}()
}

func (f *Follower) heard(peer *wire.Process, sent kernel.Time, resp *wire.PingResponse) {
	f.holder.Heard(resp.Name, resp.Incarnation, sent, resp.Epoch, resp.Unconfirmed)
	f.words[resp.Name] = word{incarnation: resp.Incarnation, ready: resp.Ready, leaving: resp.Leaving, at: f.clock.Now()}
	if resp.Epoch > f.state.Epoch && !resp.Unconfirmed {
		f.fetch(peer.Address)
	}
}

// judge publishes until when the node rules.
func (f *Follower) judge() {
	f.settleTime()
	verdict := f.holder.Ruling(f.clock.Now())
	if f.left || !f.timed.Load() {
		verdict = grant.Verdict{By: f.ruledBy}
	}
	until := kernel.Time{}
	if verdict.Ruling {
		until = verdict.Until
	}
	f.lapse.Store(&until)
	f.pinged.Store(&standing{epoch: f.state.Epoch, unconfirmed: f.holder.Unconfirmed()})
	f.noticeVerdict(verdict)
	if verdict.Ruling != f.ruling {
		f.ruling = verdict.Ruling
		f.publish()
	}
}

// fetch closes a gap: changes after the held epoch, or a snapshot.
func (f *Follower) fetch(address string) {
	if f.fetching {
		return
	}
	f.fetching = true
	after := f.state.Epoch
	if !f.held {
		after = 0
	}
	go func() {
		ctx, cancel := kernel.WithTimeout(f.ctx, largeTimeout)
		defer cancel()
		resp, err := f.peers.Client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{After: after}))
		f.post(func() {
			f.fetching = false
			if err != nil {
				return
			}
			f.takeSnapshot(resp.Msg.SnapshotEpoch, resp.Msg.Snapshot)
			for _, chosen := range resp.Msg.Chosen {
				f.takeChosen(chosen)
			}
		})
	}()
}

// takeSnapshot takes a whole state if it is newer than the held one.
func (f *Follower) takeSnapshot(epoch uint64, data []byte) {
	if len(data) == 0 || (f.held && epoch <= f.state.Epoch) {
		return
	}
	state, err := sheet.DecodeState(data)
	if err != nil {
		f.log.Emit(events.SnapshotBad, "epoch", epoch, "error", err)
		return
	}
	f.rule(state)
}

// takeChosen applies the next command; one that leaves a gap is fetched.
func (f *Follower) takeChosen(chosen *wire.Chosen) {
	if chosen.Epoch != f.state.Epoch+1 {
		return
	}
	state, _ := f.state.Step(chosen.Epoch, chosen.Command)
	f.rule(state)
}

// rule takes up a newer state: it is published before it is confirmed.
func (f *Follower) rule(state sheet.State) {
	old := f.state
	f.state, f.held = state, true
	f.holder.SetRoster(state.Roster, state.PriorRoster)
	f.publish()
	f.holder.Confirm(state.Epoch)
	f.noticeState(old, state)
	f.judge()
	for _, core := range f.cores() {
		f.renew(core)
	}
	f.spread()
}

// spread tells the peers of a small roster of a new epoch at once, so that none
// of them goes on by the roster without it when all who know it are lost next.
func (f *Follower) spread() {
	roster := rosterNames(f.state)
	if len(roster) > pingWhole || f.holder.Unconfirmed() {
		return
	}
	for _, name := range roster {
		f.tell[name] = f.pinging[name]
		f.ping(name)
	}
}

// follow keeps one long poll of the feed open, at a core that answers.
func (f *Follower) follow() {
	now := f.clock.Now()
	if f.feed.open {
		return
	}
	core, ok := f.choose(now)
	if !ok {
		return
	}
	f.feed.open = true
	at := f.feed
	req := &wire.FollowRequest{Who: f.name, Feed: at.feed, Place: at.number, WaitMs: uint32(f.config.FeedWait.Milliseconds()), Epoch: f.state.Epoch}
	patience := f.config.FeedWait + f.config.CoreStaleFor
	if !f.held {
		patience = largeTimeout
	}
	go func() {
		ctx, cancel := kernel.WithTimeout(f.ctx, patience)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Follow(ctx, connect.NewRequest(req))
		if err != nil {
			wait, stop := kernel.Timer(f.config.RenewEvery / 2)
			select {
			case <-wait:
			case <-f.ctx.Done():
				stop()
			}
		}
		f.post(func() {
			f.feed.open = false
			if err != nil {
				f.feed = place{}
				f.log.Emit(events.FeedBehind, "core", core.Name, "error", err)
				return
			}
			if at.core != "" && at.core != core.Name {
				f.log.Emit(events.FeedSwitched, "from", at.core, "to", core.Name)
			}
			f.takeFeed(core.Name, resp.Msg)
		})
	}()
}

// choose stays with the core that is followed; otherwise one of those that
// renew, or at the start at least answer, comes next, in an order of this
// front's own so that fronts spread.
func (f *Follower) choose(now kernel.Time) (*wire.Process, bool) {
	if f.feed.core != "" {
		if p, ok := f.peers.Process(f.feed.core); ok {
			return p, true
		}
	}
	cores := f.cores()
	if len(cores) == 0 {
		return nil, false
	}
	best := -1
	for i, core := range cores {
		if f.holder.RenewedAt(core.Name).IsZero() {
			continue
		}
		if best < 0 || f.holder.RenewedAt(core.Name).After(f.holder.RenewedAt(cores[best].Name)) {
			best = i
		}
	}
	if best < 0 {
		answered := slices.DeleteFunc(slices.Clone(cores), func(core *wire.Process) bool {
			_, ok := f.behind[core.Name]
			return !ok
		})
		switch {
		case len(answered) > 0:
			cores = answered
		case now.Sub(f.begun) < startByFeed:
			return nil, false
		}
		best = int((xxhash.Sum64String(f.name) + uint64(now.UnixNano()/int64(f.config.RenewEvery))) % uint64(len(cores)))
	}
	return cores[best], true
}

func (f *Follower) takeFeed(core string, resp *wire.FollowResponse) {
	f.feed = place{core: core, feed: resp.Feed, number: resp.Place, heard: f.clock.Now()}
	f.fedAt = f.clock.Now()
	dirty, churn := false, false
	if s := resp.Snapshot; s != nil {
		f.takeSnapshot(s.Epoch, s.State)
		dirty = f.takePlan(s.Plan) || dirty
		for _, report := range s.Reports {
			dirty = f.reports.Merge(report, f.FleetNow()) || dirty
		}
		f.takeSights(s.Sights)
		churn = true
	}
	for _, change := range resp.Changes {
		switch what := change.What.(type) {
		case *wire.Change_Chosen:
			f.takeChosen(what.Chosen)
		case *wire.Change_Sight:
			f.takeSight(what.Sight)
			churn = true
		case *wire.Change_Plan:
			dirty = f.takePlan(what.Plan) || dirty
		case *wire.Change_Report:
			dirty = f.reports.Merge(what.Report, f.FleetNow()) || dirty
		case *wire.Change_Load:
			dirty = f.reports.MergeLoad(what.Load) || dirty
		}
	}
	if churn {
		f.attest()
	}
	if resp.Learned > f.state.Epoch {
		if p, ok := f.peers.Process(core); ok {
			f.fetch(p.Address)
		}
	}
	if dirty || churn {
		f.publish()
	}
}

// takePlan drops a plan of a lower (term, number). One that repeats another
// than is held is asked for whole, by a snapshot.
func (f *Follower) takePlan(plan *wire.Plan) bool {
	if plan == nil {
		return false
	}
	if f.plan != nil && (plan.Term < f.plan.Term || (plan.Term == f.plan.Term && plan.Number <= f.plan.Number)) {
		return false
	}
	if plan.Repeats != 0 && len(plan.Shares)+len(plan.Caps) == 0 {
		if f.plan == nil || f.plan.Term != plan.Term || firstOf(f.plan) != plan.Repeats {
			f.feed = place{core: f.feed.core}
			return false
		}
		plan = proto.Clone(plan).(*wire.Plan)
		plan.Shares, plan.Caps = f.plan.Shares, f.plan.Caps
	}
	f.plan = plan
	return true
}

// firstOf returns the number of the plan whose shares and caps a plan has.
func firstOf(plan *wire.Plan) uint64 {
	if plan.Repeats != 0 {
		return plan.Repeats
	}
	return plan.Number
}

func (f *Follower) publish() {
	old := f.view.Load()
	view := &View{State: f.state, Index: old.Index.For(f.state), Plan: f.plan,
		Servers: f.reports.Servers(), Verdict: f.holder.Ruling(f.clock.Now()),
		Fronts: f.fronts(), Roster: old.Roster}
	if old.State.Epoch != f.state.Epoch {
		view.Roster = rosterNames(f.state)
	}
	view.Live, view.Silent = f.split(view.Roster)
	f.view.Store(view)
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}
