package control

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// statusScanInterval is the interval at which time-outs of all members are found.
const statusScanInterval = 200 * time.Millisecond

// memberStatuses finds the changes of members' status to publish on the feed.
type memberStatuses struct {
	tracker    *lease.StatusTracker
	lastScanAt time.Time
}

// publishMemberStatus publishes the status of one member if it changed.
func (c *Controller) publishMemberStatus(name string, now time.Time) {
	if status := c.statuses.tracker.Update(c.leases, name, c.state.Roster, now); status != nil {
		c.publishStatus(status)
	}
}

// publishMemberStatuses publishes the changes that come from time alone, and
// answers the followers with all that was published since the last tick: many
// members that change at once cost a follower one answer, not one each.
func (c *Controller) publishMemberStatuses(now time.Time) {
	if now.Sub(c.statuses.lastScanAt) >= statusScanInterval {
		c.statuses.lastScanAt = now
		for _, status := range c.statuses.tracker.UpdateAll(c.leases, c.state.Roster, now) {
			c.publishStatus(status)
		}
	}
	if c.feed.unanswered {
		c.answerFollowers()
	}
}

// publishStatus leaves the answer to those who wait to the next tick.
func (c *Controller) publishStatus(status *wire.Sight) {
	c.feed.publish(&wire.Change{What: &wire.Change_Sight{Sight: status}})
	c.feed.unanswered = true
}
