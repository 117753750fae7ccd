package control

import (
	"context"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// learnedVersion returns the newest version that this core has learned. It never
// decreases within one incarnation.
func (c *Controller) learnedVersion() uint64 {
	return max(c.state.Version, c.replica.Current().Version)
}

// catchUp reads the state of a majority once after the start, as granting leases
// requires: the core's former incarnation may have granted leases for a version
// that it had learned but not yet synced to disk.
func (c *Controller) catchUp() {
	if c.caughtUp || !c.isVoting() {
		return
	}
	c.startJob(jobCatchUp, jobTimeout, func(ctx context.Context) func() {
		state, err := c.replica.ReadMajority(ctx)
		if err != nil {
			return nil
		}
		return func() { c.caughtUp = c.caughtUp || c.learnedVersion() >= state.Version }
	})
}

// publishNewState adopts the newest state of the replica and publishes the commands
// that led to it. If some of them are no longer retained, it restarts the feed,
// which makes the followers request a snapshot.
func (c *Controller) publishNewState() {
	current := c.replica.Current()
	if current.Version <= c.state.Version {
		return
	}
	chosen, complete := c.replica.CommandsAfter(c.state.Version)
	previous := c.state
	c.state = current
	if complete && isContiguous(chosen, previous.Version, current.Version) {
		c.publishChosen(chosen, current.Version)
	} else {
		c.feed.restart()
		c.log.Emit(events.FeedSnapshot, "epoch", current.Version)
	}
	c.logStateChange(previous, current)
	c.answerFeedWaiters()
}

// isContiguous reports whether consecutive commands start right after one version
// and reach the other. It is false if from is zero, as there was no state then.
func isContiguous(chosen []*wire.Chosen, from, to uint64) bool {
	if from == 0 || len(chosen) == 0 {
		return false
	}
	return chosen[0].Epoch == from+1 && chosen[len(chosen)-1].Epoch >= to
}

// publishChosen publishes the commands up to a version. The replica may have applied
// more commands since the state was read.
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
		if _, wasMember := before.Roster[name]; !wasMember && before.Version > 0 {
			c.log.Emit(events.MemberAdded, "member", name, "epoch", after.Version)
		}
	}
	for name := range before.Roster {
		if _, isMember := after.Roster[name]; !isMember {
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
