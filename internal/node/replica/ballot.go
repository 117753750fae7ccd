package replica

import (
	"context"
	"time"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// ballotResult is how a ballot ended; its step awaits answers when the context
// ended first.
type ballotResult struct {
	proposer paxos.Proposer
	step     paxos.Step
	answered int // voters that answered in the last phase
}

// ballotAnswer is a voter's answer to a phase of a ballot. Both responses are
// nil when the call failed.
type ballotAnswer struct {
	core     string
	phase    paxos.Phase
	prepared *wire.PrepareResponse
	accepted *wire.AcceptResponse
}

// runBallot runs one ballot. Voters are called at once, and none is waited for
// beyond a quorum; late answers still reach the proposer while it runs.
func (r *Replica) runBallot(ctx context.Context, state paxos.State, slot, number uint64, value []byte, timeout time.Duration) ballotResult {
	proposer, request := paxos.NewProposer(state, slot, number, value)
	answers := make(chan ballotAnswer, 2*len(proposer.Voters))
	r.sendPrepare(ctx, proposer.Voters, request, timeout, answers)
	answered := map[string]bool{}
	for {
		var answer ballotAnswer
		select {
		case answer = <-answers:
		case <-ctx.Done():
			return ballotResult{proposer: proposer, answered: len(answered)}
		}
		if answer.prepared != nil || answer.accepted != nil {
			answered[answer.core] = true
		}
		var step paxos.Step
		proposer, step = handleAnswer(proposer, answer)
		if step.Action == paxos.SendAccept {
			answered = map[string]bool{}
			r.sendAccept(ctx, proposer.Voters, step.Accept, timeout, answers)
		}
		if proposer.Phase == paxos.Ended {
			return ballotResult{proposer: proposer, step: step, answered: len(answered)}
		}
	}
}

func handleAnswer(proposer paxos.Proposer, answer ballotAnswer) (paxos.Proposer, paxos.Step) {
	switch {
	case answer.prepared != nil:
		return proposer.HandlePrepare(answer.prepared)
	case answer.accepted != nil:
		return proposer.HandleAccept(answer.accepted)
	case answer.phase == proposer.Phase:
		return proposer.HandleFailure(answer.core)
	}
	return proposer, paxos.Step{}
}

func (r *Replica) sendPrepare(ctx context.Context, voters []string, req *wire.PrepareRequest, timeout time.Duration, answers chan<- ballotAnswer) {
	callEach(ctx, voters, timeout, func(ctx context.Context, core string) {
		resp, _ := callVoter(ctx, r, core, req, r.Prepare, wireconnect.PeerClient.Prepare)
		answers <- ballotAnswer{core: core, phase: paxos.Preparing, prepared: resp}
	})
}

func (r *Replica) sendAccept(ctx context.Context, voters []string, req *wire.AcceptRequest, timeout time.Duration, answers chan<- ballotAnswer) {
	callEach(ctx, voters, timeout, func(ctx context.Context, core string) {
		resp, _ := callVoter(ctx, r, core, req, r.Accept, wireconnect.PeerClient.Accept)
		answers <- ballotAnswer{core: core, phase: paxos.Accepting, accepted: resp}
	})
}

// learnChosen takes in a chosen value and sends it to the other voters. The
// sends last as long as serving does, which may be longer than the proposal.
func (r *Replica) learnChosen(ctx, serving context.Context, slot uint64, value []byte) error {
	chosen := []*wire.Chosen{{Epoch: slot, Command: value}}
	state, err := callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		records, _, _ := o.state.Learn(&wire.LearnRequest{Formation: o.state.Formation, Chosen: chosen})
		err := o.commit(records, forLearning)
		reply(o.state, err)
	})
	if state.Formation != "" {
		r.sendLearn(serving, state, &wire.LearnRequest{Formation: state.Formation, From: r.cfg.Self, Chosen: chosen})
	}
	return err
}

func (r *Replica) sendLearn(serving context.Context, state paxos.State, req *wire.LearnRequest) {
	callEach(serving, state.OtherVoters(), r.cfg.RecoveryTimeout, func(ctx context.Context, core string) {
		_, _ = callVoter(ctx, r, core, req, r.Learn, wireconnect.PeerClient.Learn)
	})
}
