package replica

import (
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Found handles an invitation to join a first formation.
func (r *Replica) Found(ctx context.Context, req *wire.FoundRequest) (*wire.FoundResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.FoundResponse, error)) {
		records, resp := o.consensus.Found(req)
		if len(records) > 0 {
			o.waiting.reason = "joining formation " + req.Formation
		}
		commitAndReply(o, records, purposeVote, resp, nil, reply)
	})
}

// Prepare handles the phase 1a message of a ballot.
func (r *Replica) Prepare(ctx context.Context, req *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.PrepareResponse, error)) {
		records, resp := o.consensus.Prepare(req)
		rejection := func(code apierror.Code) *wire.PrepareResponse {
			return &wire.PrepareResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}
		o.reportWrongFormation(req.From, resp.Refusal)
		replyVote(o, records, resp.Promised, resp, rejection, reply)
	})
}

// Accept handles the phase 2a message of a ballot.
func (r *Replica) Accept(ctx context.Context, req *wire.AcceptRequest) (*wire.AcceptResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.AcceptResponse, error)) {
		records, resp := o.consensus.Accept(req)
		rejection := func(code apierror.Code) *wire.AcceptResponse {
			return &wire.AcceptResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}
		o.reportWrongFormation(req.From, resp.Refusal)
		replyVote(o, records, resp.Accepted, resp, rejection, reply)
	})
}

// replyVote commits a vote and replies once it is synced, or replies with a rejection
// if it can't be appended. A response that is not a vote is sent immediately.
func replyVote[T any](o *owner, records []paxos.Record, voted bool, resp T, rejection func(apierror.Code) T, reply func(T, error)) {
	if !voted {
		reply(resp, nil)
		return
	}
	commitAndReply(o, records, purposeVote, resp, rejection, reply)
}

// Learn handles chosen values that another core sends.
func (r *Replica) Learn(ctx context.Context, req *wire.LearnRequest) (*wire.LearnResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.LearnResponse, error)) {
		records, resp, behind := o.consensus.Learn(req)
		if behind {
			r.requestFetch(req.From)
		}
		learned := o.consensus.HighestLearnedSlot()
		rejection := func(apierror.Code) *wire.LearnResponse { return &wire.LearnResponse{Learned: learned} }
		commitAndReply(o, records, purposeLearn, resp, rejection, reply)
	})
}

// Recover handles a probe, or the request of a core that recovers with an empty disk.
func (r *Replica) Recover(ctx context.Context, req *wire.RecoverRequest) (*wire.RecoverResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.RecoverResponse, error)) {
		records, resp := o.consensus.Recover(req)
		if o.consensus.Incarnation() != 0 && (req.Probe || !resp.Ok) {
			reply(resp, nil)
			return
		}
		if len(records) > 0 {
			r.events.Emit(events.DiskIncarnationRaised, "core", req.Core, "life", req.Life)
		}
		rejection := func(code apierror.Code) *wire.RecoverResponse {
			return &wire.RecoverResponse{Core: resp.Core, Formation: resp.Formation, Voters: resp.Voters, Refusal: uint32(code)}
		}
		commitAndReply(o, records, purposeIncarnation, resp, rejection, reply)
	})
}

// Read returns the highest slots that the core has learned and accepted.
func (r *Replica) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.ReadResponse, error)) {
		reply(o.consensus.Read(req), nil)
	})
}

// Fetch returns the chosen values after a slot, preceded by a snapshot if some of them
// are already compacted.
func (r *Replica) Fetch(ctx context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.FetchResponse, error)) {
		resp, apiErr := o.consensus.Fetch(req)
		if apiErr != nil {
			reply(nil, apiErr)
			return
		}
		reply(resp, nil)
	})
}

func (o *owner) reportWrongFormation(from string, code uint32) {
	if apierror.Code(code) == apierror.WrongFormation {
		o.replica.events.Emit(events.WrongFormation, "core", o.replica.cfg.Self, "from", from, "formation", o.consensus.Formation)
	}
}
