package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/follower"
	"stepwick/internal/wire"
)

func TestAttempts(t *testing.T) {
	two := func(first, later serverScript) *testFleet {
		s, both := newTestFleet(t), firstThen(first, later)
		s.addServer("s0", both)
		s.addServer("s1", both)
		return s.startGateway()
	}
	Convey("A safe request is retried after a lost connection; an unsafe one is not, and its outcome is unknown", t, func() {
		So(two(closeConnection, respond("ok")).send("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(two(closeConnection, respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("An unsafe request is retried at another server when the first did not execute it", t, func() {
		So(two(respondStatus("503 Full", "Not-Run: 1\r\n"), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(two(respondStatus("421 Elsewhere", ""), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(two(respondStatus("421 Elsewhere", "Not-Run: 1\r\n"), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
	})
	Convey("A request that no server executed is answered with a Retry-After", t, func() {
		full := respondStatus("503 Full", "Not-Run: 1\r\n")
		got := two(full, full).send("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("A server's own error response is relayed unchanged", t, func() {
		got := two(respondStatus("500 Error", "Seal: s\r\n"), respond("ok")).send("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusInternalServerError)
		So(got.header.Get("Seal"), ShouldEqual, "s")
	})
	Convey("A request whose connection is refused is sent to another server", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.servers["s1"] = &wire.ServerStatus{Name: "s1", Address: "127.0.0.1:1", Services: []string{"pool"}, Reachable: true,
			State: wire.ServerState_SERVER_STATE_READY, Region: "north", Zone: "z"}
		s.startGateway()
		for range 6 {
			So(s.send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("An incomplete body is never relayed as complete", t, func() {
		short := func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nshort", r.Header.Get("Id"))
			_ = conn.Close()
		}
		So(two(short, respond("ok")).send("/safe/", "").body, ShouldEqual, "ok")
		So(two(short, respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("A request is answered as soon as its deadline passes", t, func() {
		never := func(*http.Request, net.Conn) {}
		So(two(never, never).send("/unsafe/", "", "Left", "2000").status, ShouldEqual, http.StatusGatewayTimeout)
	})
}

func TestClientDisconnects(t *testing.T) {
	dial := func(s *testFleet, path string) net.Conn {
		conn, err := net.Dial("tcp", s.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		return conn
	}
	Convey("A client that disconnects before the response starts cancels the request at the server, for each kind of route", t, func() {
		for _, path := range []string{"/safe/", "/unsafe/", "/once/", "/stream/"} {
			reached, ended := make(chan struct{}), make(chan struct{})
			s := newTestFleet(t)
			s.addServer("s0", func(_ *http.Request, conn net.Conn) {
				close(reached)
				_, _ = conn.Read(make([]byte, 1))
				close(ended)
			})
			s.startGateway()
			conn := dial(s, path)
			<-reached
			So(conn.Close(), ShouldBeNil)
			<-ended
		}
	})
	Convey("A queued request whose client disconnects reaches no server", t, func() {
		var reached atomic.Int32
		free := make(chan struct{})
		s := newTestFleet(t)
		s.addServer("s0", func(r *http.Request, conn net.Conn) {
			reached.Add(1)
			<-free
			respond("ok")(r, conn)
		})
		s.views.publish(func(v *follower.View) {
			v.State.Sheet.Services["pool"] = sheet.Service{Kind: sheet.KindHTTP, MaxConnections: 1}
			safe := v.State.Sheet.Routes["safe"]
			safe.ObjectiveMS = 4000
			v.State.Sheet.Routes["safe"] = safe
		})
		s.startGateway()
		first := make(chan response, 1)
		go func() { first <- s.send("/safe/", "") }()
		for reached.Load() == 0 {
			runtime.Gosched()
		}
		So(time.Duration(s.admitter.lastTimeout.Load()), ShouldEqual, 2*time.Second)
		conn := dial(s, "/safe/")
		for s.gateway.inFlight.Load() < 2 {
			runtime.Gosched()
		}
		So(conn.Close(), ShouldBeNil)
		for s.gateway.inFlight.Load() > 1 {
			runtime.Gosched()
		}
		close(free)
		So((<-first).status, ShouldEqual, http.StatusOK)
		So(s.send("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(reached.Load(), ShouldEqual, 2)
	})
}
