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
		seen := make(chan *http.Request, 10)
		s := newTestFleet(t)
		s.addServer("s0", func(r *http.Request, conn net.Conn) { seen <- r; respond("ok")(r, conn) })
		s.startGateway()
		Convey("the tenant's name replaces whatever the client sent, and the key is not forwarded", func() {
			got := s.send("/safe/a%2Fb?q=%20", "body", "Tenant", "other", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "ok")
			So(got.header.Get("Seal"), ShouldEqual, "s")
			r := <-seen
			So(r.RequestURI, ShouldEqual, "/safe/a%2Fb?q=%20")
			So(r.Header.Get("Tenant"), ShouldEqual, "press")
			So(r.Header.Get("Key"), ShouldBeEmpty)
			So(r.Header.Get("X-Hop"), ShouldBeEmpty)
			So(r.Header.Get("X-Kept"), ShouldEqual, "2")
			So(r.Header, ShouldNotContainKey, "Accept-Encoding")
			body, _ := io.ReadAll(r.Body)
			So(string(body), ShouldEqual, "body")
		})
		Convey("a request that is not admitted is refused with a code and reaches no server", func() {
			for _, c := range []struct {
				status int
				got    response
			}{
				{http.StatusNotFound, s.send("/nowhere/", "")},
				{http.StatusUnauthorized, s.send("/safe/", "", "Key", "")},
				{http.StatusForbidden, s.send("/safe/", "", "Key", "wrong")},
				{http.StatusRequestEntityTooLarge, s.send("/safe/", strings.Repeat("x", 1001))},
				{http.StatusServiceUnavailable, s.send("/far/", "")},
			} {
				So(c.got.status, ShouldEqual, c.status)
				So(c.got.body, ShouldContainSubstring, `"code":`)
			}
			So(len(seen), ShouldEqual, 0)
			So(s.send("/public/", "", "Key", "wrong").status, ShouldEqual, http.StatusOK)
		})
		Convey("a tenant over its quota gets a Retry-After", func() {
			s.admitter.refused.Store(true)
			got := s.send("/safe/", "")
			So(got.status, ShouldEqual, http.StatusTooManyRequests)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("a node without a lease or a configuration answers with a Retry-After only", func() {
			s.views.authorized.Store(false)
			got := s.send("/nowhere/", "", "Key", "wrong")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			s.views.authorized.Store(true)
			s.views.publish(func(v *follower.View) { v.State.Sheet = nil })
			So(s.send("/nowhere/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}
