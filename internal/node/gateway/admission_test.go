package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/node/follower"
)

func TestAdmission(t *testing.T) {
	Convey("Given a gateway with one server", t, func() {
		received := make(chan *http.Request, 10)
		fleet := newTestFleet(t)
		fleet.addServer("s0", func(r *http.Request, conn net.Conn) { received <- r; respond("ok")(r, conn) })
		fleet.startGateway()
		Convey("the tenant's name replaces whatever the client sent, and the key is not forwarded", func() {
			got := fleet.send("/safe/a%2Fb?q=%20", "body", "Tenant", "other", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "ok")
			So(got.header.Get("Seal"), ShouldEqual, "s")
			r := <-received
			So(r.RequestURI, ShouldEqual, "/safe/a%2Fb?q=%20")
			So(r.Header.Get("Tenant"), ShouldEqual, "press")
			So(r.Header.Get("Key"), ShouldBeEmpty)
			So(r.Header.Get("X-Hop"), ShouldBeEmpty)
			So(r.Header.Get("X-Kept"), ShouldEqual, "2")
			So(r.Header, ShouldNotContainKey, "Accept-Encoding")
			body, _ := io.ReadAll(r.Body)
			So(string(body), ShouldEqual, "body")
		})
		Convey("a request that is not admitted is rejected with a code and is not sent to a server", func() {
			for _, c := range []struct {
				status int
				got    response
			}{
				{http.StatusNotFound, fleet.send("/nowhere/", "")},
				{http.StatusUnauthorized, fleet.send("/safe/", "", "Key", "")},
				{http.StatusForbidden, fleet.send("/safe/", "", "Key", "wrong")},
				{http.StatusRequestEntityTooLarge, fleet.send("/safe/", strings.Repeat("x", 1001))},
				{http.StatusServiceUnavailable, fleet.send("/far/", "")},
			} {
				So(c.got.status, ShouldEqual, c.status)
				So(c.got.body, ShouldContainSubstring, `"code":`)
			}
			So(len(received), ShouldEqual, 0)
			So(fleet.send("/public/", "", "Key", "wrong").status, ShouldEqual, http.StatusOK)
		})
		Convey("a tenant over its quota gets a Retry-After", func() {
			fleet.admitter.refused.Store(true)
			got := fleet.send("/safe/", "")
			So(got.status, ShouldEqual, http.StatusTooManyRequests)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("a node without a lease or a configuration rejects every request with a Retry-After", func() {
			fleet.views.authorized.Store(false)
			got := fleet.send("/nowhere/", "", "Key", "wrong")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			fleet.views.authorized.Store(true)
			fleet.views.publish(func(v *follower.View) { v.State.Sheet = nil })
			So(fleet.send("/nowhere/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
