package gateway

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
)

type healthReport struct {
	server    string
	reachable bool
	elapsed   time.Duration
}

func TestUnresponsiveServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An unresponsive server is reported immediately and probed until it responds, which is reported too", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			startedAt := time.Now()
			recoversAt := startedAt.Add(1700 * time.Millisecond)
			client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				if time.Now().Before(recoversAt) {
					return nil, errors.New("no answer")
				}
				clientEnd, serverEnd := net.Pipe()
				context.AfterFunc(ctx, func() { _ = serverEnd.Close() })
				return clientEnd, nil
			}})
			reports := make(chan healthReport, 100)
			health := newServerHealth(func(_ context.Context, server string, reachable bool) {
				reports <- healthReport{server, reachable, time.Since(startedAt)}
			}, clock.System(), client)
			ended := make(chan error, 1)
			go func() { ended <- health.Serve(ctx) }()
			health.report(upstream.Server{Name: "s0", Address: "a"}, false)
			So(<-reports, ShouldResemble, healthReport{"s0", false, 0})
			for _, expectedMS := range []time.Duration{500, 1000, 1500} {
				So(<-reports, ShouldResemble, healthReport{"s0", false, expectedMS * time.Millisecond})
			}
			So(<-reports, ShouldResemble, healthReport{"s0", true, 2 * time.Second})
			<-clock.System().After(3 * time.Second)
			So(len(reports), ShouldEqual, 0)
			cancel()
			So(<-ended, ShouldEqual, context.Canceled)
			client.Close()
		})
	})
}

func TestStalledServers(t *testing.T) {
	type fixture struct {
		health  *serverHealth
		reports chan healthReport
		stop    func()
	}
	start := func(acceptsConnections func() bool) fixture {
		ctx, cancel := context.WithCancel(context.Background())
		startedAt := time.Now()
		client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !acceptsConnections() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			clientEnd, serverEnd := net.Pipe()
			context.AfterFunc(ctx, func() { _ = serverEnd.Close() })
			return clientEnd, nil
		}})
		reports := make(chan healthReport, 100)
		health := newServerHealth(func(_ context.Context, server string, reachable bool) {
			reports <- healthReport{server, reachable, time.Since(startedAt)}
		}, clock.System(), client)
		ended := make(chan error, 1)
		go func() { ended <- health.Serve(ctx) }()
		return fixture{health, reports, func() {
			cancel()
			So(<-ended, ShouldEqual, context.Canceled)
			client.Close()
		}}
	}
	server := upstream.Server{Name: "s0", Address: "a"}
	synctest.Test(t, func(t *testing.T) {
		Convey("A server that is slower than expected but accepts connections is not reported, and neither is its recovery", t, func() {
			f := start(func() bool { return true })
			f.health.probeStalled(server)
			<-clock.System().After(time.Second)
			f.health.reportRecovered(server)
			<-clock.System().After(time.Second)
			So(len(f.reports), ShouldEqual, 0)
			f.stop()
		})
		Convey("A server that accepts no connection is reported as unreachable when a probe fails and as reachable when one succeeds", t, func() {
			startedAt := time.Now()
			f := start(func() bool { return time.Since(startedAt) >= time.Second })
			f.health.probeStalled(server)
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, probeTimeout})
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, 500*time.Millisecond + probeTimeout})
			So(<-f.reports, ShouldResemble, healthReport{"s0", true, time.Second})
			f.stop()
		})
		Convey("A server that was reported as unreachable and responds again is reported as reachable", t, func() {
			f := start(func() bool { return true })
			f.health.report(server, false)
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, 0})
			f.health.reportRecovered(server)
			So(<-f.reports, ShouldResemble, healthReport{"s0", true, 0})
			f.stop()
		})
	})
}
