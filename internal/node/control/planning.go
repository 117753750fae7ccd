package control

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// firstPlanDelay is how long a new leader gathers reports on servers before its
// first plan: a plan of some of them would take the caps of the others away.
const firstPlanDelay = 1500 * time.Millisecond

// Causes of a plan that no lost server forces; they are part of its form.
const (
	causeNewTerm = "term"
	causePeriod  = "period"
)

// planner is the plan in force here and this core's part in making plans.
type planner struct {
	current *wire.Plan
	// wonTerm is the term in which this incarnation is the leader; zero if none.
	wonTerm uint64
}

// leads reports whether this incarnation is the leader in the newest term. A core
// that restarted is not: it doesn't know which plans it has numbered.
func (c *Controller) leads(role statemachine.RoleTerm) bool {
	return role.Holder == c.config.Self && role.Term == c.planner.wonTerm
}

// updatePlan computes a new plan when this core is the leader and the period is
// over, or the loss of a server forces one.
func (c *Controller) updatePlan(now time.Time) {
	role := c.state.Roles[election.Planner]
	if !c.leads(role) || !c.caughtUp || c.state.Sheet == nil {
		return
	}
	serversReported := len(c.reports.store.Servers()) > 0
	if !c.conditions.trueFor(conditionServersReported, serversReported, firstPlanDelay, now) {
		return
	}
	input := c.planInput(role.Term)
	cause, due := c.planCause(input)
	if !due {
		return
	}
	input.Cause = cause
	c.startJob(jobPlan, jobTimeout, func(context.Context) func() {
		next := plan.Compute(input)
		return func() { c.publishComputedPlan(next, role) }
	})
}

// planCause returns why a plan is due, if one is.
func (c *Controller) planCause(input plan.Input) (cause string, due bool) {
	if cause, forced := plan.ReplanCause(c.planner.current, input); forced {
		return cause, true
	}
	if c.planner.current.Term != input.Term {
		return causeNewTerm, true
	}
	if plan.PeriodOver(c.planner.current, input.Now) {
		return causePeriod, true
	}
	return "", false
}

func (c *Controller) planInput(term uint64) plan.Input {
	number := uint64(1)
	if current := c.planner.current; current != nil && current.Term == term {
		number = current.Number + 1
	}
	return plan.Input{
		State:   c.state,
		Servers: c.reports.store.Servers(),
		Fronts:  frontsOf(c.state.Roster),
		Current: c.planner.current,
		Term:    term,
		Number:  number,
		Holder:  c.config.Self,
		Now:     c.config.FleetNow(),
		Period:  c.config.PlanPeriod,
		Policy:  c.config.PlanPolicy,
	}
}

// publishComputedPlan publishes a plan computed here, unless the leader changed since
// the computation began, and sends it to the other cores.
func (c *Controller) publishComputedPlan(next *wire.Plan, role statemachine.RoleTerm) {
	if c.state.Roles[election.Planner] != role || !c.adoptPlan(next) {
		return
	}
	c.log.Emit(events.PlanCreated, "term", next.Term, "number", next.Number, "cause", next.Cause, "epoch", next.Epoch)
	c.queuePlan(next)
	c.flushOutboxes()
}

// adoptPlan takes a plan of a higher (term, number) and publishes it; it reports
// whether it did.
func (c *Controller) adoptPlan(next *wire.Plan) bool {
	if next == nil {
		return false
	}
	if !plan.Supersedes(next, c.planner.current) || next.Term < c.state.Roles[election.Planner].Term {
		c.log.Emit(events.PlanSuperseded, "term", next.Term, "number", next.Number)
		return false
	}
	stored, published := compactRepeat(c.planner.current, next)
	c.planner.current = stored
	c.feed.publish(&wire.Change{What: &wire.Change_Plan{Plan: published}})
	c.answerFollowers()
	return true
}

// compactRepeat returns the plan to store and the one to publish. Where shares and
// caps equal those of the prior plan, the published one leaves them out and names
// the first plan that had them.
func compactRepeat(prior, next *wire.Plan) (stored, published *wire.Plan) {
	stored = proto.Clone(next).(*wire.Plan)
	stored.Repeats = 0
	if !repeats(prior, next) {
		return stored, stored
	}
	stored.Repeats = cmp.Or(prior.Repeats, prior.Number)
	published = proto.Clone(stored).(*wire.Plan)
	published.Shares = nil
	published.Caps = nil
	return stored, published
}

// repeats reports whether a plan has the shares and caps of the prior one of its
// term, and any at all.
func repeats(prior, next *wire.Plan) bool {
	if prior == nil || prior.Term != next.Term || len(next.Shares)+len(next.Caps) == 0 {
		return false
	}
	return slices.EqualFunc(prior.Shares, next.Shares, func(a, b *wire.Share) bool { return proto.Equal(a, b) }) &&
		slices.EqualFunc(prior.Caps, next.Caps, func(a, b *wire.Cap) bool { return proto.Equal(a, b) })
}

// frontsOf returns the members of a roster that run a front, sorted by name.
func frontsOf(roster map[string]statemachine.Member) []statemachine.Member {
	var fronts []statemachine.Member
	for _, member := range roster {
		if member.Front {
			fronts = append(fronts, member)
		}
	}
	slices.SortFunc(fronts, func(a, b statemachine.Member) int { return strings.Compare(a.Name, b.Name) })
	return fronts
}
