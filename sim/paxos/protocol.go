package paxos

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// probeAll probes all other cores and calls action with their answers: once all have
// answered or, in a formation of five, at the latest after probeGraceMS.
func (c *core) probeAll(action func(map[string]*wire.RecoverResponse)) {
	answers := map[string]*wire.RecoverResponse{}
	incarnation := c.processIncarnation
	done := false
	proceed := func() {
		if !done && c.processIncarnation == incarnation {
			done = true
			action(answers)
		}
	}
	onAnswer := firstAnswerOnly(func(name string, answer *wire.RecoverResponse) {
		if !done {
			answers[name] = answer
		}
		if len(answers) == len(c.sim.cores)-1 {
			proceed()
		}
	})
	if len(c.sim.cores) > len(modelCoreNames) {
		c.sim.scheduleAfter(probeGraceMS, proceed)
	}
	for _, other := range c.otherCores() {
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			return o.state.Recover(&wire.RecoverRequest{Core: c.state.Self, Probe: true})
		}, onAnswer(other.state.Self))
	}
}

// joinProbedFormation joins the first formation reported by another core that this
// core may join. It reports whether there was one.
func (c *core) joinProbedFormation(probes map[string]*wire.RecoverResponse) bool {
	for _, name := range c.sim.coreNames {
		if probes[name] == nil {
			continue
		}
		if record, ok := c.state.JoinProbedFormation(probes[name]); ok {
			c.appendRecords([]paxos.Record{record})
			return true
		}
	}
	return false
}

// joinOrFoundFormation lets a blank core join a formation or found one.
func (c *core) joinOrFoundFormation() {
	c.probeAll(func(answers map[string]*wire.RecoverResponse) {
		if c.joinProbedFormation(answers) {
			return
		}
		record, ok := c.state.FoundFormation(fmt.Sprintf("%s-%d", c.state.Self, c.sim.nowMS), len(c.sim.cores), answers, 0, nil)
		if !ok {
			return
		}
		c.appendRecords([]paxos.Record{record})
		joined := record.(paxos.FormationJoined)
		c.whenSynced(func() { c.inviteOthers(joined) })
	})
}

// inviteOthers invites the other cores to the formation that this core founded.
func (c *core) inviteOthers(joined paxos.FormationJoined) {
	for _, other := range c.otherCores() {
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.FoundResponse) {
			return o.state.Found(&wire.FoundRequest{Formation: joined.Formation, Voters: joined.Voters, Founder: c.state.Self})
		}, func(*wire.FoundResponse) {})
	}
}

// recoverState recovers the state of a core with a blank disk from the other cores.
func (c *core) recoverState() {
	if c.recovering {
		return
	}
	c.recovering = true
	incarnation := c.processIncarnation
	c.sim.scheduleAfter(recoveryTimeoutMS+c.extraSyncMS, func() {
		if c.processIncarnation == incarnation {
			c.recovering = false
		}
	})
	c.probeAll(func(probes map[string]*wire.RecoverResponse) {
		if c.joinProbedFormation(probes) {
			return
		}
		next, missing := c.state.NextIncarnation(probes, c.incarnationSalt())
		if missing != "" || c.state.Incarnation() != 0 {
			return
		}
		if next != c.state.AnnouncedIncarnation {
			c.appendRecords([]paxos.Record{paxos.IncarnationRecorded{Core: c.state.Self, Incarnation: next}})
		}
		c.whenSynced(func() { c.announceIncarnation(next, probes) })
	})
}

// announceIncarnation requests the recovery sources, which the answers to the probe
// determine, to record this core's disk incarnation and to return their state.
func (c *core) announceIncarnation(incarnation uint64, probes map[string]*wire.RecoverResponse) {
	sources, _ := c.state.RecoverySources(incarnation, probes)
	formation := c.state.Formation
	quorum := c.state.RecoveryQuorum()
	c.recoveryAttempt++
	attempt := c.recoveryAttempt
	answers := map[string]*wire.RecoverResponse{}
	onAnswer := firstAnswerOnly(func(name string, answer *wire.RecoverResponse) {
		answers[name] = answer
		if len(answers) < quorum || c.recoveryAttempt != attempt || c.state.Incarnation() != 0 || c.state.Formation != formation {
			return
		}
		if record, missing := c.state.CompleteRecovery(incarnation, answers); missing == "" {
			c.appendRecords([]paxos.Record{record})
		}
	})
	for _, other := range c.otherCores() {
		if !slices.Contains(sources, other.state.Self) {
			continue
		}
		rpc(c, other, func(o *core) ([]paxos.Record, *wire.RecoverResponse) {
			records, answer := o.state.Recover(&wire.RecoverRequest{Formation: formation, Core: c.state.Self, Life: incarnation})
			if c.sim.faults.Flaw == IncarnationForgotten {
				records = nil
			}
			return records, answer
		}, onAnswer(other.state.Self))
	}
}

// catchUp fetches missing chosen values from a random other core.
func (c *core) catchUp() {
	other := c.otherCores()[c.sim.random.IntN(len(c.sim.cores)-1)]
	c.fetchMissing(other)
	if c.sim.faults.ReplaceProcesses {
		c.checkReplaced(other)
	}
}

// incarnationSalt returns the random part of a disk incarnation. It is zero for all
// processes if none is replaced, or with the flaw SharedIncarnation.
func (c *core) incarnationSalt() uint64 {
	if c.sim.faults.Flaw == SharedIncarnation || !c.sim.faults.ReplaceProcesses {
		return 0
	}
	return uint64(c.sim.random.Int64N(1 << 32))
}

// checkReplaced reads from another core the disk incarnation recorded for this core's
// name. If it is newer, another process has replaced this one, which then abandons its
// disk: a detached process ends, any other restarts with a blank disk.
func (c *core) checkReplaced(other *core) {
	rpc(c, other, func(o *core) ([]paxos.Record, *wire.ReadResponse) {
		return nil, o.state.Read(&wire.ReadRequest{Formation: c.state.Formation, Core: c.state.Self})
	}, func(resp *wire.ReadResponse) {
		if resp.Life <= c.state.Incarnation() || c.state.Incarnation() == 0 {
			return
		}
		c.running = false
		c.processIncarnation++
		if c != c.sim.cores[c.index] {
			return
		}
		for _, other := range c.otherCores() {
			c.sim.outcome.QuorumMayBeLost = c.sim.outcome.QuorumMayBeLost || other.durableState().Incarnation() == 0
		}
		c.loseDisk()
		c.sim.scheduleAfter(c.sim.randomBetween(1, 600), func() { c.sim.start(c) })
	})
}

// fetchMissing fetches the chosen values that this core lacks from another core.
func (c *core) fetchMissing(from *core) {
	req := &wire.FetchRequest{Formation: c.state.Formation, After: c.state.HighestLearnedSlot()}
	rpc(c, from, func(o *core) ([]paxos.Record, *wire.FetchResponse) {
		resp, apiErr := o.state.Fetch(req)
		if apiErr != nil {
			return nil, nil
		}
		return nil, resp
	}, func(resp *wire.FetchResponse) {
		if resp != nil {
			c.appendRecords(c.state.HandleFetch(resp))
		}
	})
}
