package internalrpc_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/internalrpc"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
	"stepwick/sim/memnet"
)

// namedPeer answers pings with its name.
type namedPeer struct {
	wireconnect.UnimplementedPeerHandler
	name string
}

func (p namedPeer) Ping(context.Context, *connect.Request[wire.PingRequest]) (*connect.Response[wire.PingResponse], error) {
	return connect.NewResponse(&wire.PingResponse{Name: p.name}), nil
}

func TestPoolReachesEachAddress(t *testing.T) {
	Convey("Calls through one pool reach the process at each address", t, func() {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			net := memnet.New(ctx)
			var addresses []string
			for i := range 5 {
				address := fmt.Sprintf("127.0.1.%d:1", i)
				addresses = append(addresses, address)
				listener, err := net.Listen(address)
				if err != nil {
					t.Fatal(err)
				}
				server := internalrpc.Server(internalrpc.Handler(namedPeer{name: address}, "a fleet's secret"))
				go func() { _ = server.Serve(listener) }()
				context.AfterFunc(ctx, func() { _ = server.Close() })
			}
			pool := internalrpc.NewPool(net.Dialer("127.0.2.1"), "127.0.2.1:1", "a fleet's secret")
			failures := make(chan string, 10)
			for _, address := range append(addresses, addresses...) {
				go func() {
					resp, err := pool.Client(address).Ping(ctx, connect.NewRequest(&wire.PingRequest{}))
					if err != nil || resp.Msg.Name != address {
						failures <- fmt.Sprint(address, " ", resp, err)
						return
					}
					failures <- ""
				}()
			}
			for range 10 {
				if failure := <-failures; failure != "" {
					t.Error(failure)
				}
			}
			cancel()
			pool.CloseIdle()
			<-time.After(30 * time.Second)
			synctest.Wait()
		})
	})
	Convey("A client for a further address takes at most one allocation", t, func() {
		pool := internalrpc.NewPool(nil, "own", "a fleet's secret")
		So(testing.AllocsPerRun(100, func() { pool.Client("10.0.0.1:1") }), ShouldBeLessThanOrEqualTo, 1)
	})
}
