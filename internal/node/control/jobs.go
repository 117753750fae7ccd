package control

import (
	"context"
	"time"
)

// jobTimeout bounds one proposal, one read from a majority or one plan.
const jobTimeout = 3 * time.Second

// job names work that runs outside the owner, at most once at a time.
type job string

// Jobs.
const (
	jobCatchUp              job = "catch up"
	jobCoreViews            job = "core views"
	jobAddMembers           job = "add members"
	jobRemoveMembers        job = "remove members"
	jobCompleteRosterChange job = "complete roster change"
	jobElection             job = "election"
	jobPlan                 job = "plan"
)

// runningJobs is the set of jobs that have not finished.
type runningJobs map[job]bool

// startJob runs work outside the owner unless the job is running, and then, at
// the owner, the function that it returns, if any.
func (c *Controller) startJob(name job, timeout time.Duration, work func(ctx context.Context) (done func())) {
	if c.jobs[name] {
		return
	}
	c.jobs[name] = true
	parent := c.ctx
	go func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		done := work(ctx)
		c.post(parent, func() {
			c.jobs[name] = false
			if done != nil {
				done()
			}
		})
	}()
}

// condition names a condition that must hold for a span before the controller
// acts on it.
type condition string

// Conditions.
const (
	conditionMembersUnlisted     condition = "members unlisted"
	conditionMembersRefusing     condition = "members refusing"
	conditionRosterChangePending condition = "roster change pending"
	conditionPlannerVacant       condition = "planner vacant"
	conditionServersReported     condition = "servers reported"
)

// conditionTimers records since when each condition has held.
type conditionTimers map[condition]time.Time

// trueFor reports whether a condition has held for a span, from the first call at
// which it held. A call at which it does not hold resets it.
func (t conditionTimers) trueFor(name condition, holds bool, span time.Duration, now time.Time) bool {
	if !holds {
		t.reset(name)
		return false
	}
	since, ok := t[name]
	if !ok {
		t[name] = now
		since = now
	}
	return now.Sub(since) >= span
}

// reset starts the span of a condition again.
func (t conditionTimers) reset(name condition) { delete(t, name) }
