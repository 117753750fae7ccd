package follower

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

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
	req := &wire.FollowRequest{Who: f.name, Feed: at.feed, Place: at.number, WaitMs: uint32(f.config.FeedWait.Milliseconds()), Epoch: f.state.Version}
	patience := f.config.FeedWait + f.config.CoreStaleFor
	if !f.held {
		patience = largeTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, patience)
		defer cancel()
		resp, err := f.peers.Client(core.Address).Follow(ctx, connect.NewRequest(req))
		if err != nil {
			wait, stop := clock.NewTimer(f.config.RenewEvery / 2)
			select {
			case <-wait:
			case <-f.ctx.Done():
				stop()
			}
		}
		f.post(func() {
			f.feed.open = false
			if err != nil {
				f.feed, f.unfed = place{}, core.Name
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
// front's own so that fronts spread. Cores of the own region go first, as the
// feed's bytes are many, and the one whose feed has just failed goes last.
func (f *Follower) choose(now time.Time) (*wire.Process, bool) {
	if f.feed.core != "" {
		if p, ok := f.peers.Process(f.feed.core); ok {
			return p, true
		}
	}
	others := slices.DeleteFunc(slices.Clone(f.peers.Cores()), func(core *wire.Process) bool { return core.Name == f.unfed })
	near := f.near(others, now)
	if core, ok := f.chooseOf(near, now); ok {
		return core, true
	}
	if len(near) > 0 && now.Sub(f.begun) < nearFirst {
		return nil, false
	}
	if core, ok := f.chooseOf(others, now); ok {
		return core, true
	}
	return f.chooseOf(f.peers.Cores(), now)
}

// nearFirst is how long a process that starts waits for a core of its region.
const nearFirst = 150 * time.Millisecond

// near returns the cores of the own region, without those that have renewed
// once but not of late; in a large fleet only those of the own zone where there are
// some, through which the front renews too.
func (f *Follower) near(cores []*wire.Process, now time.Time) []*wire.Process {
	own := f.config.Self()
	inRegion := slices.DeleteFunc(slices.Clone(cores), func(core *wire.Process) bool {
		renewed := f.holder.RenewedAt(core.Name)
		return core.Region != own.Region || !renewed.IsZero() && now.Sub(renewed) > f.config.CoreStaleFor
	})
	if !f.isLarge() {
		return inRegion
	}
	inZone := slices.DeleteFunc(slices.Clone(inRegion), func(core *wire.Process) bool { return core.Zone != own.Zone })
	if len(inZone) > 0 {
		return inZone
	}
	return inRegion
}

// chooseOf returns the core of some that renewed last or, while none has, one
// that has answered.
func (f *Follower) chooseOf(cores []*wire.Process, now time.Time) (*wire.Process, bool) {
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
			dirty = f.reports.Add(report, f.FleetNow()) || dirty
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
			dirty = f.reports.Add(what.Report, f.FleetNow()) || dirty
		case *wire.Change_Load:
			dirty = f.reports.AddLoad(what.Load) || dirty
		}
	}
	if churn {
		f.attest()
	}
	if resp.Learned > f.state.Version {
		if p, ok := f.peers.Process(core); ok {
			f.fetch(p.Address)
		}
	}
	switch {
	case churn:
		f.publish()
	case dirty:
		f.publishServers()
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
