package front

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/node/follower"
)

func TestStreamsEndOnKeyRevocationAndAuthorityLoss(t *testing.T) {
	Convey("Revoking an API key ends its running streams and rejects the next request on an open connection", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, 30*time.Second))
			defer f.stop()
			streaming, began := f.connect(), time.Now()
			streaming.prompt("r1", time.Minute)
			idle := f.connect()
			idle.send("GET", "/v1/connect", "r2", "", "")
			f.checkEqual("before", idle.readResponse().status, 200)
			f.views.publish(withKeys("k", "other"))
			synctest.Wait()
			f.checkEqual("in flight after a new version that keeps the key", f.inFlight("s0"), 1)
			f.views.publish(withKeys("other"))
			got := streaming.readResponse()
			f.checkEqual("stream", []any{got.code, got.complete, time.Since(began)}, []any{apierror.KeyRevoked, false, time.Duration(0)})
			f.checkEqual("in flight", f.inFlight("s0"), 0)
			idle.prompt("r3", time.Minute)
			f.checkEqual("next request", idle.readResponse().code, apierror.UnknownKey)
		})
	})
	Convey("A node that loses authority rejects new requests immediately and aborts its streams after 2 s", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(100, time.Second))
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			caller.readEvent()
			loseAuthority := func(wait time.Duration) {
				f.views.publish(func(*follower.View) { f.views.hasAuthority.Store(false) })
				<-time.After(wait)
			}
			loseAuthority(time.Second)
			f.checkEqual("ready", f.front.Ready().Code, apierror.NoAuthority)
			other := f.connect()
			other.prompt("r2", time.Minute)
			f.checkEqual("new request", other.readResponse().code, apierror.NoAuthority)
			f.views.publish(func(*follower.View) { f.views.hasAuthority.Store(true) })
			for range 10 {
				caller.readEvent()
			}
			f.checkEqual("in flight after a loss shorter than the grace period", f.inFlight("s0"), 1)
			began := time.Now()
			loseAuthority(0)
			for line := ""; !strings.Contains(line, "2006"); {
				if line = caller.readEvent(); line == "" {
					f.t.Fatal("the stream ended without an error event")
				}
			}
			if took := time.Since(began); took < 1700*time.Millisecond || took > 2500*time.Millisecond {
				f.t.Errorf("the stream continued for %s after the loss of authority, want 1.7s to 2.5s", took)
			}
			f.checkEqual("runs of the rejected request", f.runs("r2"), 0)
		})
	})
	Convey("A process that has no authority after a pause forwards no event", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(100, time.Second))
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", 100*time.Second)
			caller.readEvent()
			f.views.hasAuthority.Store(false)
			f.clock.offset.Add(int64(5 * time.Second))
			f.checkEqual("error event", strings.Contains(caller.readEvent(), "2006"), true)
		})
	})
	Convey("A process that was paused past a stream's deadline forwards no event after the pause", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(100, time.Second))
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", 30*time.Second)
			caller.readEvent()
			f.clock.offset.Add(int64(40 * time.Second))
			got := caller.readEvent()
			f.checkEqual("error event", strings.Contains(got, "3004"), true)
		})
	})
}

func TestDrainAndShutdown(t *testing.T) {
	Convey("A draining front completes its running requests and rejects new ones", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(5, time.Second))
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			caller.readEvent()
			f.checkEqual("ready", f.front.Ready() == nil, true)
			drained := make(chan error, 1)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			go func() { drained <- f.front.Drain(ctx) }()
			synctest.Wait()
			f.checkEqual("ready", f.front.Ready().Code, apierror.FrontDraining)
			other := f.connect()
			other.prompt("r2", time.Minute)
			f.checkEqual("new request", other.readResponse().code, apierror.FrontDraining)
			for line := ""; !strings.Contains(line, "final"); line = caller.readEvent() {
			}
			f.checkEqual("drained", <-drained, nil)
		})
	})
	Convey("A request that waits for its tenant's quota when the drain begins is served before the drain ends", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, time.Second))
			defer f.stop()
			f.admitter.wait = 2 * time.Second
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			drained := make(chan error, 1)
			runsWhenDrained := make(chan int, 1)
			go func() {
				drained <- f.front.Drain(ctx)
				runsWhenDrained <- f.runs("r1")
			}()
			got := caller.readResponse()
			f.checkEqual("answer", []any{got.status, got.complete, strings.Contains(got.body, "final")}, []any{200, true, true})
			f.checkEqual("drained", <-drained, nil)
			f.checkEqual("runs when the drain ends", <-runsWhenDrained, 1)
		})
	})
	Convey("A request that still waits for its tenant's quota at the end of the grace period is rejected as front_leaving", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(1, time.Second))
			defer f.stop()
			f.admitter.wait = 20 * time.Second
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			f.checkEqual("drained", f.front.Drain(ctx), context.DeadlineExceeded)
			f.checkEqual("answer", caller.readResponse().code, apierror.FrontDraining)
			f.checkEqual("runs", f.runs("r1"), 0)
		})
	})
	Convey("An answer that is being written when the listener stops is sent completely", t, func() {
		inBubble(t, func(t *testing.T) {
			body := strings.Repeat("x", 1<<19)
			f := newFixture(t, "web", 8, respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: ID\nContent-Length: 524288\n\n"+body))
			caller := f.connect()
			caller.send("GET", "/v1/call/orders/", "r1", "", "")
			if _, err := caller.reader.Peek(10); err != nil {
				f.t.Fatal(err)
			}
			stopped := make(chan struct{})
			go func() { f.stop(); close(stopped) }()
			synctest.Wait()
			f.checkEqual("answer", caller.readResponse() == response{200, 0, body, true}, true)
			<-stopped
		})
	})
	Convey("A stream that is still running at the end of the grace period is aborted with an error event", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, streamingServer(50, time.Second))
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			caller.readEvent()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			drained := make(chan error, 1)
			go func() { drained <- f.front.Drain(ctx) }()
			for line := ""; !strings.Contains(line, "2007"); {
				if line = caller.readEvent(); line == "" {
					f.t.Fatal("the stream ended without an error event")
				}
			}
			f.checkEqual("drained", <-drained, context.DeadlineExceeded)
			f.checkEqual("in flight", f.inFlight("s0"), 0)
		})
	})
}
