package control

import (
	"context"
	"time"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// campaignForPlanner proposes this core as the planner's leader if the role has been
// vacant for this core's candidate delay. A leader that has restarted claims a new
// term immediately, because it no longer knows which plan numbers it has used.
func (c *Controller) campaignForPlanner(now time.Time) {
	if !c.mayPropose() {
		return
	}
	role := c.state.Roles[election.Planner]
	delay, voter := c.candidateDelay(role)
	vacant := c.plannerVacant(role, now)
	if !voter || !c.conditions.heldFor(conditionPlannerVacant, vacant, delay, now) {
		return
	}
	if role.Holder != "" && !c.jobs[jobElection] {
		c.log.Emit(events.RoleVacant, "duty", election.Planner, "term", role.Term, "holder", role.Holder)
	}
	command := statemachine.AcquireRole{Role: election.Planner, Term: role.Term + 1, Holder: c.config.Self}
	c.startJob(jobElection, jobTimeout, func(ctx context.Context) func() {
		_, result, err := c.replica.Propose(ctx, statemachine.Encode(command))
		won := err == nil && result.APIError() == nil
		return func() { c.recordCampaignResult(won, command.Term) }
	})
}

// recordCampaignResult restarts the candidate delay and, if this core won, records
// the term as its own.
func (c *Controller) recordCampaignResult(won bool, term uint64) {
	c.conditions.reset(conditionPlannerVacant)
	if !won {
		return
	}
	c.planner.wonTerm = term
	c.log.Emit(events.RoleAcquired, "duty", election.Planner, "term", term)
}

func (c *Controller) plannerVacant(role statemachine.RoleTerm, now time.Time) bool {
	if role.Holder == c.config.Self {
		return !c.isLeader(role)
	}
	return election.Vacant(role, c.replica.Voters(), c.leaderObservations(role.Holder, now))
}

func (c *Controller) candidateDelay(role statemachine.RoleTerm) (delay time.Duration, voter bool) {
	delay, voter = election.CandidateDelay(c.config.Self, role, c.replica.Voters(), c.config.ProposalStagger)
	if role.Holder == c.config.Self {
		return 0, voter
	}
	return delay, voter
}
