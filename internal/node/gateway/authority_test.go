package gateway

import (
	"net/http"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
)

func TestAuthorityAfterStart(t *testing.T) {
	Convey("A request that arrives before a node has its first lease waits for it", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.views.authorized.Store(false)
		s.clock = endlessGraceClock{clock.System()}
		s.startGateway()
		answers := make(chan response, 1)
		go func() { answers <- s.send("/safe/", "") }()
		for s.gateway.inFlight.Load() == 0 {
			runtime.Gosched()
		}
		s.views.authorized.Store(true)
		So((<-answers).status, ShouldEqual, http.StatusOK)
	})
}
