package node

import (
	"context"

	"connectrpc.com/connect"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/apierror"
	"stepwick/internal/node/control"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/quotasync"
	"stepwick/internal/node/replica"
	"stepwick/internal/wire"
)

// peer answers the peer protocol with the process's parts. Those of a core are
// nil on a plain front.
type peer struct {
	directory *internalrpc.Directory
	follower  *follower.Follower
	spend     *quotasync.Service
	inspector *inspector
	replica   *replica.Replica
	core      *control.Controller
}

// answer turns a part's method into a call of the protocol.
func answer[Q, A any](ctx context.Context, req *connect.Request[Q], method func(context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	resp, err := method(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

var errNotCore = apierror.Errorf(apierror.NotCore, "this process is not a core")

func (p *peer) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	return answer(ctx, req, p.directory.Hello)
}

func (p *peer) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return answer(ctx, req, p.follower.Ping)
}

func (p *peer) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if !p.follower.Timed() {
		return nil, apierror.Errorf(apierror.NotRuling, "this process does not know the fleet's time yet")
	}
	return answer(ctx, req, p.spend.Add)
}

func (p *peer) Inspect(ctx context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	return answer(ctx, req, p.inspector.local)
}

// Fetch is answered by every process, so that the highest state that any still
// holds can be found.
func (p *peer) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if p.replica != nil && p.replica.Standing() == wire.Standing_STANDING_VOTING {
		return answer(ctx, req, p.replica.Fetch)
	}
	return answer(ctx, req, p.follower.Fetch)
}

func (p *peer) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Found)
}

func (p *peer) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Prepare)
}

func (p *peer) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Accept)
}

func (p *peer) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Learn)
}

func (p *peer) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Recover)
}

func (p *peer) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	if p.replica == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.replica.Read)
}

func (p *peer) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.Renew)
}

func (p *peer) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.RenewBatch)
}

func (p *peer) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.Release)
}

func (p *peer) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.LeaseView)
}

func (p *peer) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.Follow)
}

func (p *peer) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.Submit)
}

func (p *peer) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	if p.core == nil {
		return nil, errNotCore
	}
	return answer(ctx, req, p.core.Order)
}
