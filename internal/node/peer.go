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

// peer implements wireconnect.PeerHandler, the server side of the peer protocol, by
// calls of the process's services. replica and controller are nil if the process is not
// a core.
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
	errNoFleetTime = apierror.Errorf(apierror.NoAuthority, "this process has not determined fleet time yet")
)

// serve serves a call with the method of a service.
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

// serveByCore serves a call with the method of a service that only cores have. It
// returns errNotCore if coreService is nil.
func serveByCore[CoreService, Request, Response any](
	ctx context.Context,
	coreService *CoreService,
	req *connect.Request[Request],
	method func(*CoreService, context.Context, *Request) (*Response, error),
) (*connect.Response[Response], error) {
	if coreService == nil {
		return nil, errNotCore
	}
	resp, err := method(coreService, ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// Hello implements wireconnect.PeerHandler.
func (p *peer) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	return serve(ctx, req, p.directory.Hello)
}

// Ping implements wireconnect.PeerHandler.
func (p *peer) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return serve(ctx, req, p.follower.Ping)
}

// Add implements wireconnect.PeerHandler.
func (p *peer) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if !p.follower.FleetTimeReady() {
		return nil, errNoFleetTime
	}
	return serve(ctx, req, p.quota.Add)
}

// Inspect implements wireconnect.PeerHandler.
func (p *peer) Inspect(ctx context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	return serve(ctx, req, p.inspector.inspectLocal)
}

// Fetch implements wireconnect.PeerHandler. Every process serves it, so that the highest
// version that any of them holds can be found.
func (p *peer) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	if p.replica != nil && p.replica.Standing() == wire.Standing_STANDING_VOTING {
		return serve(ctx, req, p.replica.Fetch)
	}
	return serve(ctx, req, p.follower.Fetch)
}

// Found implements wireconnect.PeerHandler.
func (p *peer) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Found)
}

// Prepare implements wireconnect.PeerHandler.
func (p *peer) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Prepare)
}

// Accept implements wireconnect.PeerHandler.
func (p *peer) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Accept)
}

// Learn implements wireconnect.PeerHandler.
func (p *peer) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Learn)
}

// Recover implements wireconnect.PeerHandler.
func (p *peer) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Recover)
}

// Read implements wireconnect.PeerHandler.
func (p *peer) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return serveByCore(ctx, p.replica, req, (*replica.Replica).Read)
}

// Renew implements wireconnect.PeerHandler.
func (p *peer) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Renew)
}

// RenewBatch implements wireconnect.PeerHandler.
func (p *peer) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).RenewBatch)
}

// Release implements wireconnect.PeerHandler.
func (p *peer) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Release)
}

// LeaseView implements wireconnect.PeerHandler.
func (p *peer) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).LeaseView)
}

// Follow implements wireconnect.PeerHandler.
func (p *peer) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Follow)
}

// Submit implements wireconnect.PeerHandler.
func (p *peer) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Submit)
}

// Order implements wireconnect.PeerHandler.
func (p *peer) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return serveByCore(ctx, p.controller, req, (*control.Controller).Order)
}
