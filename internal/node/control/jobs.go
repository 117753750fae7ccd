package control

import (
	"context"
	"time"
)

// jobTimeout bounds a proposal, a read from a majority or the computation of a plan.
const jobTimeout = 3 * time.Second

// job names a kind of work that runs outside the owner, at most once at a time.
type job string

// Jobs.
const (
	jobCatchUp            job = "catch up"
	jobCoreViews          job = "core views"
	jobAddMembers         job = "add members"
	jobRemoveMembers      job = "remove members"
	jobCommitRosterChange job = "commit roster change"
	jobElection           job = "election"
	jobPlan               job = "plan"
)

// runningJobs is the set of jobs that are running.
type runningJobs map[job]bool

// startJob runs work in its own goroutine, unless the job is already running. The
// owner then runs the function that work returned, if any.
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
