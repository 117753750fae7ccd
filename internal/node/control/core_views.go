package control

import (
	"context"
	"time"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// leaderContactIntervals is the number of PingIntervals for which an answer from
// the leader itself counts as proof that it is alive.
const leaderContactIntervals = 3

// coreViews holds each core's newest view of the lease of the planner's leader.
// The views determine whether the role is vacant.
type coreViews struct {
	byCore     map[string]coreView
	lastPollAt time.Time
}

// coreView is one core's view of the lease of one member.
type coreView struct {
	receivedAt time.Time
	member     string
	view       *wire.LeaseViewResponse
}

// pollCoreViews requests the cores' views of the leader's lease or, while there is
// no leader, of this core's lease.
func (c *Controller) pollCoreViews(now time.Time) {
	if now.Sub(c.coreViews.lastPollAt) < c.config.PingInterval {
		return
	}
	c.coreViews.lastPollAt = now
	member := c.state.Roles[election.Planner].Holder
	if member == "" {
		member = c.config.Self
	}
	c.startJob(jobCoreViews, viewTimeout*2, func(ctx context.Context) func() {
		views := c.collectViews(ctx, &wire.LeaseViewRequest{About: member}, nil)
		return func() {
			receivedAt := c.clock.Now()
			for _, view := range views {
				c.coreViews.byCore[view.Core] = coreView{receivedAt: receivedAt, member: member, view: view}
			}
		}
	})
}

// leaderObservations returns the cores' observations of the leader. This core has one
// if the leader has answered it recently or its own startup grace is over; another
// core has one if its newest view is evidence about the leader.
func (c *Controller) leaderObservations(leader string, now time.Time) []election.Observation {
	if leader == "" {
		return nil
	}
	var observations []election.Observation
	leaderView, hasLeaderView := c.coreViews.byCore[leader]
	leaderAnswers := hasLeaderView && now.Sub(leaderView.receivedAt) < leaderContactIntervals*c.config.PingInterval
	if leaderAnswers || c.leases.StartupGraceOver(now) {
		observations = append(observations, election.Observation{
			Core:        c.config.Self,
			HolderAlive: leaderAnswers || c.leases.HasLease(leader, now),
		})
	}
	for core, observed := range c.coreViews.byCore {
		if core == c.config.Self || !c.isEvidence(observed, core, leader, now) {
			continue
		}
		observations = append(observations, election.Observation{
			Core:        core,
			HolderAlive: core == leader || hasIncarnationOf(leader, observed.view.Confirmed),
		})
	}
	return observations
}

// isEvidence reports whether a core's view is evidence about the leader: it was
// received within the last TTL, the core's startup grace is over, and the view is of
// the leader's lease or comes from the leader itself.
func (c *Controller) isEvidence(observed coreView, core, leader string, now time.Time) bool {
	if now.Sub(observed.receivedAt) >= c.config.LeaseTTL || !observed.view.Settled {
		return false
	}
	return observed.member == leader || core == leader
}

// hasIncarnationOf reports whether the member ids of a view include any incarnation
// of a member.
func hasIncarnationOf(name string, ids []string) bool {
	for _, id := range ids {
		if lease.ParseMemberID(id).Name == name {
			return true
		}
	}
	return false
}
