package follower

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// feedReader is the state of the long poll by which a core's changes are received.
type feedReader struct {
	position   feedPosition
	pollOpen   bool
	failedCore string // the one whose poll failed last
}

// feedPosition is up to where a feed was received. Without a feed's name the core
// answers with a snapshot.
type feedPosition struct {
	core   string // empty for none
	feed   string // the name that the core gave its feed
	offset uint64 // of the last change
}

// reset forgets the position but stays with its core, which then answers the next
// poll with a snapshot.
func (p *feedPosition) reset() { *p = feedPosition{core: p.core} }

// feedChanges is which parts of the view an answer of the feed changed.
type feedChanges struct {
	servers bool // or the plan
	members bool
}

// pollFeed keeps one poll of the feed open, at a core that answers.
func (f *Follower) pollFeed() {
	now := f.clock.Now()
	if f.feed.pollOpen {
		return
	}
	core, ok := f.chooseFeedCore(now)
	if !ok {
		return
	}
	f.feed.pollOpen = true
	position := f.feed.position
	req := &wire.FollowRequest{
		Who:    f.name,
		Feed:   position.feed,
		Place:  position.offset,
		WaitMs: uint32(f.config.FeedWait.Milliseconds()),
		Epoch:  f.configuration.state.Version,
	}
	timeout := f.config.FeedWait + f.config.CoreStaleAfter
	if !f.configuration.learned {
		timeout = snapshotTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Follow(ctx, connect.NewRequest(req))
		if err != nil {
			f.waitToRetryPoll()
			f.post(func() { f.failPoll(core.Name, err) })
			return
		}
		f.post(func() { f.completePoll(core.Name, position.core, resp.Msg) })
	}()
}

// waitToRetryPoll delays the next poll after one that failed.
func (f *Follower) waitToRetryPoll() {
	elapsed, stop := clock.NewTimer(f.config.RenewInterval / 2)
	defer stop()
	select {
	case <-elapsed:
	case <-f.ctx.Done():
	}
}

// failPoll takes that a poll of a core failed: the next may go to another core.
func (f *Follower) failPoll(core string, err error) {
	f.feed = feedReader{failedCore: core}
	f.log.Emit(events.FeedStalled, "core", core, "error", err)
}

// completePoll takes the answer of a core to a poll.
func (f *Follower) completePoll(core, previousCore string, resp *wire.FollowResponse) {
	f.feed.pollOpen = false
	if previousCore != "" && previousCore != core {
		f.log.Emit(events.FeedSwitched, "from", previousCore, "to", core)
	}
	f.applyFeed(core, resp)
}

// applyFeed applies an answer of the feed and publishes what it changed.
func (f *Follower) applyFeed(core string, resp *wire.FollowResponse) {
	f.feed.position = feedPosition{core: core, feed: resp.Feed, offset: resp.Place}
	f.membership.feedAnsweredAt = f.clock.Now()
	var changed feedChanges
	if resp.Snapshot != nil {
		f.applyFeedSnapshot(resp.Snapshot, &changed)
	}
	for _, change := range resp.Changes {
		f.applyFeedChange(change, &changed)
	}
	if changed.members {
		f.confirmReported()
	}
	if resp.Learned > f.configuration.state.Version {
		if process, known := f.peers.Process(core); known {
			f.fetch(process.Address)
		}
	}
	switch {
	case changed.members:
		f.publish()
	case changed.servers:
		f.publishServers()
	}
}

func (f *Follower) applyFeedSnapshot(snapshot *wire.Snapshot, changed *feedChanges) {
	f.applySnapshot(snapshot.Epoch, snapshot.State)
	if f.applyPlan(snapshot.Plan) {
		changed.servers = true
	}
	for _, report := range snapshot.Reports {
		if f.reports.Add(report, f.FleetNow()) {
			changed.servers = true
		}
	}
	f.membership.applySnapshot(snapshot.Sights, f.clock.Now())
	changed.members = true
}

func (f *Follower) applyFeedChange(change *wire.Change, changed *feedChanges) {
	serversChanged := false
	switch what := change.What.(type) {
	case *wire.Change_Chosen:
		f.applyChosen(what.Chosen)
	case *wire.Change_Sight:
		f.membership.applyReport(what.Sight, f.clock.Now())
		changed.members = true
	case *wire.Change_Plan:
		serversChanged = f.applyPlan(what.Plan)
	case *wire.Change_Report:
		serversChanged = f.reports.Add(what.Report, f.FleetNow())
	case *wire.Change_Load:
		serversChanged = f.reports.AddLoad(what.Load)
	}
	changed.servers = changed.servers || serversChanged
}

// applyPlan replaces the plan by one of a higher (term, number), and reports
// whether it did. One that repeats the shares and caps of a plan which this front
// doesn't have is ignored; the next poll then requests a snapshot.
func (f *Follower) applyPlan(plan *wire.Plan) bool {
	if plan == nil {
		return false
	}
	if f.plan != nil && !isLaterPlan(plan, f.plan) {
		return false
	}
	if plan.Repeats != 0 && len(plan.Shares)+len(plan.Caps) == 0 {
		if f.plan == nil || f.plan.Term != plan.Term || originOf(f.plan) != plan.Repeats {
			f.feed.position.reset()
			return false
		}
		plan = proto.Clone(plan).(*wire.Plan)
		plan.Shares = f.plan.Shares
		plan.Caps = f.plan.Caps
	}
	f.plan = plan
	return true
}

// isLaterPlan reports whether a plan has a higher (term, number) than another.
func isLaterPlan(a, b *wire.Plan) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Number > b.Number
}

// originOf returns the number of the plan that a plan's shares and caps were
// first sent with.
func originOf(plan *wire.Plan) uint64 {
	if plan.Repeats != 0 {
		return plan.Repeats
	}
	return plan.Number
}
