package replica

import (
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Found answers an invitation into a first formation.
func (r *Replica) Found(ctx context.Context, req *wire.FoundRequest) (*wire.FoundResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.FoundResponse, error)) {
		records, resp := o.state.Found(req)
		if len(records) > 0 {
			o.waiting = "joins the formation " + req.Formation
		}
		commitAndReply(o, records, forVote, resp, nil, reply)
	})
}

// Prepare answers the opening of a ballot.
func (r *Replica) Prepare(ctx context.Context, req *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.PrepareResponse, error)) {
		records, resp := o.state.Prepare(req)
		o.reportWrongFormation(req.From, resp.Refusal)
		if !resp.Promised {
			reply(resp, nil)
			return
		}
		commitAndReply(o, records, forVote, resp, func(code apierror.Code) *wire.PrepareResponse {
			return &wire.PrepareResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}, reply)
	})
}

// Accept answers a ballot's value.
func (r *Replica) Accept(ctx context.Context, req *wire.AcceptRequest) (*wire.AcceptResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.AcceptResponse, error)) {
		records, resp := o.state.Accept(req)
		o.reportWrongFormation(req.From, resp.Refusal)
		if !resp.Accepted {
			reply(resp, nil)
			return
		}
		commitAndReply(o, records, forVote, resp, func(code apierror.Code) *wire.AcceptResponse {
			return &wire.AcceptResponse{Core: resp.Core, Learned: resp.Learned, Lives: resp.Lives, Refusal: uint32(code)}
		}, reply)
	})
}

// Learn takes chosen versions in.
func (r *Replica) Learn(ctx context.Context, req *wire.LearnRequest) (*wire.LearnResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.LearnResponse, error)) {
		records, resp, behind := o.state.Learn(req)
		if behind {
			r.requestFetch(req.From)
		}
		before := o.state.Learned()
		commitAndReply(o, records, forLearning, resp, func(apierror.Code) *wire.LearnResponse { return &wire.LearnResponse{Learned: before} }, reply)
	})
}

// Recover answers a core that rebuilds from an empty disk.
func (r *Replica) Recover(ctx context.Context, req *wire.RecoverRequest) (*wire.RecoverResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.RecoverResponse, error)) {
		records, resp := o.state.Recover(req)
		if o.state.Incarnation() != 0 && (req.Probe || !resp.Ok) {
			reply(resp, nil)
			return
		}
		if len(records) > 0 {
			r.events.Emit(events.LifeRaised, "core", req.Core, "life", req.Life)
		}
		commitAndReply(o, records, forIncarnation, resp, func(code apierror.Code) *wire.RecoverResponse {
			return &wire.RecoverResponse{Core: resp.Core, Formation: resp.Formation, Voters: resp.Voters, Refusal: uint32(code)}
		}, reply)
	})
}

// Read tells how far the core has learned and accepted.
func (r *Replica) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.ReadResponse, error)) { reply(o.state.Read(req), nil) })
}

// Fetch gives the versions after a place, after a snapshot where those are no
// longer kept.
func (r *Replica) Fetch(ctx context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	return callOwner(ctx, r, func(o *owner, reply func(*wire.FetchResponse, error)) {
		resp, apiErr := o.state.Fetch(req)
		if apiErr != nil {
			reply(nil, apiErr)
			return
		}
		reply(resp, nil)
	})
}
