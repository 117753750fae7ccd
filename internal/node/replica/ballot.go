package replica

import (
	"context"
	"time"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// ballotResult is the result of a ballot. If the context was done first, step is
// the zero Step.
type ballotResult struct {
	proposer paxos.Proposer
	step     paxos.Step
	answered int // number of voters that responded in the last phase
}

// ballotResponse is a voter's response in a phase of a ballot. Both prepared and
// accepted are nil if the call failed.
type ballotResponse struct {
	core     string
	phase    paxos.Phase
	prepared *wire.PrepareResponse
	accepted *wire.AcceptResponse
}

// runBallot runs one ballot. It calls all voters concurrently and proceeds as soon
// as a quorum has responded. Late responses of the first phase are still passed to
// the proposer.
func (r *Replica) runBallot(ctx context.Context, state paxos.State, slot, ballotNumber uint64, value []byte, timeout time.Duration) ballotResult {
	proposer, request := paxos.NewProposer(state, slot, ballotNumber, value)
	responses := make(chan ballotResponse, 2*len(proposer.Voters))
	r.sendPrepare(ctx, proposer.Voters, request, timeout, responses)
	answered := map[string]bool{}
	for {
		var response ballotResponse
		select {
		case response = <-responses:
		case <-ctx.Done():
			return ballotResult{proposer: proposer, answered: len(answered)}
		}
		if response.prepared != nil || response.accepted != nil {
			answered[response.core] = true
		}
		var step paxos.Step
		proposer, step = handleResponse(proposer, response)
		if step.Action == paxos.SendAccept {
			answered = map[string]bool{}
			r.sendAccept(ctx, proposer.Voters, step.Accept, timeout, responses)
		}
		if proposer.Phase == paxos.Ended {
			return ballotResult{proposer: proposer, step: step, answered: len(answered)}
		}
	}
}

func handleResponse(proposer paxos.Proposer, response ballotResponse) (paxos.Proposer, paxos.Step) {
	switch {
	case response.prepared != nil:
		return proposer.HandlePrepare(response.prepared)
	case response.accepted != nil:
		return proposer.HandleAccept(response.accepted)
	case response.phase == proposer.Phase:
		return proposer.HandleFailure(response.core)
	}
	return proposer, paxos.Step{}
}

func (r *Replica) sendPrepare(ctx context.Context, voters []string, req *wire.PrepareRequest, timeout time.Duration, responses chan<- ballotResponse) {
	startCalls(ctx, voters, timeout, func(ctx context.Context, core string) {
		resp, _ := callProcess(ctx, r, core, req, r.Prepare, wireconnect.PeerClient.Prepare)
		responses <- ballotResponse{core: core, phase: paxos.Preparing, prepared: resp}
	})
}

func (r *Replica) sendAccept(ctx context.Context, voters []string, req *wire.AcceptRequest, timeout time.Duration, responses chan<- ballotResponse) {
	startCalls(ctx, voters, timeout, func(ctx context.Context, core string) {
		resp, _ := callProcess(ctx, r, core, req, r.Accept, wireconnect.PeerClient.Accept)
		responses <- ballotResponse{core: core, phase: paxos.Accepting, accepted: resp}
	})
}

// learnAndBroadcast commits a chosen value and sends it to the other voters. The
// calls are bound to serveCtx rather than ctx, since they may outlast the proposal.
func (r *Replica) learnAndBroadcast(ctx, serveCtx context.Context, slot uint64, value []byte) error {
	chosen := []*wire.Chosen{{Epoch: slot, Command: value}}
	state, err := callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		records, _, _ := o.consensus.Learn(&wire.LearnRequest{Formation: o.consensus.Formation, Chosen: chosen})
		err := o.commit(records, purposeLearn)
		reply(o.consensus, err)
	})
	if state.Formation != "" {
		r.sendLearn(serveCtx, state, &wire.LearnRequest{Formation: state.Formation, From: r.cfg.Self, Chosen: chosen})
	}
	return err
}

func (r *Replica) sendLearn(serveCtx context.Context, state paxos.State, req *wire.LearnRequest) {
	startCalls(serveCtx, state.OtherVoters(), r.cfg.RecoveryTimeout, func(ctx context.Context, core string) {
		_, _ = callProcess(ctx, r, core, req, r.Learn, wireconnect.PeerClient.Learn)
	})
}
