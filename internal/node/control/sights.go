package control

import (
	"time"

	"stepwick/internal/wire"
)

const lookEvery = 200 * time.Millisecond

// look feeds what is new about one process.
func (c *Controller) look(name string, now time.Time) {
	if sight := c.processes.Update(c.ledger, name, c.state.Roster, now); sight != nil {
		c.tell(sight)
	}
}

// lookAll feeds what the passing of time alone tells, and answers with all
// that came up since the last tick: many processes that change at once cost
// those who wait one answer, not one each.
func (c *Controller) lookAll(now time.Time) {
	if now.Sub(c.lastLook) >= lookEvery {
		c.lastLook = now
		for _, sight := range c.processes.UpdateAll(c.ledger, c.state.Roster, now) {
			c.tell(sight)
		}
	}
	if c.untold {
		c.answerWaiters()
	}
}

func (c *Controller) tell(sight *wire.Sight) {
	c.feed.publish(&wire.Change{What: &wire.Change_Sight{Sight: sight}})
	c.untold = true
}
