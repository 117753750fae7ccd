package replica

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

type directory map[string]*wire.Process

func (d directory) Process(name string) (*wire.Process, bool) {
	process, known := d[name]
	return process, known
}

func (d directory) Cores() []*wire.Process { return port.CoresOf(d.Processes()) }

func (d directory) Processes() []*wire.Process {
	return []*wire.Process{d["a"], d["b"], d["c"]}
}
func (d directory) Client(address string) wireconnect.PeerClient {
	return wireconnect.NewPeerClient(http.DefaultClient, "http://"+address)
}

type server struct {
	wireconnect.UnimplementedPeerHandler
	*Replica
}

func serve[Req, Resp any](ctx context.Context, req *connect.Request[Req], handler func(context.Context, *Req) (*Resp, error)) (*connect.Response[Resp], error) {
	resp, err := handler(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (s server) Found(ctx context.Context, req *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return serve(ctx, req, s.Replica.Found)
}
func (s server) Prepare(ctx context.Context, req *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return serve(ctx, req, s.Replica.Prepare)
}
func (s server) Accept(ctx context.Context, req *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return serve(ctx, req, s.Replica.Accept)
}
func (s server) Learn(ctx context.Context, req *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return serve(ctx, req, s.Replica.Learn)
}
func (s server) Recover(ctx context.Context, req *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return serve(ctx, req, s.Replica.Recover)
}
func (s server) Read(ctx context.Context, req *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return serve(ctx, req, s.Replica.Read)
}
func (s server) Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return serve(ctx, req, s.Replica.Fetch)
}

func BenchmarkProposeOverLoopback(b *testing.B) {
	known := directory{}
	cores := map[string]*Replica{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, name := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		known[name] = &wire.Process{Name: name, Address: listener.Addr().String(), Core: true}
		cfg := disklog.Config{Folder: filepath.Join(b.TempDir(), name)}
		r := New(Config{Self: name}, OnDisk(cfg), known, clock.System(), events.Discard)
		cores[name] = r
		mux := http.NewServeMux()
		mux.Handle(wireconnect.NewPeerHandler(server{Replica: r}))
		go func() { _ = http.Serve(listener, mux) }()
	}
	for _, r := range cores {
		go func() {
			_ = r.Serve(ctx)
			done <- struct{}{}
		}()
	}
	for _, r := range cores {
		for changed := r.Changed(); r.Standing() != wire.Standing_STANDING_VOTING; changed = r.Changed() {
			<-changed
		}
	}
	call, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	b.ResetTimer()
	for n := range b.N {
		if _, _, err := cores["a"].Propose(call, evacuate(fmt.Sprint(n))); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	cancel()
	for range 3 {
		<-done
	}
}
