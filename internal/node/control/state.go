package control

import (
	"context"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// learned returns the core's learned version; it never falls within an
// incarnation.
func (c *Controller) learned() uint64 { return max(c.state.Version, c.replica.Current().Version) }

// catchUp reads the state of a majority once, so that leases may be granted: what
// the former incarnation learned, and granted leases by, may not have been synced.
func (c *Controller) catchUp() {
	if c.caughtUp || !c.votes() {
		return
	}
	c.startJob(jobCatchUp, jobTimeout, func(ctx context.Context) func() {
		state, err := c.replica.ReadMajority(ctx)
		if err != nil {
			return nil
		}
		return func() { c.caughtUp = c.caughtUp || c.learned() >= state.Version }
	})
}

// publishNewState takes the newest state of the replica and publishes the commands
// that led to it. When some of them are no longer retained the feed restarts, so
// that its followers request a snapshot.
func (c *Controller) publishNewState() {
	current := c.replica.Current()
	if current.Version <= c.state.Version {
		return
	}
	chosen, complete := c.replica.CommandsAfter(c.state.Version)
	previous := c.state
	c.state = current
	if complete && connects(chosen, previous.Version, current.Version) {
		c.publishChosen(chosen, current.Version)
	} else {
		c.feed.restart()
		c.log.Emit(events.FeedSnapshot, "epoch", current.Version)
	}
	c.logStateChange(previous, current)
	c.answerFollowers()
}

// connects reports whether commands lead from one version to another without a
// gap at either end. Nothing leads from version zero: there was no state.
func connects(chosen []*wire.Chosen, from, to uint64) bool {
	if from == 0 || len(chosen) == 0 {
		return false
	}
	return chosen[0].Epoch == from+1 && chosen[len(chosen)-1].Epoch >= to
}

// publishChosen publishes the commands up to a version; the replica may have
// applied more since the state was read.
func (c *Controller) publishChosen(chosen []*wire.Chosen, upTo uint64) {
	for _, command := range chosen {
		if command.Epoch <= upTo {
			c.feed.publish(&wire.Change{What: &wire.Change_Chosen{Chosen: command}})
		}
	}
}

func (c *Controller) logStateChange(before, after statemachine.State) {
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
	previousLeader := before.Roles[election.Planner]
	currentLeader := after.Roles[election.Planner]
	if previousLeader.Holder == c.config.Self && currentLeader.Holder != c.config.Self {
		c.log.Emit(events.RoleLost, "duty", election.Planner, "term", currentLeader.Term, "holder", currentLeader.Holder)
	}
	if !before.RosterCommitted() && after.RosterCommitted() {
		c.log.Emit(events.RosterCommitted, "epoch", after.Version, "members", len(after.Roster))
	}
}
