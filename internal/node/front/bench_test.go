package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/node/quotasync"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

type noPeers struct{}

func (noPeers) Process(string) (*wire.Process, bool) { return nil, false }
func (n noPeers) Cores() []*wire.Process             { return port.CoresOf(n.Processes()) }

func (noPeers) Processes() []*wire.Process           { return nil }
func (noPeers) Client(string) wireconnect.PeerClient { return nil }

var _ port.Peers = noPeers{}

// benchFront returns a running front with the quota service and routing table of
// production, a sheet of five tenants, and a plan for a number of model servers and
// one web server.
func benchFront(b *testing.B, models int, web string) *Front {
	state := statemachine.State{Version: 1, Sheet: &sheet.Sheet{
		Services: map[string]sheet.Service{"chat": {Kind: "model"}, "orders": {Kind: "web", OneShotTokens: 5}}, Tenants: map[string]sheet.Tenant{}}}
	for i := range 5 {
		state.Sheet.Tenants[fmt.Sprint("t", i)] = sheet.Tenant{Rate: 1e11, Burst: 1e11, KeyHashes: []string{sheet.HashKey(fmt.Sprint("k", i))}}
	}
	view := &follower.View{State: state, Index: state.Index(), Servers: map[string]*wire.ServerStatus{}, Plan: &wire.Plan{Term: 1, Number: 1}}
	for _, service := range []string{"chat", "orders"} {
		view.Plan.Shares = append(view.Plan.Shares, &wire.Share{Service: service, FromRegion: "lagos", ToRegion: "lagos", Share: 1})
	}
	for i := range models + 1 {
		status := &wire.ServerStatus{Name: fmt.Sprint("m", i), Address: "127.0.0.1:1", Kind: "model", Services: []string{"chat"}, Region: "lagos", Zone: "a",
			State: wire.ServerState_SERVER_STATE_READY, Reachable: true, Slots: 1 << 15, Answered: 1 << 20}
		if i == models {
			status.Name, status.Address, status.Kind, status.Services = "w", web, "web", []string{"orders"}
		}
		view.Servers[status.Name] = status
		view.Plan.Caps = append(view.Plan.Caps, &wire.Cap{Server: status.Name, InFlight: 1 << 15})
	}
	views := &fakeViews{}
	views.view.Store(view)
	never := make(chan struct{})
	views.changed.Store(&never)
	views.hasAuthority.Store(true)
	registry := prometheus.NewRegistry()
	admitter, err := quotasync.New(quotasync.Config{Self: "n1", Incarnation: 1, Metrics: registry}, noPeers{}, clock.System(), time.Now, func() []string { return []string{"n1"} }, events.Discard)
	if err != nil {
		b.Fatal(err)
	}
	front, err := New(Config{Name: "n1", Region: "lagos", Zone: "a"}, views, admitter, clock.System(), events.Discard, registry)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var owners sync.WaitGroup
	owners.Go(func() { _ = admitter.Serve(ctx) })
	owners.Go(func() { _ = front.Serve(ctx) })
	b.Cleanup(func() {
		cancel()
		owners.Wait()
	})
	return front
}

// BenchmarkDecision measures the decisions on one prompt: admission (API key,
// service, quota) and the choice of a server, with their journal entries.
func BenchmarkDecision(b *testing.B) {
	for _, models := range []int{18, 200} {
		b.Run(strconv.Itoa(models)+" servers", func(b *testing.B) {
			front := benchFront(b, models, "127.0.0.1:1")
			ctx := context.Background()
			head := clientapi.Head{ID: "r1", Key: "k3", Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for prefix := uint64(1); pb.Next(); prefix++ {
					c := front.newCall(&head, "chat", "", "")
					c.request.Prefix = prefix%400 + 1
					if apiErr := c.admit(ctx, sheet.KindModel, 100); apiErr != nil {
						b.Error(apiErr)
						return
					}
					assigned, _, apiErr := c.acquireServer(ctx)
					if apiErr != nil {
						b.Error(apiErr)
						return
					}
					front.router.release(assigned, outcomeOf(nil))
				}
			})
		})
	}
}

// BenchmarkOneShot compares a one-shot call through the front with the same call
// sent directly to the server, each on a keep-alive connection.
func BenchmarkOneShot(b *testing.B) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stepwick-Request-Id", r.Header.Get("Stepwick-Request-Id"))
		_, _ = io.WriteString(w, "ok")
	})}
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		return listener
	}
	direct, through := listen(), listen()
	go func() { _ = server.Serve(direct) }()
	defer func() { _ = server.Close() }()
	front := benchFront(b, 18, direct.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = front.Listen(ctx, through) }()
	targets := map[string]string{"direct": "http://" + direct.Addr().String() + "/x", "through the front": "http://" + through.Addr().String() + "/v1/call/orders/x"}
	for name, target := range targets {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				request, _ := http.NewRequest("GET", target, nil)
				request.Header.Set("Authorization", "Bearer k1")
				answer, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				body, _ := io.ReadAll(answer.Body)
				answer.Body.Close()
				if string(body) != "ok" {
					b.Fatal(answer.Status, string(body))
				}
			}
		})
	}
}
