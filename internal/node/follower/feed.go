package follower

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// feedState is the state of the long poll through which the front receives a core's
// changes.
type feedState struct {
	position       feedPosition
	pollInFlight   bool
	lastFailedCore string // the core whose poll failed most recently
}

// feedPosition identifies the last change received from a core's feed. The core
// answers a request without a feed id with a snapshot.
type feedPosition struct {
	core   string // empty while no feed is followed
	feedID string // assigned by the core
	offset uint64 // of the last change received
}

// requireSnapshot discards the position but keeps its core, which then answers the
// next poll with a snapshot.
func (p *feedPosition) requireSnapshot() { *p = feedPosition{core: p.core} }

// viewChanges records which parts of the view an answer from the feed has changed.
type viewChanges struct {
	serversOrPlan bool
	members       bool
}

// pollFeed starts a poll of one core's feed unless a poll is in flight or no core
// is suitable.
func (f *Follower) pollFeed() {
	now := f.clock.Now()
	if f.feed.pollInFlight {
		return
	}
	core, ok := f.chooseFeedCore(now)
	if !ok {
		return
	}
	f.feed.pollInFlight = true
	position := f.feed.position
	req := &wire.FollowRequest{
		Who:    f.name,
		Feed:   position.feedID,
		Place:  position.offset,
		WaitMs: uint32(f.config.FeedWait.Milliseconds()),
		Epoch:  f.configuration.state.Version,
	}
	timeout := f.config.FeedWait + f.config.CoreStaleAfter
	if !f.configuration.received {
		timeout = snapshotTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Follow(ctx, connect.NewRequest(req))
		if err != nil {
			f.waitBeforeNextPoll()
			f.post(func() { f.handlePollFailure(core.Name, err) })
			return
		}
		f.post(func() { f.handlePollResponse(core.Name, position.core, resp.Msg) })
	}()
}

// waitBeforeNextPoll delays the next poll after a failed one by half of the renewal
// interval.
func (f *Follower) waitBeforeNextPoll() {
	elapsed, stop := clock.NewTimer(f.config.RenewInterval / 2)
	defer stop()
	select {
	case <-elapsed:
	case <-f.ctx.Done():
	}
}

// handlePollFailure discards the feed position after a failed poll, so that the
// next poll may go to another core.
func (f *Follower) handlePollFailure(core string, err error) {
	f.feed = feedState{lastFailedCore: core}
	f.log.Emit(events.FeedStalled, "core", core, "error", err)
}

// handlePollResponse applies a core's answer to a poll. previousCore is the core
// that was followed before the poll, empty if there was none.
func (f *Follower) handlePollResponse(core, previousCore string, resp *wire.FollowResponse) {
	f.feed.pollInFlight = false
	if previousCore != "" && previousCore != core {
		f.log.Emit(events.FeedSwitched, "from", previousCore, "to", core)
	}
	f.applyFeed(core, resp)
}

// applyFeed applies an answer from the feed and publishes the changes.
func (f *Follower) applyFeed(core string, resp *wire.FollowResponse) {
	f.feed.position = feedPosition{core: core, feedID: resp.Feed, offset: resp.Place}
	f.membership.feedAnsweredAt = f.clock.Now()
	var changed viewChanges
	if resp.Snapshot != nil {
		f.applyFeedSnapshot(resp.Snapshot, &changed)
	}
	for _, change := range resp.Changes {
		f.applyFeedChange(change, &changed)
	}
	if changed.members {
		f.confirmRunning()
	}
	if resp.Learned > f.configuration.state.Version {
		if process, known := f.peers.Process(core); known {
			f.fetch(process.Address)
		}
	}
	switch {
	case changed.members:
		f.publish()
	case changed.serversOrPlan:
		f.publishServers()
	}
}

func (f *Follower) applyFeedSnapshot(snapshot *wire.Snapshot, changed *viewChanges) {
	f.applySnapshot(snapshot.Epoch, snapshot.State)
	if f.applyPlan(snapshot.Plan) {
		changed.serversOrPlan = true
	}
	for _, report := range snapshot.Reports {
		if f.reports.Add(report, f.FleetNow()) {
			changed.serversOrPlan = true
		}
	}
	f.membership.replaceReports(snapshot.Sights, f.clock.Now())
	changed.members = true
}

func (f *Follower) applyFeedChange(change *wire.Change, changed *viewChanges) {
	serversChanged := false
	switch payload := change.What.(type) {
	case *wire.Change_Chosen:
		f.applyChosen(payload.Chosen)
	case *wire.Change_Sight:
		f.membership.applyReport(payload.Sight, f.clock.Now())
		changed.members = true
	case *wire.Change_Plan:
		serversChanged = f.applyPlan(payload.Plan)
	case *wire.Change_Report:
		serversChanged = f.reports.Add(payload.Report, f.FleetNow())
	case *wire.Change_Load:
		serversChanged = f.reports.AddLoad(payload.Load)
	}
	changed.serversOrPlan = changed.serversOrPlan || serversChanged
}

// applyPlan replaces the plan if the given one supersedes it, and reports whether
// it did. A plan on the feed may omit its shares and caps if they are those of an
// earlier plan. If this front doesn't have the earlier plan, it ignores the new
// one, and the next poll requests a snapshot.
func (f *Follower) applyPlan(plan *wire.Plan) bool {
	if plan == nil {
		return false
	}
	if f.plan != nil && !planSupersedes(plan, f.plan) {
		return false
	}
	if plan.Repeats != 0 && len(plan.Shares)+len(plan.Caps) == 0 {
		if f.plan == nil || f.plan.Term != plan.Term || contentPlanNumber(f.plan) != plan.Repeats {
			f.feed.position.requireSnapshot()
			return false
		}
		plan = proto.Clone(plan).(*wire.Plan)
		plan.Shares = f.plan.Shares
		plan.Caps = f.plan.Caps
	}
	f.plan = plan
	return true
}

// planSupersedes reports whether plan a has a higher (term, number) than plan b.
func planSupersedes(a, b *wire.Plan) bool {
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	return a.Number > b.Number
}

// contentPlanNumber returns the number of the plan that first contained the shares
// and caps of the given plan.
func contentPlanNumber(plan *wire.Plan) uint64 {
	if plan.Repeats != 0 {
		return plan.Repeats
	}
	return plan.Number
}
