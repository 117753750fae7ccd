package paxos

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// probeAll asks all other cores for their state. It proceeds once all have
// answered, or after a grace period.
func (c *core) probeAll(action func(map[string]*wire.RecoverResponse)) {
	answers, incarnation, over := map[string]*wire.RecoverResponse{}, c.incarnation, false
	proceed := func() {
		if !over && c.incarnation == incarnation {
			over = true
			action(answers)
		}
	}
	take := firstAnswer(func(name string, answer *wire.RecoverResponse) {
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

// rejoin joins the formation that one of the other cores reports, if any does.
func (c *core) rejoin(probes map[string]*wire.RecoverResponse) bool {
	for _, name := range c.sim.names {
		if probes[name] == nil {
			continue
		}
		if record, ok := c.state.JoinProbed(probes[name]); ok {
			c.commit([]paxos.Record{record})
			return true
		}
	}
	return false
}

// joinOrEstablish joins a formation with a blank disk, or establishes one.
func (c *core) joinOrEstablish() {
	c.probeAll(func(answers map[string]*wire.RecoverResponse) {
		if c.rejoin(answers) {
			return
		}
		record, ok := c.state.FoundFormation(fmt.Sprintf("%s-%d", c.state.Self, c.sim.now), len(c.sim.cores), answers, 0, nil)
		if !ok {
			return
		}
		c.commit([]paxos.Record{record})
		joined := record.(paxos.FormationJoined)
		c.whenSynced(func() { c.inviteOthers(joined) })
	})
}

// inviteOthers asks the other cores to join an established formation.
func (c *core) inviteOthers(joined paxos.FormationJoined) {
	for _, other := range c.others() {
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.FoundResponse) {
			return o.state.Found(&wire.FoundRequest{Formation: joined.Formation, Voters: joined.Voters, Founder: c.state.Self})
		}, func(*wire.FoundResponse) {})
	}
}

// recoverDisk rebuilds the state of a wiped disk from the other cores.
func (c *core) recoverDisk() {
	if c.recovering {
		return
	}
	c.recovering = true
	incarnation := c.incarnation
	c.sim.after(entryTimeout+c.slow, func() {
		if c.incarnation == incarnation {
			c.recovering = false
		}
	})
	c.probeAll(func(probes map[string]*wire.RecoverResponse) {
		if c.rejoin(probes) {
			return
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

// announce asks the voters that the answers to a probe select to record this
// core's disk life and to return their votes.
func (c *core) announce(diskLife uint64, probes map[string]*wire.RecoverResponse) {
	sources, _ := c.state.RecoverySources(diskLife, probes)
	formation, rebuildQuorum := c.state.Formation, c.state.RecoveryQuorum()
	c.round++
	round := c.round
	answers := map[string]*wire.RecoverResponse{}
	take := firstAnswer(func(name string, answer *wire.RecoverResponse) {
		answers[name] = answer
		if len(answers) < rebuildQuorum || c.round != round || c.state.Incarnation() != 0 || c.state.Formation != formation {
			return
		}
		if record, waiting := c.state.CompleteRecovery(diskLife, answers); waiting == "" {
			c.commit([]paxos.Record{record})
		}
	})
	for _, other := range c.others() {
		if !slices.Contains(sources, other.state.Self) {
			continue
		}
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			records, answer := o.state.Recover(&wire.RecoverRequest{Formation: formation, Core: c.state.Self, Life: diskLife})
			if c.sim.faults.Flaw == LifeForgotten {
				records = nil
			}
			return records, answer
		}, take(other.state.Self))
	}
}

// catchUp fetches from another core what is missing here.
func (c *core) catchUp() {
	other := c.others()[c.sim.random.IntN(len(c.sim.cores)-1)]
	c.fetch(other)
	if c.sim.faults.Replaced {
		c.checkReplaced(other)
	}
}

// salt returns the process's own part of the disk lives that it announces; with
// the flaw SharedLife it is the same for all.
func (c *core) salt() uint64 {
	if c.sim.faults.Flaw == SharedLife || !c.sim.faults.Replaced {
		return 0
	}
	return uint64(c.sim.random.Int64N(1 << 32))
}

// checkReplaced asks another core for the disk life that it knows of this name. A
// process that has been replaced abandons its disk: a detached one ends, any other
// restarts with a blank disk.
func (c *core) checkReplaced(other *core) {
	rpc(c, other, func(o *core) ([]paxos.Record, *wire.ReadResponse) {
		return nil, o.state.Read(&wire.ReadRequest{Formation: c.state.Formation, Core: c.state.Self})
	}, func(resp *wire.ReadResponse) {
		if resp.Life <= c.state.Incarnation() || c.state.Incarnation() == 0 {
			return
		}
		c.up = false
		c.incarnation++
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
