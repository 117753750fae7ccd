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
