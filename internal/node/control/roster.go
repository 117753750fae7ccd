package control

import (
	"context"
	"slices"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// maintainRoster proposes the roster commands that are due: to commit the last change
// once it is confirmed, to add members that renew leases but are not on the roster,
// and to remove members that are lost. A new change is not proposed before the last one
// is committed.
func (c *Controller) maintainRoster(now time.Time) {
	if !c.mayPropose() {
		return
	}
	c.commitRosterChange(now)
	c.addUnlistedMembers(now)
	c.removeLostMembers(now)
}

// addUnlistedMembers proposes to add the members that renew leases but are not on the
// roster. New members are collected for JoinBatchWindow, so that one change adds them.
func (c *Controller) addUnlistedMembers(now time.Time) {
	members := c.leases.UnlistedMembers(c.state.Roster, now)
	due := len(members) > 0 && c.state.RosterCommitted()
	if c.jobs[jobAddMembers] || !c.conditions.heldFor(conditionMembersUnlisted, due, c.config.JoinBatchWindow+c.proposalDelay(), now) {
		return
	}
	for _, member := range members {
		c.log.Emit(events.MemberJoined, "member", member.Name, "locality", sheet.ZoneName(member.Region, member.Zone))
	}
	c.propose(jobAddMembers, conditionMembersUnlisted, statemachine.AddMembers{Members: members, ProposedBy: c.config.Self, RosterVersion: c.state.RosterVersion})
}

// removeLostMembers proposes to remove the members without contact for RemoveAfter, or
// for RemoveReleasedAfter if they have released their lease. They are fenced, and need a
// lease at the version of their removal to serve again.
func (c *Controller) removeLostMembers(now time.Time) {
	names := c.leases.LostMembers(c.state.Roster, c.config.RemoveAfter, c.config.RemoveReleasedAfter, now)
	names = slices.DeleteFunc(names, func(name string) bool { return name == c.config.Self })
	due := len(names) > 0 && c.state.RosterCommitted()
	if c.conditions.heldFor(conditionMembersLost, due, c.proposalDelay(), now) {
		c.propose(jobRemoveMembers, conditionMembersLost, statemachine.RemoveMembers{Names: names, ProposedBy: c.config.Self, RosterVersion: c.state.RosterVersion})
	}
}

// commitRosterChange proposes to commit the last roster change once it is confirmed.
func (c *Controller) commitRosterChange(now time.Time) {
	state := c.state
	if !c.conditions.heldFor(conditionRosterUncommitted, !state.RosterCommitted(), c.proposalDelay(), now) {
		return
	}
	c.startJob(jobCommitRosterChange, jobTimeout, func(ctx context.Context) func() {
		check := c.newConfirmationCheck(state.RosterVersion, state)
		if confirmed, _ := c.runConfirmationRound(ctx, &check, lease.RosterChangeConfirmed); !confirmed {
			// The job remains running during this pause, which spaces the rounds.
			select {
			case <-c.clock.After(2 * c.config.ViewInterval):
			case <-ctx.Done():
			}
			return nil
		}
		if newest := c.replica.Current(); newest.RosterVersion == state.RosterVersion && !newest.RosterCommitted() {
			command := statemachine.CommitRoster{RosterVersion: state.RosterVersion}
			_, _, _ = c.replica.Propose(ctx, statemachine.Encode(command))
		}
		return nil
	})
}

// propose proposes a command on this core's own initiative and then resets the
// condition that caused it. A failed proposal needs no other handling, because the
// condition is evaluated again.
func (c *Controller) propose(name job, cause condition, command statemachine.Command) {
	encoded := statemachine.Encode(c.proposable(command))
	c.startJob(name, jobTimeout, func(ctx context.Context) func() {
		_, _, _ = c.replica.Propose(ctx, encoded)
		return func() { c.conditions.reset(cause) }
	})
}
