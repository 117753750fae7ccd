package gateway

import (
	"net/http"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
)

func TestAuthorityAfterStart(t *testing.T) {
	Convey("A request that arrives before the node has obtained its first lease waits for the lease", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respond("ok"))
		fleet.views.authorized.Store(false)
		fleet.clock = endlessGraceClock{clock.System()}
		fleet.startGateway()
		responses := make(chan response, 1)
		go func() { responses <- fleet.send("/safe/", "") }()
		for fleet.gateway.inFlight.Load() == 0 {
			runtime.Gosched()
		}
		fleet.views.authorized.Store(true)
		So((<-responses).status, ShouldEqual, http.StatusOK)
	})
}
