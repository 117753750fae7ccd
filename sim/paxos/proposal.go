package paxos

import (
	"fmt"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// proposal is one ballot of a core, from its prepare requests to its end.
type proposal struct {
	core               *core
	processIncarnation int
	number             int // sequence number among the core's proposals
	slot               uint64
	proposer           paxos.Proposer
	onPrepareAnswer    func(core string) func(*wire.PrepareResponse)
	onAcceptAnswer     func(core string) func(*wire.AcceptResponse)
}

// propose opens a ballot in the next slot.
func (c *core) propose() {
	c.proposalCount++
	c.currentProposal = c.proposalCount
	slot := c.state.HighestLearnedSlot() + 1
	command := fmt.Appendf(nil, "%s/%d/%d", c.state.Self, c.processIncarnation, c.currentProposal)
	proposer, prepare := paxos.NewProposer(c.state, slot, max(c.state.NextBallotNumber(slot), c.highestBallotNumber+1), command)
	p := &proposal{core: c, processIncarnation: c.processIncarnation, number: c.currentProposal, slot: slot, proposer: proposer}
	p.onPrepareAnswer = firstAnswerOnly(p.handlePrepareAnswer)
	p.onAcceptAnswer = firstAnswerOnly(p.handleAcceptAnswer)
	c.sim.scheduleAfter(c.sim.faults.ProposalTimeoutMS+c.extraSyncMS, p.onTimeout)
	for _, to := range c.voters() {
		rpc(c, to, func(acceptor *core) ([]paxos.Record, *wire.PrepareResponse) {
			return acceptor.state.Prepare(prepare)
		}, p.onPrepareAnswer(to.state.Self))
	}
}

// isCurrent reports whether the core still runs this proposal.
func (p *proposal) isCurrent() bool {
	return p.core.processIncarnation == p.processIncarnation && p.core.currentProposal == p.number
}

func (p *proposal) onTimeout() {
	if p.isCurrent() {
		p.end()
	}
}

// end ends an unsuccessful proposal. The core may propose again after a random pause.
func (p *proposal) end() {
	p.core.highestBallotNumber = p.proposer.HighestBallot.Number
	if p.core.currentProposal != p.number {
		return
	}
	p.core.sim.scheduleAfter(p.core.sim.randomBetween(1, 120), func() {
		if p.isCurrent() {
			p.core.currentProposal = 0
		}
	})
}

func (p *proposal) handlePrepareAnswer(_ string, answer *wire.PrepareResponse) {
	if p.core.currentProposal != p.number {
		return
	}
	var step paxos.Step
	p.proposer, step = p.proposer.HandlePrepare(answer)
	p.runStep(step)
}

func (p *proposal) handleAcceptAnswer(_ string, answer *wire.AcceptResponse) {
	if p.core.currentProposal != p.number {
		return
	}
	var step paxos.Step
	p.proposer, step = p.proposer.HandleAccept(answer)
	p.runStep(step)
}

// runStep executes the action that the proposer requests.
func (p *proposal) runStep(step paxos.Step) {
	switch step.Action {
	case paxos.AwaitAnswers:
	case paxos.SendAccept:
		p.sendAccept(step.Accept)
	case paxos.ValueChosen:
		p.announceChosen(step.Value)
	case paxos.FetchChosen:
		p.fetchFrom(step.LearnedBy)
		p.end()
	case paxos.BallotLost:
		p.end()
	}
}

func (p *proposal) sendAccept(accept *wire.AcceptRequest) {
	for _, to := range p.core.voters() {
		rpc(p.core, to, func(acceptor *core) ([]paxos.Record, *wire.AcceptResponse) {
			return acceptor.state.Accept(accept)
		}, p.onAcceptAnswer(to.state.Self))
	}
}

// announceChosen sends the chosen value to all voters.
func (p *proposal) announceChosen(value []byte) {
	c := p.core
	c.sim.checkChosen(c.state.Self, p.slot, value)
	c.highestBallotNumber = 0
	c.currentProposal = 0
	learn := &wire.LearnRequest{Formation: p.proposer.Formation, Chosen: []*wire.Chosen{{Epoch: p.slot, Command: value}}}
	for _, to := range c.voters() {
		rpc(c, to, func(learner *core) ([]paxos.Record, *wire.LearnResponse) {
			records, resp, _ := learner.state.Learn(learn)
			return records, resp
		}, func(*wire.LearnResponse) {})
	}
}

// fetchFrom fetches missing chosen values from the named core.
func (p *proposal) fetchFrom(ahead string) {
	for _, other := range p.core.voters() {
		if other.state.Self == ahead {
			p.core.fetchMissing(other)
		}
	}
}
