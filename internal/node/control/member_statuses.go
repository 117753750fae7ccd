package control

import (
	"time"

	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// statusScanInterval is the interval at which the statuses of all members are
// checked for changes caused by the passing of time.
const statusScanInterval = 200 * time.Millisecond

// memberStatuses detects changes of members' statuses, which the feed publishes.
type memberStatuses struct {
	tracker    *lease.StatusTracker
	lastScanAt time.Time
}

// publishMemberStatus publishes the status of a member if it has changed.
func (c *Controller) publishMemberStatus(name string, now time.Time) {
	if status := c.statuses.tracker.Update(c.leases, name, c.state.Roster, now); status != nil {
		c.publishStatusChange(status)
	}
}

// publishMemberStatuses publishes the status changes caused by the passing of time,
// and answers the followers with all changes published since the last tick. If many
// members change at once, a follower gets one response instead of one for each.
func (c *Controller) publishMemberStatuses(now time.Time) {
	if now.Sub(c.statuses.lastScanAt) >= statusScanInterval {
		c.statuses.lastScanAt = now
		for _, status := range c.statuses.tracker.UpdateAll(c.leases, c.state.Roster, now) {
			c.publishStatusChange(status)
		}
	}
	if c.feed.hasUndelivered {
		c.answerFeedWaiters()
	}
}

// publishStatusChange publishes a member's status. Waiting followers are answered at
// the next tick.
func (c *Controller) publishStatusChange(status *wire.Sight) {
	c.feed.publish(&wire.Change{What: &wire.Change_Sight{Sight: status}})
	c.feed.hasUndelivered = true
}
