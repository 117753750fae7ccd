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
