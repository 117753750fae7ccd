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

// peer serves the peer protocol with the process's parts. Those of a core are nil
// on a plain front.
type peer struct {
	directory  *internalrpc.Directory
	follower   *follower.Follower
	quota      *quotasync.Service
	inspector  *inspector
	replica    *replica.Replica
	controller *control.Controller
}

var (
	errNotCore     = apierror.Errorf(apierror.NotCore, "this process is not a core")
	errNoFleetTime = apierror.Errorf(apierror.NotRuling, "this process does not know the fleet's time yet")
)

// serve passes a call of the protocol to a part's method.
func serve[Request, Response any](
	ctx context.Context,
	req *connect.Request[Request],
	method func(context.Context, *Request) (*Response, error),
) (*connect.Response[Response], error) {
	resp, err := method(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// serveByCore passes a call of the protocol to a method of a core's part, and
// returns errNotCore where the process doesn't have that part.
func serveByCore[Part, Request, Response any](
	ctx context.Context,
	part *Part,
	req *connect.Request[Request],
	method func(*Part, context.Context, *Request) (*Response, error),
) (*connect.Response[Response], error) {
	if part == nil {
		return nil, errNotCore
	}
	resp, err := method(part, ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Hello serves the call of the peer protocol.
func (p *peer) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	return serve(ctx, req, p.directory.Hello)
}

// Ping serves the call of the peer protocol.
func (p *peer) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return serve(ctx, req, p.follower.Ping)
}

// Add serves the call of the peer protocol.
func (p *peer) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if !p.follower.FleetTimeReady() {
		return nil, errNoFleetTime
	}
	return serve(ctx, req, p.quota.Add)
}

// Inspect serves the call of the peer protocol.
func (p *peer) Inspect(ctx context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	return serve(ctx, req, p.inspector.inspectLocal)
}

// Fetch is served by every process, so that the highest version that any still has
// can be found.
func (p *peer) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if p.replica != nil && p.replica.Standing() == wire.Standing_STANDING_VOTING {
		return serve(ctx, req, p.replica.Fetch)
	}
	return serve(ctx, req, p.follower.Fetch)
}

// Found serves the call of the peer protocol.
func (p *peer) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Found)
}

// Prepare serves the call of the peer protocol.
func (p *peer) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Prepare)
}

// Accept serves the call of the peer protocol.
func (p *peer) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Accept)
}

// Learn serves the call of the peer protocol.
func (p *peer) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Learn)
}

// Recover serves the call of the peer protocol.
func (p *peer) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Recover)
}

// Read serves the call of the peer protocol.
func (p *peer) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Read)
}

// Renew serves the call of the peer protocol.
func (p *peer) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Renew)
}

// RenewBatch serves the call of the peer protocol.
func (p *peer) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).RenewBatch)
}

// Release serves the call of the peer protocol.
func (p *peer) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Release)
}

// LeaseView serves the call of the peer protocol.
func (p *peer) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).LeaseView)
}

// Follow serves the call of the peer protocol.
func (p *peer) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Follow)
}

// Submit serves the call of the peer protocol.
func (p *peer) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Submit)
}

// Order serves the call of the peer protocol.
func (p *peer) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Order)
}
