package control

import (
	"context"
	"slices"
	"time"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// keepDuty tries for the planner's duty when it is vacant and this core's turn
// has come. A holder that restarted takes a new term, as it no longer knows
// which plans it numbered.
func (c *Core) keepDuty(now time.Time) {
	if !c.mayPropose() {
		return
	}
	held := c.state.Roles[election.Planner]
	voters := c.agreement.Voters()
	own := held.Holder == c.config.Self
	vacant := (own && held.Term != c.wonTerm) || (!own && election.Vacant(held, voters, c.sightsOf(held.Holder, now)))
	wait, voter := election.Turn(c.config.Self, held, voters, c.config.TurnStep)
	if own {
		wait = 0
	}
	if !voter || !c.waited(election.Planner, vacant, wait, now) {
		return
	}
	if held.Holder != "" && !c.jobs[election.Planner] {
		c.log.Emit(events.DutyVacant, "duty", election.Planner, "term", held.Term, "holder", held.Holder)
	}
	next := statemachine.AcquireRole{Role: election.Planner, Term: held.Term + 1, Holder: c.config.Self}
	c.job(election.Planner, jobTimeout, func(ctx context.Context) func() {
		_, result, err := c.agreement.Propose(ctx, statemachine.Encode(next))
		return func() {
			delete(c.since, election.Planner)
			if err == nil && result.APIError() == nil {
				c.wonTerm = next.Term
				c.log.Emit(events.DutyWon, "duty", election.Planner, "term", next.Term)
			}
		}
	})
}

// sightsOf tells what each core knows of a holder. A core that is not settled
// or was not heard within a TTL says nothing.
func (c *Core) sightsOf(holder string, now time.Time) []election.Sight {
	if holder == "" {
		return nil
	}
	heard, answered := c.sights[holder]
	direct := answered && now.Sub(heard.at) < 3*c.config.PingEvery
	var sights []election.Sight
	if direct || c.ledger.Settled(now) {
		sights = append(sights, election.Sight{Core: c.config.Self, Alive: direct || c.ledger.Live(holder, now)})
	}
	for core, s := range c.sights {
		if core == c.config.Self || now.Sub(s.at) >= c.config.LeaseTTL || !s.view.Settled || (s.about != holder && core != holder) {
			continue
		}
		sights = append(sights, election.Sight{Core: core, Alive: core == holder || listed(s.view.Confirmed, holder)})
	}
	return sights
}

// keepPlan makes a plan when this core holds the duty and the period is over
// or something forces one. After it began it first hears of the servers: a plan
// of some of them would take the others' caps away.
func (c *Core) keepPlan(now time.Time) {
	held := c.state.Roles[election.Planner]
	if held.Holder != c.config.Self || held.Term != c.wonTerm || !c.opened || c.state.Sheet == nil {
		return
	}
	if !c.waited("servers", len(c.reports.merged.Servers()) > 0, gatherFor, now) {
		return
	}
	in := c.planInput(held.Term)
	cause, forced := plan.Forced(c.plan, in)
	switch {
	case forced:
		in.Cause = cause
	case c.plan.Term != held.Term:
		in.Cause = "term"
	case plan.Due(c.plan, in.Now):
		in.Cause = "period"
	default:
		return
	}
	c.job("plan", jobTimeout, func(context.Context) func() {
		next := plan.Compute(in)
		return func() {
			if c.state.Roles[election.Planner] != held || !c.takePlan(next) {
				return
			}
			c.log.Emit(events.PlanMade, "term", next.Term, "number", next.Number, "cause", next.Cause, "epoch", next.Epoch)
			for _, p := range c.others() {
				c.outbox(p.Name).plan = next
			}
			c.flushAll()
		}
	})
}

func (c *Core) planInput(term uint64) plan.Input {
	number := uint64(1)
	if c.plan != nil && c.plan.Term == term {
		number = c.plan.Number + 1
	}
	return plan.Input{State: c.state, Servers: c.reports.merged.Servers(), Fronts: frontsOf(c.state.Roster), Prior: c.plan,
		Term: term, Number: number, Holder: c.config.Self, Now: c.config.FleetNow(), Period: c.config.PlanPeriod, Policy: c.config.Policy}
}

func frontsOf(roster map[string]statemachine.Member) []statemachine.Member {
	var fronts []statemachine.Member
	for _, member := range roster {
		if member.Front {
			fronts = append(fronts, member)
		}
	}
	slices.SortFunc(fronts, func(a, b statemachine.Member) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	return fronts
}

func planSummary(p *wire.Plan) *planStatus {
	if p == nil {
		return nil
	}
	return &planStatus{Term: p.Term, Number: p.Number, Version: p.Epoch, Holder: p.Holder, Cause: p.Cause, AtMS: p.AtMs}
}
