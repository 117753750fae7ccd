package internalrpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"stepwick/internal/wire"
)

// sharedBaseURL is the base URL of the shared protocol client. addressDoer replaces its
// host with the address of each call.
const sharedBaseURL = "http://peer"

// addressKey is the context key of a call's address.
type addressKey struct{}

// addressDoer is an HTTP client that sends each request to the address in its context.
type addressDoer struct{ client *http.Client }

// Do implements connect.HTTPClient.
func (d addressDoer) Do(r *http.Request) (*http.Response, error) {
	address, _ := r.Context().Value(addressKey{}).(string)
	r.URL.Host = address
	r.Host = address
	return d.client.Do(r)
}

// addressClient is a client for one address. All addresses share one protocol client,
// since each takes about 30 KB and a large fleet has hundreds of processes. The address
// of a call is passed in its context.
type addressClient struct {
	shared  PeerClient
	address string
}

func (c addressClient) withAddress(ctx context.Context) context.Context {
	return context.WithValue(ctx, addressKey{}, c.address)
}

func (c addressClient) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	return c.shared.Hello(c.withAddress(ctx), req)
}

func (c addressClient) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return c.shared.Ping(c.withAddress(ctx), req)
}

func (c addressClient) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return c.shared.Found(c.withAddress(ctx), req)
}

func (c addressClient) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return c.shared.Prepare(c.withAddress(ctx), req)
}

func (c addressClient) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return c.shared.Accept(c.withAddress(ctx), req)
}

func (c addressClient) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return c.shared.Learn(c.withAddress(ctx), req)
}

func (c addressClient) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return c.shared.Recover(c.withAddress(ctx), req)
}

func (c addressClient) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return c.shared.Read(c.withAddress(ctx), req)
}

func (c addressClient) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return c.shared.Fetch(c.withAddress(ctx), req)
}

func (c addressClient) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	return c.shared.Renew(c.withAddress(ctx), req)
}

func (c addressClient) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	return c.shared.RenewBatch(c.withAddress(ctx), req)
}

func (c addressClient) Release(ctx context.Context, req *connect.Request[wire.ReleaseRequest]) (*connect.Response[wire.ReleaseResponse], error) {
	return c.shared.Release(c.withAddress(ctx), req)
}

func (c addressClient) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	return c.shared.LeaseView(c.withAddress(ctx), req)
}

func (c addressClient) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return c.shared.Follow(c.withAddress(ctx), req)
}

func (c addressClient) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return c.shared.Submit(c.withAddress(ctx), req)
}

func (c addressClient) Order(ctx context.Context, req *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	return c.shared.Order(c.withAddress(ctx), req)
}

func (c addressClient) Inspect(ctx context.Context, req *connect.Request[wire.InspectRequest]) (*connect.Response[wire.InspectResponse], error) {
	return c.shared.Inspect(c.withAddress(ctx), req)
}

func (c addressClient) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	return c.shared.Add(c.withAddress(ctx), req)
}
