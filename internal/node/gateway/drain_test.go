package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
)

func TestDrain(t *testing.T) {
	Convey("A draining node is not ready, serves late clients, and ends when no request is in flight", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.startGateway()
		s.gateway.config.DrainDelay = DrainDelay{Min: 100 * time.Millisecond, Max: 300 * time.Millisecond, IdleFor: 50 * time.Millisecond}
		drained := make(chan error, 1)
		go func() { drained <- s.gateway.Drain(context.Background()) }()
		for s.gateway.Ready() == nil {
			_ = s.send("/safe/", "")
		}
		So(s.gateway.Ready().Code, ShouldEqual, apierror.FrontLeaving)
		So(<-drained, ShouldBeNil)
		So(s.send("/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
	})
}
