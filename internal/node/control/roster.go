package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/election"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// pingQuiet pings members that have not been heard for a while. A refusal
// releases their lease at once; silence never does.
func (c *Core) pingQuiet(now time.Time) {
	if now.Sub(c.lastPings) < c.config.PingEvery/2 {
		return
	}
	c.lastPings = now
	for _, quiet := range c.ledger.Quiet(c.state.Roster, c.config.QuietAfter, now) {
		p, known := c.peers.Process(quiet.Name)
		if !known || quiet.Name == c.config.Self || c.pinging[quiet.Name] {
			continue
		}
		c.pinging[quiet.Name] = true
		parent := c.ctx
		go func() {
			ctx, cancel := context.WithTimeout(parent, c.config.PingEvery)
			defer cancel()
			resp, err := c.peers.Client(p.Address).Ping(ctx, connect.NewRequest(&wire.PingRequest{
				From: c.config.Self, Incarnation: c.config.Incarnation, Unconfirmed: true}))
			c.post(parent, func() {
				delete(c.pinging, quiet.Name)
				c.pinged(quiet, resp, err)
			})
		}()
	}
}

func (c *Core) pinged(quiet lease.Quiet, resp *connect.Response[wire.PingResponse], err error) {
	now := c.clock.Now()
	switch {
	case err == nil && resp.Msg.Name == quiet.Name:
		c.ledger.Heard(quiet.Name, resp.Msg.Incarnation, now)
	case err != nil && port.Refused(err):
		if quiet.Incarnation != 0 && c.ledger.Live(quiet.Name, now) {
			c.log.Emit(events.LeaseReleased, "member", quiet.Name, "by", "refusal")
		}
		c.ledger.Gone(quiet.Name, quiet.Incarnation, now)
		c.look(quiet.Name, now)
	}
}

// askViews keeps a fresh view of what the other cores know of a duty's holder,
// by which vacancy is judged.
func (c *Core) askViews(now time.Time) {
	if now.Sub(c.lastViews) < c.config.PingEvery {
		return
	}
	c.lastViews = now
	about := c.state.Roles[election.Planner].Holder
	if about == "" {
		about = c.config.Self
	}
	c.job("views", viewTimeout*2, func(ctx context.Context) func() {
		views := c.views(ctx, &wire.LeaseViewRequest{About: about}, nil)
		return func() {
			at := c.clock.Now()
			for _, view := range views {
				c.sights[view.Core] = sight{at: at, about: about, view: view}
			}
		}
	})
}

// keepRoster proposes what the roster needs: members that renew and are not on
// it, members that refused for long, and the end of a change in force.
func (c *Core) keepRoster(now time.Time) {
	if !c.mayPropose() {
		return
	}
	c.settleRoster(now)
	newcomers := c.ledger.Newcomers(c.state.Roster, now)
	if !c.jobs["add"] && c.waited("add", len(newcomers) > 0 && c.state.RosterCommitted(), c.config.BatchFor+c.turn(), now) {
		for _, member := range newcomers {
			c.log.Emit(events.MemberJoined, "member", member.Name, "locality", sheet.ZoneName(member.Region, member.Zone))
		}
		c.propose("add", statemachine.AddMembers{Members: newcomers, ProposedBy: c.config.Self})
	}
	departed := c.ledger.Departed(c.state.Roster, c.config.RemoveAfter, now)
	if c.waited("remove", len(departed) > 0 && c.state.RosterCommitted(), c.turn(), now) {
		c.propose("remove", statemachine.RemoveMembers{Names: departed, ProposedBy: c.config.Self})
	}
}

func (c *Core) settleRoster(now time.Time) {
	state := c.state
	if !c.waited("settle", !state.RosterCommitted(), c.turn(), now) {
		return
	}
	c.job("settle", jobTimeout, func(ctx context.Context) func() {
		question, met := lease.Question{Version: state.RosterVersion, Voters: len(c.agreement.Voters()), Roster: state.Roster, Prior: state.PriorRoster}, false
		c.views(ctx, &wire.LeaseViewRequest{Epoch: state.RosterVersion}, func(views []*wire.LeaseViewResponse) bool {
			question.Views = views
			met, _ = lease.Settled(question)
			return met
		})
		if !met {
			select {
			case <-c.clock.After(2 * c.config.AckPace):
			case <-ctx.Done():
			}
			return nil
		}
		if newest := c.agreement.Current(); newest.RosterVersion == state.RosterVersion && !newest.RosterCommitted() {
			_, _, _ = c.agreement.Propose(ctx, statemachine.Encode(statemachine.CommitRoster{RosterVersion: state.RosterVersion}))
		}
		return nil
	})
}

// propose puts a command of the core's own to a ballot; what it asks for is
// looked at anew afterwards, so a failure needs no other answer.
func (c *Core) propose(name string, command statemachine.Command) {
	c.job(name, jobTimeout, func(ctx context.Context) func() {
		_, _, _ = c.agreement.Propose(ctx, statemachine.Encode(command))
		return func() { delete(c.since, name) }
	})
}
