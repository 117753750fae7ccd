package control

import (
	"context"
	"time"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
)

// campaignForPlanner proposes this core as the planner's leader when there is none
// and its turn has come. A leader that restarted takes a new term at once, as it no
// longer knows which plans it has numbered.
func (c *Controller) campaignForPlanner(now time.Time) {
	if !c.mayPropose() {
		return
	}
	role := c.state.Duties[election.Planner]
	delay, voter := c.candidateDelay(role)
	vacant := c.plannerVacant(role, now)
	if !voter || !c.conditions.trueFor(conditionPlannerVacant, vacant, delay, now) {
		return
	}
	if role.Holder != "" && !c.jobs[jobElection] {
		c.log.Emit(events.DutyVacant, "duty", election.Planner, "term", role.Term, "holder", role.Holder)
	}
	command := sheet.TakeDuty{Duty: election.Planner, Term: role.Term + 1, Holder: c.config.Self}
	c.startJob(jobElection, jobTimeout, func(ctx context.Context) func() {
		_, result, err := c.replica.Propose(ctx, sheet.Encode(command))
		won := err == nil && result.Fault() == nil
		return func() { c.campaignEnded(won, command.Term) }
	})
}

func (c *Controller) campaignEnded(won bool, term uint64) {
	c.conditions.reset(conditionPlannerVacant)
	if !won {
		return
	}
	c.planner.wonTerm = term
	c.log.Emit(events.DutyWon, "duty", election.Planner, "term", term)
}

func (c *Controller) plannerVacant(role sheet.Duty, now time.Time) bool {
	if role.Holder == c.config.Self {
		return !c.leads(role)
	}
	return election.Vacant(role, c.replica.Voters(), c.leaderObservations(role.Holder, now))
}

func (c *Controller) candidateDelay(role sheet.Duty) (delay time.Duration, voter bool) {
	delay, voter = election.CandidateDelay(c.config.Self, role, c.replica.Voters(), c.config.ProposalStagger)
	if role.Holder == c.config.Self {
		return 0, voter
	}
	return delay, voter
}
