package control

import (
	"context"
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
)

// maintainRoster proposes the roster changes that are due: to settle the last one
// once it is confirmed, to add members that renew without being listed, and to
// remove members that have refused connections for long. A new change waits until
// the last one is settled.
func (c *Controller) maintainRoster(now time.Time) {
	if !c.mayPropose() {
		return
	}
	c.completeRosterChange(now)
	c.addUnlistedMembers(now)
	c.removeRefusingMembers(now)
}

func (c *Controller) addUnlistedMembers(now time.Time) {
	members := c.leases.UnlistedMembers(c.state.Roster, now)
	due := len(members) > 0 && c.state.Settled()
	if c.jobs[jobAddMembers] || !c.conditions.trueFor(conditionMembersUnlisted, due, c.config.JoinBatchWindow+c.proposalDelay(), now) {
		return
	}
	for _, member := range members {
		c.log.Emit(events.MemberJoined, "member", member.Name, "locality", sheet.ZoneName(member.Region, member.Zone))
	}
	c.propose(jobAddMembers, conditionMembersUnlisted, sheet.AddMembers{Members: members, By: c.config.Self})
}

func (c *Controller) removeRefusingMembers(now time.Time) {
	names := c.leases.RefusingMembers(c.state.Roster, c.config.RemoveAfter, now)
	due := len(names) > 0 && c.state.Settled()
	if c.conditions.trueFor(conditionMembersRefusing, due, c.proposalDelay(), now) {
		c.propose(jobRemoveMembers, conditionMembersRefusing, sheet.RemoveMembers{Names: names, By: c.config.Self})
	}
}

// completeRosterChange proposes to settle the last roster change once it is confirmed.
func (c *Controller) completeRosterChange(now time.Time) {
	state := c.state
	if !c.conditions.trueFor(conditionRosterChangePending, !state.Settled(), c.proposalDelay(), now) {
		return
	}
	c.startJob(jobCompleteRosterChange, jobTimeout, func(ctx context.Context) func() {
		check := c.newConfirmationCheck(state.RosterVersion, state)
		if confirmed, _ := c.runCheck(ctx, &check, lease.RosterChangeConfirmed); !confirmed {
			// The job counts as running meanwhile, which spaces the rounds.
			select {
			case <-c.clock.After(2 * c.config.ViewInterval):
			case <-ctx.Done():
			}
			return nil
		}
		if newest := c.replica.Current(); newest.RosterVersion == state.RosterVersion && !newest.Settled() {
			command := sheet.SettleRoster{RosterVersion: state.RosterVersion}
			_, _, _ = c.replica.Propose(ctx, sheet.Encode(command))
		}
		return nil
	})
}

// propose proposes a command of the core's own, and restarts the span of the
// condition that led to it: that is evaluated again afterwards, so a failure needs
// no other treatment.
func (c *Controller) propose(name job, cause condition, command sheet.Command) {
	c.startJob(name, jobTimeout, func(ctx context.Context) func() {
		_, _, _ = c.replica.Propose(ctx, sheet.Encode(command))
		return func() { c.conditions.reset(cause) }
	})
}
