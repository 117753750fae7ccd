package control_test

import (
	"context"
	"net"
	"sort"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// memoryPeers is one process's view of the network in memory.
type memoryPeers struct {
	f    *fleet
	from string
}

func (l memoryPeers) Process(name string) (*wire.Process, bool) {
	p, ok := l.f.processes[name]
	return p, ok
}

func (l memoryPeers) Cores() []*wire.Process { return port.CoresOf(l.Processes()) }

func (l memoryPeers) Processes() []*wire.Process {
	var all []*wire.Process
	for _, p := range l.f.processes {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (l memoryPeers) Client(address string) wireconnect.PeerClient {
	return client{memoryPeers: l, to: address}
}

// client calls one process as another. Calls across a partition time out, and those
// to a stopped process are refused.
type client struct {
	wireconnect.PeerClient
	memoryPeers
	to string
}

func reach[Q, A any](ctx context.Context, c client, req *connect.Request[Q], method func(context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	partitioned := *c.f.partitioned.Load()
	if partitioned[c.from] != partitioned[c.to] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	<-time.After(time.Millisecond)
	if (*c.f.stopped.Load())[c.to] {
		return nil, connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
	}
	resp, err := method(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (c client) Ping(ctx context.Context, req *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	c.f.pingedVersions.Store(c.from+">"+c.to, req.Msg.Epoch)
	return reach(ctx, c, req, c.f.fronts[c.to].Ping)
}

func (c client) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return reach(ctx, c, req, c.f.fronts[c.to].Fetch)
}

func (c client) Renew(ctx context.Context, req *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	c.f.renewals.Add(1)
	return reach(ctx, c, req, c.f.cores[c.to].Renew)
}

func (c client) RenewBatch(ctx context.Context, req *connect.Request[wire.RenewBatchRequest]) (*connect.Response[wire.RenewBatchResponse], error) {
	c.f.batches.Add(1)
	<-time.After(time.Duration(c.f.batchLatency.Load()))
	return reach(ctx, c, req, c.f.cores[c.to].RenewBatch)
}

func (c client) LeaseView(ctx context.Context, req *connect.Request[wire.LeaseViewRequest]) (*connect.Response[wire.LeaseViewResponse], error) {
	if req.Msg.About == "" {
		c.f.viewRequests.Add(1)
	}
	return reach(ctx, c, req, c.f.cores[c.to].LeaseView)
}

func (c client) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	return reach(ctx, c, req, c.f.cores[c.to].Follow)
}

func (c client) Submit(ctx context.Context, req *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	return reach(ctx, c, req, c.f.cores[c.to].Submit)
}
