package internalrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"stepwick/internal/wire"
)

// One client of the protocol serves all processes, as one takes some 30 KB and a
// large fleet has hundreds: the address of a call travels in its context.

// sharedHost stands in the one client's URL where a call's address goes.
const sharedHost = "http://peer"

type addressKey struct{}

// addressing sends each request to the address in its context.
type addressing struct{ client *http.Client }

// Do sends a request.
func (a addressing) Do(r *http.Request) (*http.Response, error) {
	address, _ := r.Context().Value(addressKey{}).(string)
	r.URL.Host, r.Host = address, address
	return a.client.Do(r)
}

// addressed is the pool's client for one address.
type addressed struct {
	shared  PeerClient
	address string
}

func (a addressed) to(ctx context.Context) context.Context {
	return context.WithValue(ctx, addressKey{}, a.address)
}

func (a addressed) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	return a.shared.Hello(a.to(ctx), req)
}

func (a addressed) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return a.shared.Ping(a.to(ctx), req)
}

func (a addressed) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return a.shared.Found(a.to(ctx), req)
}

func (a addressed) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return a.shared.Prepare(a.to(ctx), req)
}

func (a addressed) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return a.shared.Accept(a.to(ctx), req)
}

func (a addressed) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return a.shared.Learn(a.to(ctx), req)
}

func (a addressed) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return a.shared.Recover(a.to(ctx), req)
}

func (a addressed) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return a.shared.Read(a.to(ctx), req)
}

func (a addressed) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return a.shared.Fetch(a.to(ctx), req)
}

func (a addressed) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	return a.shared.Renew(a.to(ctx), req)
}

func (a addressed) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	return a.shared.RenewBatch(a.to(ctx), req)
}

func (a addressed) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return a.shared.Release(a.to(ctx), req)
}

func (a addressed) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	return a.shared.LeaseView(a.to(ctx), req)
}

func (a addressed) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return a.shared.Follow(a.to(ctx), req)
}

func (a addressed) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return a.shared.Submit(a.to(ctx), req)
}

func (a addressed) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return a.shared.Order(a.to(ctx), req)
}

func (a addressed) Inspect(ctx context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	return a.shared.Inspect(a.to(ctx), req)
}

func (a addressed) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	return a.shared.Add(a.to(ctx), req)
}
