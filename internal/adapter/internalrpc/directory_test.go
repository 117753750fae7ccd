package internalrpc_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
	"stepwick/sim/memnet"
)

// gossipPeer implements only Hello.
type gossipPeer struct {
	wireconnect.UnimplementedPeerHandler
	directory *internalrpc.Directory
}

func (p gossipPeer) Hello(ctx context.Context, req *connect.Request[wire.HelloRequest]) (*connect.Response[wire.HelloResponse], error) {
	resp, err := p.directory.Hello(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

// startProcess runs process i of a fleet on its own host. Its seeds are the two processes
// before it, so that no process is configured with all addresses.
func startProcess(ctx context.Context, t *testing.T, net *memnet.Network, i int, secret string) *internalrpc.Directory {
	t.Helper()
	host := fmt.Sprintf("127.0.1.%d", i)
	own := &wire.Process{
		Name:        fmt.Sprintf("n%d", i),
		Address:     host + ":1",
		Core:        i < 3,
		Front:       true,
		Incarnation: 1,
	}
	var seeds []string
	for earlier := max(0, i-2); earlier < i; earlier++ {
		seeds = append(seeds, fmt.Sprintf("127.0.1.%d:1", earlier))
	}
	pool := internalrpc.NewPool(net.Dialer(host), own.Address, secret)
	directory := internalrpc.NewDirectory(pool, clock.System(), events.Discard, seeds, func() *wire.Process {
		return &wire.Process{
			Name:        own.Name,
			Address:     own.Address,
			Core:        own.Core,
			Front:       true,
			Incarnation: 1,
		}
	})
	listener, err := net.Listen(own.Address)
	if err != nil {
		t.Fatal(err)
	}
	server := internalrpc.Server(internalrpc.Handler(gossipPeer{directory: directory}, secret))
	go func() { _ = server.Serve(listener) }()
	go func() { _ = directory.Serve(ctx) }()
	context.AfterFunc(ctx, func() {
		_ = server.Close()
		pool.CloseIdle()
	})
	return directory
}

func names(d *internalrpc.Directory) string {
	var all []string
	for _, process := range d.Processes() {
		all = append(all, process.Name)
	}
	return strings.Join(all, " ")
}

func TestDirectory(t *testing.T) {
	Convey("Processes with at most two seeds each discover the whole fleet", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			net := memnet.New(ctx)
			var fleet []*internalrpc.Directory
			for i := range 9 {
				fleet = append(fleet, startProcess(ctx, t, net, i, "a fleet's secret"))
			}
			<-time.After(8 * time.Second)
			for _, directory := range fleet {
				if got := names(directory); got != "n0 n1 n2 n3 n4 n5 n6 n7 n8" {
					t.Errorf("known processes %q", got)
				}
			}
			cancel()
			<-time.After(5 * time.Second)
			synctest.Wait()
		})
	})

	Convey("Another secret is rejected, and only a host that is down refuses the connection", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			net := memnet.New(ctx)
			startProcess(ctx, t, net, 0, "a fleet's secret")
			otherFleet := internalrpc.NewPool(net.Dialer("127.0.1.9"), "127.0.1.9:1", "another secret")
			call := func() error {
				callCtx, done := context.WithTimeout(ctx, time.Second)
				defer done()
				_, err := otherFleet.Client("127.0.1.0:1").Hello(callCtx, connect.NewRequest(&wire.HelloRequest{}))
				return err
			}
			if err := call(); err == nil || port.IsConnectionRefused(err) {
				t.Errorf("wrong secret: got %v, want an error other than a refused connection", err)
			}
			net.SetPartitioned("127.0.1.0", "127.0.1.9", true)
			if err := call(); err == nil || port.IsConnectionRefused(err) {
				t.Errorf("unresponsive host: got %v, want an error other than a refused connection", err)
			}
			net.SetPartitioned("127.0.1.0", "127.0.1.9", false)
			net.ResetHost("127.0.1.0")
			synctest.Wait()
			if err := call(); !port.IsConnectionRefused(err) {
				t.Errorf("host that is down: got %v, want a refused connection", err)
			}
			otherFleet.CloseIdle()
			cancel()
			<-time.After(5 * time.Second)
			synctest.Wait()
		})
	})
}

func TestConfirmedProcessesAreKept(t *testing.T) {
	Convey("Processes that a core's feed reports as running are added at once and kept without gossip, and removed after the feed drops them", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			directory := startProcess(ctx, t, memnet.New(ctx), 0, "a fleet's secret")
			synctest.Wait()
			reported := &wire.Process{
				Name:        "far",
				Address:     "127.0.1.99:1",
				Front:       true,
				Incarnation: 1,
				Counter:     5,
			}
			directory.ConfirmRunning([]*wire.Process{reported})
			synctest.Wait()
			if got := names(directory); got != "far n0" {
				t.Errorf("known processes %q", got)
			}
			<-time.After(20 * time.Minute)
			if got := names(directory); got != "far n0" {
				t.Errorf("known processes after 20 minutes %q", got)
			}
			directory.ConfirmRunning(nil)
			<-time.After(20 * time.Minute)
			if got := names(directory); got != "n0" {
				t.Errorf("known processes 20 minutes after the feed dropped one %q", got)
			}
			cancel()
			<-time.After(5 * time.Second)
			synctest.Wait()
		})
	})
}
