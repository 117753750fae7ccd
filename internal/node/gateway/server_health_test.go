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
	at        time.Duration
}

func TestUnresponsiveServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An unresponsive server is reported at once and probed until it responds, which is reported too", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			begun := time.Now()
			back := begun.Add(1700 * time.Millisecond)
			client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				if time.Now().Before(back) {
					return nil, errors.New("no answer")
				}
				near, far := net.Pipe()
				context.AfterFunc(ctx, func() { _ = far.Close() })
				return near, nil
			}})
			reports := make(chan healthReport, 100)
			s := newServerHealth(func(_ context.Context, server string, reachable bool) {
				reports <- healthReport{server, reachable, time.Since(begun)}
			}, clock.System(), client)
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			s.report(upstream.Server{Name: "s0", Address: "a"}, false)
			So(<-reports, ShouldResemble, healthReport{"s0", false, 0})
			for _, after := range []time.Duration{500, 1000, 1500} {
				So(<-reports, ShouldResemble, healthReport{"s0", false, after * time.Millisecond})
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
		end     func()
	}
	start := func(answers func() bool) fixture {
		ctx, cancel := context.WithCancel(context.Background())
		begun := time.Now()
		client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !answers() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			context.AfterFunc(ctx, func() { _ = far.Close() })
			return near, nil
		}})
		reports := make(chan healthReport, 100)
		s := newServerHealth(func(_ context.Context, server string, reachable bool) {
			reports <- healthReport{server, reachable, time.Since(begun)}
		}, clock.System(), client)
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx) }()
		return fixture{s, reports, func() {
			cancel()
			So(<-ended, ShouldEqual, context.Canceled)
			client.Close()
		}}
	}
	server := upstream.Server{Name: "s0", Address: "a"}
	synctest.Test(t, func(t *testing.T) {
		Convey("A server that is slower than expected and accepts connections is not reported, nor that it responds again", t, func() {
			f := start(func() bool { return true })
			f.health.probeStalled(server)
			<-clock.System().After(time.Second)
			f.health.reportRecovered(server)
			<-clock.System().After(time.Second)
			So(len(f.reports), ShouldEqual, 0)
			f.end()
		})
		Convey("A server that accepts no connection is reported as soon as the probe fails, and as soon as one succeeds", t, func() {
			begun := time.Now()
			f := start(func() bool { return time.Since(begun) >= time.Second })
			f.health.probeStalled(server)
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, probeTimeout})
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, 500*time.Millisecond + probeTimeout})
			So(<-f.reports, ShouldResemble, healthReport{"s0", true, time.Second})
			f.end()
		})
		Convey("A response of a server that was reported as unresponsive is reported", t, func() {
			f := start(func() bool { return true })
			f.health.report(server, false)
			So(<-f.reports, ShouldResemble, healthReport{"s0", false, 0})
			f.health.reportRecovered(server)
			So(<-f.reports, ShouldResemble, healthReport{"s0", true, 0})
			f.end()
		})
	})
}
