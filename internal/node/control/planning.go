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

// firstPlanDelay is how long a new leader collects reports on servers before it
// computes its first plan. A plan of only some servers would remove the caps of the
// others.
const firstPlanDelay = 1500 * time.Millisecond

// Causes of plans that no failure, drain or evacuation forces. Plans carry them on
// the wire.
const (
	causeNewTerm = "term"
	causePeriod  = "period"
)

// planner holds the current plan and this core's leadership of the planner role.
type planner struct {
	current *wire.Plan
	// wonTerm is the last term that this incarnation won as the leader; zero if none.
	wonTerm uint64
}

// isLeader reports whether this incarnation is the leader in the given term. A core
// that has restarted is not, because it doesn't know which plan numbers its former
// incarnation used.
func (c *Controller) isLeader(role statemachine.RoleTerm) bool {
	return role.Holder == c.config.Self && role.Term == c.planner.wonTerm
}

// updatePlan computes a new plan if this core is the leader and a plan is due (see
// planCause).
func (c *Controller) updatePlan(now time.Time) {
	role := c.state.Roles[election.Planner]
	if !c.isLeader(role) || !c.caughtUp || c.state.Sheet == nil {
		return
	}
	serversReported := len(c.reports.store.Servers()) > 0
	if !c.conditions.heldFor(conditionServersReported, serversReported, firstPlanDelay, now) {
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

// planCause returns whether a plan is due and the cause: an event that forces one, a
// new term or the end of the period.
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

// publishComputedPlan publishes a plan that this core computed and sends it to the
// other cores, unless the leader has changed since the computation began.
func (c *Controller) publishComputedPlan(next *wire.Plan, role statemachine.RoleTerm) {
	if c.state.Roles[election.Planner] != role || !c.adoptPlan(next) {
		return
	}
	c.log.Emit(events.PlanCreated, "term", next.Term, "number", next.Number, "cause", next.Cause, "epoch", next.Epoch)
	c.queuePlan(next)
	c.flushOutboxes()
}

// adoptPlan stores and publishes a plan if its (term, number) is higher than that of
// the current plan and its term is not lower than the role's term in the state. It
// reports whether it did.
func (c *Controller) adoptPlan(next *wire.Plan) bool {
	if next == nil {
		return false
	}
	if !plan.Supersedes(next, c.planner.current) || next.Term < c.state.Roles[election.Planner].Term {
		c.log.Emit(events.PlanSuperseded, "term", next.Term, "number", next.Number)
		return false
	}
	stored, published := omitRepeatedParts(c.planner.current, next)
	c.planner.current = stored
	c.feed.publish(&wire.Change{What: &wire.Change_Plan{Plan: published}})
	c.answerFeedWaiters()
	return true
}

// omitRepeatedParts returns the plan to store and the plan to publish. If shares and
// caps equal those of the prior plan, the published one omits them and gives the
// number of the first plan that had them.
func omitRepeatedParts(prior, next *wire.Plan) (stored, published *wire.Plan) {
	stored = proto.Clone(next).(*wire.Plan)
	stored.Repeats = 0
	if !repeatsPrior(prior, next) {
		return stored, stored
	}
	stored.Repeats = cmp.Or(prior.Repeats, prior.Number)
	published = proto.Clone(stored).(*wire.Plan)
	published.Shares = nil
	published.Caps = nil
	return stored, published
}

// repeatsPrior reports whether a plan has at least one share or cap and all of them
// equal those of the prior plan, which has the same term.
func repeatsPrior(prior, next *wire.Plan) bool {
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
