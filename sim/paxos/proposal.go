package paxos

import (
	"fmt"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// proposal is one ballot that a core opens, from its prepare requests to its end.
type proposal struct {
	core               *core
	processIncarnation int
	number             int // of the core's proposals
	slot               uint64
	proposer           paxos.Proposer
	onPrepared         func(core string) func(*wire.PrepareResponse)
	onAccepted         func(core string) func(*wire.AcceptResponse)
}

// propose opens a ballot for the next slot.
func (c *core) propose() {
	c.proposals++
	c.proposing = c.proposals
	slot := c.state.HighestLearnedSlot() + 1
	command := fmt.Appendf(nil, "%s/%d/%d", c.state.Self, c.processIncarnation, c.proposing)
	proposer, prepare := paxos.NewProposer(c.state, slot, max(c.state.NextBallotNumber(slot), c.highestNumber+1), command)
	p := &proposal{core: c, processIncarnation: c.processIncarnation, number: c.proposing, slot: slot, proposer: proposer}
	p.onPrepared = firstAnswer(p.prepared)
	p.onAccepted = firstAnswer(p.accepted)
	c.sim.after(c.sim.faults.ProposalTimeout+c.slow, p.timeOut)
	for _, to := range c.voters() {
		rpc(c, to, func(acceptor *core) ([]paxos.Record, *wire.PrepareResponse) {
			return acceptor.state.Prepare(prepare)
		}, p.onPrepared(to.state.Self))
	}
}

// current reports whether the core still runs this proposal.
func (p *proposal) current() bool {
	return p.core.processIncarnation == p.processIncarnation && p.core.proposing == p.number
}

func (p *proposal) timeOut() {
	if p.current() {
		p.end()
	}
}

// end lets the core propose again after a pause.
func (p *proposal) end() {
	p.core.highestNumber = p.proposer.HighestBallot.Number
	if p.core.proposing != p.number {
		return
	}
	p.core.sim.after(p.core.sim.between(1, 120), func() {
		if p.current() {
			p.core.proposing = 0
		}
	})
}

func (p *proposal) prepared(_ string, answer *wire.PrepareResponse) {
	if p.core.proposing != p.number {
		return
	}
	var step paxos.Step
	p.proposer, step = p.proposer.HandlePrepare(answer)
	p.proceed(step)
}

func (p *proposal) accepted(_ string, answer *wire.AcceptResponse) {
	if p.core.proposing != p.number {
		return
	}
	var step paxos.Step
	p.proposer, step = p.proposer.HandleAccept(answer)
	p.proceed(step)
}

// proceed takes the proposer's next step.
func (p *proposal) proceed(step paxos.Step) {
	switch step.Action {
	case paxos.AwaitAnswers:
	case paxos.SendAccept:
		p.sendAccept(step.Accept)
	case paxos.ValueChosen:
		p.commit(step.Value)
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
		}, p.onAccepted(to.state.Self))
	}
}

// commit reports the chosen value to all voters.
func (p *proposal) commit(value []byte) {
	c := p.core
	c.sim.checkChosen(c.state.Self, p.slot, value)
	c.highestNumber = 0
	c.proposing = 0
	learn := &wire.LearnRequest{Formation: p.proposer.Formation, Chosen: []*wire.Chosen{{Epoch: p.slot, Command: value}}}
	for _, to := range c.voters() {
		rpc(c, to, func(learner *core) ([]paxos.Record, *wire.LearnResponse) {
			records, resp, _ := learner.state.Learn(learn)
			return records, resp
		}, func(*wire.LearnResponse) {})
	}
}

// fetchFrom fetches what is missing here from the core that is ahead.
func (p *proposal) fetchFrom(ahead string) {
	for _, other := range p.core.voters() {
		if other.state.Self == ahead {
			p.core.fetch(other)
		}
	}
}
