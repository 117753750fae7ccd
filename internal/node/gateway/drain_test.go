package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
)

func TestDrain(t *testing.T) {
	Convey("A draining node is not ready, serves late clients, and ends when no request is in flight", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respond("ok"))
		fleet.startGateway()
		fleet.gateway.config.DrainDelay = DrainDelay{Min: 100 * time.Millisecond, Max: 300 * time.Millisecond, IdleFor: 50 * time.Millisecond}
		drained := make(chan error, 1)
		go func() { drained <- fleet.gateway.Drain(context.Background()) }()
		for fleet.gateway.Ready() == nil {
			_ = fleet.send("/safe/", "")
		}
		So(fleet.gateway.Ready().Code, ShouldEqual, apierror.FrontDraining)
		So(<-drained, ShouldBeNil)
		So(fleet.send("/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// TestRequestsInFlightAtTheEndOfADrainAreAnswered guards against closing their connections without an answer.
func TestRequestsInFlightAtTheEndOfADrainAreAnswered(t *testing.T) {
	for path, wantStatus := range map[string]int{
		"/safe/":   http.StatusBadGateway,
		"/unsafe/": http.StatusBadGateway,
		"/stream/": http.StatusBadGateway,
	} {
		Convey("A request that a server has and does not answer, to "+path, t, func() {
			fleet := newTestFleet(t)
			received := make(chan struct{}, 1)
			fleet.addServer("s0", func(*http.Request, net.Conn) {
				received <- struct{}{}
				<-t.Context().Done()
			})
			fleet.startGateway()
			answer := make(chan response, 1)
			go func() { answer <- fleet.send(path, "") }()
			<-received
			fleet.endDrain()
			got := <-answer
			So(got.broken, ShouldBeFalse)
			So(got.status, ShouldEqual, wantStatus)
		})
	}
	Convey("A request that no server has received is refused", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respondStatus("503 Service Unavailable", "Not-Run: 1\r\n"))
		fleet.startGateway()
		waiting := make(chan struct{}, 1)
		fleet.admitter.wait = func(ctx context.Context) {
			waiting <- struct{}{}
			<-ctx.Done()
		}
		answer := make(chan response, 1)
		go func() { answer <- fleet.send("/safe/", "") }()
		<-waiting
		fleet.endDrain()
		got := <-answer
		So(got.broken, ShouldBeFalse)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// endDrain drains the gateway without time for its requests and then stops it, as a
// process does.
func (f *testFleet) endDrain() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = f.gateway.Drain(ctx)
	f.stopServing()
}

func TestDrainAcceptsWhatEndsInTime(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		grace, now, deadline float64 // seconds since the start of the drain
		accepted             bool
	}{
		{grace: 6.8, now: 0, deadline: 8, accepted: true},
		{grace: 6.8, now: 2.5, deadline: 10.5, accepted: true},
		{grace: 6.8, now: 2.6, deadline: 6.9, accepted: false},
		{grace: 6.8, now: 2.6, deadline: 6.8, accepted: true},
		{grace: 2, now: 0.9, deadline: 8, accepted: true},
		{grace: 2, now: 1.1, deadline: 8, accepted: false},
	} {
		Convey(fmt.Sprintf("With a grace period of %v s, after %v s, a deadline at %v s", c.grace, c.now, c.deadline), t, func() {
			ctx, cancel := context.WithDeadline(context.Background(), at(c.grace))
			defer cancel()
			delay := DrainDelay{}
			delay.setDefaults()
			So(delay.newDrainState(ctx, start).accepts(at(c.now), at(c.deadline)), ShouldEqual, c.accepted)
		})
	}
	Convey("A node that does not drain accepts every request", t, func() {
		var none *drainState
		So(none.accepts(at(0), at(1000)), ShouldBeTrue)
	})
}
