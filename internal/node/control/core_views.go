package control

import (
	"context"
	"time"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// leaderContactIntervals is for how many PingIntervals an answer of the leader
// itself proves that it is alive.
const leaderContactIntervals = 3

// coreViews holds the newest view of each core on the lease of the planner's
// leader, by which a vacancy is judged.
type coreViews struct {
	byCore     map[string]coreView
	lastPollAt time.Time
}

// coreView is one core's view of one member's lease.
type coreView struct {
	receivedAt time.Time
	member     string
	view       *wire.LeaseViewResponse
}

// pollCoreViews requests the cores' views on the leader's lease; on this core's
// own while there is no leader.
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

// leaderObservations returns what each core knows of a leader. A core that is not
// settled or did not answer within a TTL observes nothing.
func (c *Controller) leaderObservations(leader string, now time.Time) []election.Observation {
	if leader == "" {
		return nil
	}
	var observations []election.Observation
	answer, answered := c.coreViews.byCore[leader]
	answersHere := answered && now.Sub(answer.receivedAt) < leaderContactIntervals*c.config.PingInterval
	if answersHere || c.leases.StartupGraceOver(now) {
		observations = append(observations, election.Observation{
			Core:        c.config.Self,
			HolderAlive: answersHere || c.leases.HasLease(leader, now),
		})
	}
	for core, observed := range c.coreViews.byCore {
		if core == c.config.Self || !c.counts(observed, core, leader, now) {
			continue
		}
		observations = append(observations, election.Observation{
			Core:        core,
			HolderAlive: core == leader || hasIncarnationOf(leader, observed.view.Confirmed),
		})
	}
	return observations
}

// counts reports whether a core's view is evidence about the leader: it is recent,
// of a settled core, and about the leader's lease or from the leader itself.
func (c *Controller) counts(observed coreView, core, leader string, now time.Time) bool {
	if now.Sub(observed.receivedAt) >= c.config.LeaseTTL || !observed.view.Settled {
		return false
	}
	return observed.member == leader || core == leader
}

// hasIncarnationOf reports whether any incarnation of a member is among the member
// ids of a view.
func hasIncarnationOf(name string, ids []string) bool {
	for _, id := range ids {
		if lease.ParseMemberID(id).Name == name {
			return true
		}
	}
	return false
}
