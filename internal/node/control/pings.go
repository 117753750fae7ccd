package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// pingTracker records which members have a ping in flight.
type pingTracker struct {
	inFlight   map[string]bool
	lastSentAt time.Time
}

// pingIdleMembers pings the members that have had no contact with this core for
// PingAfter. Neither a refused connection nor a time-out ends a member's lease.
func (c *Controller) pingIdleMembers(now time.Time) {
	if now.Sub(c.pings.lastSentAt) < c.config.PingInterval/2 {
		return
	}
	c.pings.lastSentAt = now
	for _, target := range c.leases.PingTargets(c.state.Roster, c.config.PingAfter, now) {
		process, ok := c.peers.Process(target.Name)
		if !ok || target.Name == c.config.Self || c.pings.inFlight[target.Name] {
			continue
		}
		c.ping(target, process.Address)
	}
}

func (c *Controller) ping(target lease.MemberID, address string) {
	c.pings.inFlight[target.Name] = true
	parent := c.ctx
	req := &wire.PingRequest{
		From:        c.config.Self,
		Incarnation: c.config.Incarnation,
		Unconfirmed: true,
	}
	go func() {
		ctx, cancel := context.WithTimeout(parent, c.config.PingInterval)
		defer cancel()
		resp, err := c.peers.Client(address).Ping(ctx, connect.NewRequest(req))
		c.post(parent, func() {
			delete(c.pings.inFlight, target.Name)
			c.recordPingOutcome(target, resp, err)
		})
	}()
}

// recordPingOutcome records the outcome of a ping. target identifies the member's
// incarnation as it was known when the ping was sent.
func (c *Controller) recordPingOutcome(target lease.MemberID, resp *connect.Response[wire.PingResponse], err error) {
	now := c.clock.Now()
	switch {
	case err == nil && resp.Msg.Name == target.Name:
		c.leases.RecordPingResponse(target.Name, resp.Msg.Incarnation, now)
	case err != nil && port.IsConnectionRefused(err):
		c.leases.RecordRefusal(target, now)
		c.publishMemberStatus(target.Name, now)
	}
}
