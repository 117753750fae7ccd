package paxos

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// probeAll probes all other cores. It proceeds once all have
// answered, or after a grace period.
func (c *core) probeAll(action func(map[string]*wire.RecoverResponse)) {
	answers := map[string]*wire.RecoverResponse{}
	incarnation := c.processIncarnation
	over := false
	proceed := func() {
		if !over && c.processIncarnation == incarnation {
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

// joinProbed joins the formation that one of the other cores reports, if any does.
func (c *core) joinProbed(probes map[string]*wire.RecoverResponse) bool {
	for _, name := range c.sim.names {
		if probes[name] == nil {
			continue
		}
		if record, ok := c.state.JoinProbedFormation(probes[name]); ok {
			c.commit([]paxos.Record{record})
			return true
		}
	}
	return false
}

// joinOrFoundFormation joins a formation with a blank disk, or founds one.
func (c *core) joinOrFoundFormation() {
	c.probeAll(func(answers map[string]*wire.RecoverResponse) {
		if c.joinProbed(answers) {
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

// inviteOthers invites the other cores into a formation that was founded here.
func (c *core) inviteOthers(joined paxos.FormationJoined) {
	for _, other := range c.others() {
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.FoundResponse) {
			return o.state.Found(&wire.FoundRequest{Formation: joined.Formation, Voters: joined.Voters, Founder: c.state.Self})
		}, func(*wire.FoundResponse) {})
	}
}

// recoverState recovers the state of a wiped disk from the other cores.
func (c *core) recoverState() {
	if c.recovering {
		return
	}
	c.recovering = true
	incarnation := c.processIncarnation
	c.sim.after(recoveryTimeout+c.slow, func() {
		if c.processIncarnation == incarnation {
			c.recovering = false
		}
	})
	c.probeAll(func(probes map[string]*wire.RecoverResponse) {
		if c.joinProbed(probes) {
			return
		}
		next, missing := c.state.NextIncarnation(probes, c.salt())
		if missing != "" || c.state.Incarnation() != 0 {
			return
		}
		if next != c.state.AnnouncedIncarnation {
			c.commit([]paxos.Record{paxos.IncarnationRecorded{Core: c.state.Self, Incarnation: next}})
		}
		c.whenSynced(func() { c.announceIncarnation(next, probes) })
	})
}

// announceIncarnation has the voters that the answers to a probe select record this
// core's disk incarnation and return their state.
func (c *core) announceIncarnation(incarnation uint64, probes map[string]*wire.RecoverResponse) {
	sources, _ := c.state.RecoverySources(incarnation, probes)
	formation := c.state.Formation
	quorum := c.state.RecoveryQuorum()
	c.recoveryAttempt++
	attempt := c.recoveryAttempt
	answers := map[string]*wire.RecoverResponse{}
	take := firstAnswer(func(name string, answer *wire.RecoverResponse) {
		answers[name] = answer
		if len(answers) < quorum || c.recoveryAttempt != attempt || c.state.Incarnation() != 0 || c.state.Formation != formation {
			return
		}
		if record, missing := c.state.CompleteRecovery(incarnation, answers); missing == "" {
			c.commit([]paxos.Record{record})
		}
	})
	for _, other := range c.others() {
		if !slices.Contains(sources, other.state.Self) {
			continue
		}
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			records, answer := o.state.Recover(&wire.RecoverRequest{Formation: formation, Core: c.state.Self, Life: incarnation})
			if c.sim.faults.Flaw == IncarnationForgotten {
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

// salt returns the random part of the disk incarnations that a process announces; with
// the flaw SharedIncarnation it is the same for all.
func (c *core) salt() uint64 {
	if c.sim.faults.Flaw == SharedIncarnation || !c.sim.faults.Replaced {
		return 0
	}
	return uint64(c.sim.random.Int64N(1 << 32))
}

// checkReplaced reads from another core the disk incarnation that it knows of this name. A
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
		c.processIncarnation++
		if c != c.sim.cores[c.index] {
			return
		}
		for _, other := range c.others() {
			c.sim.outcome.Lost = c.sim.outcome.Lost || other.durable().Incarnation() == 0
		}
		c.loseDisk()
		c.sim.after(c.sim.between(1, 600), func() { c.sim.boot(c) })
	})
}

func (c *core) fetch(from *core) {
	req := &wire.FetchRequest{Formation: c.state.Formation, After: c.state.HighestLearnedSlot()}
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
