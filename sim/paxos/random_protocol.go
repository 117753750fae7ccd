package paxos

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// probeAll asks all other cores how they are. It goes on once all have answered,
// or after a grace.
func (c *core) probeAll(then func(map[string]*wire.RecoverResponse)) {
	answers, life, over := map[string]*wire.RecoverResponse{}, c.life, false
	proceed := func() {
		if !over && c.life == life {
			over = true
			then(answers)
		}
	}
	take := once(func(name string, answer *wire.RecoverResponse) {
		if !over {
			answers[name] = answer
		}
		if len(answers) == len(c.sim.cores)-1 {
			proceed()
		}
	})
	if len(c.sim.cores) > len(names) {
		c.sim.after(probeGrace, proceed)
	}
	for _, other := range c.others() {
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			return o.state.Recover(&wire.RecoverRequest{Core: c.state.Self, Probe: true})
		}, take(other.state.Self))
	}
}

func (c *core) seek() {
	c.probeAll(func(answers map[string]*wire.RecoverResponse) {
		for _, name := range c.sim.names {
			if answers[name] == nil {
				continue
			}
			if record, ok := c.state.JoinProbed(answers[name]); ok {
				c.commit([]paxos.Record{record})
				return
			}
		}
		record, ok := c.state.FoundFormation(fmt.Sprintf("%s-%d", c.state.Self, c.sim.now), len(c.sim.cores), answers, 0, nil)
		if !ok {
			return
		}
		c.commit([]paxos.Record{record})
		joined := record.(paxos.FormationJoined)
		c.whenSynced(func() {
			for _, other := range c.others() {
				rpc(c, other, func(o *core) ([]paxos.Record, *wire.FoundResponse) {
					return o.state.Found(&wire.FoundRequest{Formation: joined.Formation, Voters: joined.Voters, Founder: c.state.Self})
				}, func(*wire.FoundResponse) {})
			}
		})
	})
}

func (c *core) enter() {
	if c.entering {
		return
	}
	c.entering = true
	life := c.life
	c.sim.after(entryTimeout+c.slow, func() {
		if c.life == life {
			c.entering = false
		}
	})
	c.probeAll(func(probes map[string]*wire.RecoverResponse) {
		for _, name := range c.sim.names {
			if probes[name] == nil {
				continue
			}
			if record, ok := c.state.JoinProbed(probes[name]); ok {
				c.commit([]paxos.Record{record})
				return
			}
		}
		next, waiting := c.state.NextIncarnation(probes, c.salt())
		if waiting != "" || c.state.Incarnation() != 0 {
			return
		}
		if next != c.state.AnnouncedIncarnation {
			c.commit([]paxos.Record{paxos.IncarnationRecorded{Core: c.state.Self, Incarnation: next}})
		}
		c.whenSynced(func() { c.announce(next, probes) })
	})
}

// announce asks the voters that ballot names, by their answers to a probe, to
// keep this core's life and to tell what they hold.
func (c *core) announce(life uint64, probes map[string]*wire.RecoverResponse) {
	sources, _ := c.state.RecoverySources(life, probes)
	formation, rebuildQuorum := c.state.Formation, c.state.RecoveryQuorum()
	c.round++
	round := c.round
	answers := map[string]*wire.RecoverResponse{}
	take := once(func(name string, answer *wire.RecoverResponse) {
		answers[name] = answer
		if len(answers) < rebuildQuorum || c.round != round || c.state.Incarnation() != 0 || c.state.Formation != formation {
			return
		}
		if record, waiting := c.state.CompleteRecovery(life, answers); waiting == "" {
			c.commit([]paxos.Record{record})
		}
	})
	for _, other := range c.others() {
		if !slices.Contains(sources, other.state.Self) {
			continue
		}
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			records, answer := o.state.Recover(&wire.RecoverRequest{Formation: formation, Core: c.state.Self, Life: life})
			if c.sim.faults.Flaw == LifeForgotten {
				records = nil
			}
			return records, answer
		}, take(other.state.Self))
	}
}

// look fetches from another core what is missing here.
func (c *core) look() {
	other := c.others()[c.sim.random.IntN(len(c.sim.cores)-1)]
	c.fetch(other)
	if c.sim.faults.Replaced {
		c.stand(other)
	}
}

// salt is the process's own part of the disk lives that it announces, unless
// the flaw is that all have the same.
func (c *core) salt() uint64 {
	if c.sim.faults.Flaw == SharedLife || !c.sim.faults.Replaced {
		return 0
	}
	return uint64(c.sim.random.Int64N(1 << 32))
}

// stand asks another core for the disk life that it knows of this name. A
// process that another has replaced gives its disk up: one that left ends, the
// others begin anew with a blank disk.
func (c *core) stand(other *core) {
	rpc(c, other, func(o *core) ([]paxos.Record, *wire.ReadResponse) {
		return nil, o.state.Read(&wire.ReadRequest{Formation: c.state.Formation, Core: c.state.Self})
	}, func(resp *wire.ReadResponse) {
		if resp.Life <= c.state.Incarnation() || c.state.Incarnation() == 0 {
			return
		}
		c.up = false
		c.life++
		if c != c.sim.cores[c.index] {
			return
		}
		for _, other := range c.others() {
			c.sim.outcome.Lost = c.sim.outcome.Lost || other.durable().Incarnation() == 0
		}
		c.base, c.log, c.synced = paxos.Blank(c.state.Self), nil, 0
		c.sim.after(c.sim.between(1, 600), func() { c.sim.boot(c) })
	})
}

func (c *core) fetch(from *core) {
	req := &wire.FetchRequest{Formation: c.state.Formation, After: c.state.Learned()}
	rpc(c, from, func(o *core) ([]paxos.Record, *wire.FetchResponse) {
		resp, apiErr := o.state.Fetch(req)
		if apiErr != nil {
			return nil, nil
		}
		return nil, resp
	}, func(resp *wire.FetchResponse) {
		if resp != nil {
			c.commit(c.state.HandleFetch(resp))
		}
	})
}

func (c *core) propose() {
	s := c.sim
	slot := c.state.Learned() + 1
	c.proposals++
	c.proposing = c.proposals
	run := c.proposing
	own := fmt.Appendf(nil, "%s/%d/%d", c.state.Self, c.life, run)
	p, prepare := paxos.NewProposer(c.state, slot, max(c.state.NextBallotNumber(slot), c.seen+1), own)
	life := c.life
	end := func() {
		c.seen = p.HighestBallot.Number
		if c.proposing == run {
			s.after(s.between(1, 120), func() {
				if c.proposing == run && c.life == life {
					c.proposing = 0
				}
			})
		}
	}
	s.after(s.faults.Patience+c.slow, func() {
		if c.life == life && c.proposing == run {
			end()
		}
	})
	var step paxos.Step
	var proceed func()
	takeAccepted := once(func(_ string, answer *wire.AcceptResponse) {
		if c.proposing != run {
			return
		}
		p, step = p.HandleAccept(answer)
		proceed()
	})
	proceed = func() {
		switch {
		case step.Accept != nil:
			accept := step.Accept
			for _, to := range c.voters() {
				rpc(c, to, func(o *core) ([]paxos.Record, *wire.AcceptResponse) { return o.state.Accept(accept) }, takeAccepted(to.state.Self))
			}
		case step.Action == paxos.ValueChosen:
			s.decide(c.state.Self, slot, step.Value)
			c.seen = 0
			c.proposing = 0
			learn := &wire.LearnRequest{Formation: p.Formation, Chosen: []*wire.Chosen{{Epoch: slot, Command: step.Value}}}
			for _, to := range c.voters() {
				rpc(c, to, func(o *core) ([]paxos.Record, *wire.LearnResponse) {
					records, resp, _ := o.state.Learn(learn)
					return records, resp
				}, func(*wire.LearnResponse) {})
			}
		case step.LearnedBy != "":
			for _, o := range c.voters() {
				if o.state.Self == step.LearnedBy {
					c.fetch(o)
				}
			}
			end()
		case step.Action == paxos.BallotLost:
			end()
		}
	}
	takePrepared := once(func(_ string, answer *wire.PrepareResponse) {
		if c.proposing != run {
			return
		}
		p, step = p.HandlePrepare(answer)
		proceed()
	})
	for _, to := range c.voters() {
		rpc(c, to, func(o *core) ([]paxos.Record, *wire.PrepareResponse) { return o.state.Prepare(prepare) }, takePrepared(to.state.Self))
	}
}
