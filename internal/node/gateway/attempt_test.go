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
	startTwoServers := func(first, later serverScript) *testFleet {
		fleet, script := newTestFleet(t), firstThen(first, later)
		fleet.addServer("s0", script)
		fleet.addServer("s1", script)
		return fleet.startGateway()
	}
	Convey("A safe request is retried after a lost connection; an unsafe one is not, and its outcome is unknown", t, func() {
		So(startTwoServers(closeConnection, respond("ok")).send("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(startTwoServers(closeConnection, respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("An unsafe request is retried on another server if the first did not execute it", t, func() {
		So(startTwoServers(respondStatus("503 Full", "Not-Run: 1\r\n"), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(startTwoServers(respondStatus("421 Elsewhere", ""), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(startTwoServers(respondStatus("421 Elsewhere", "Not-Run: 1\r\n"), respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
	})
	Convey("A request that no server executed is rejected with a Retry-After", t, func() {
		rejectRequest := respondStatus("503 Full", "Not-Run: 1\r\n")
		got := startTwoServers(rejectRequest, rejectRequest).send("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("A server's own error response is relayed unchanged", t, func() {
		got := startTwoServers(respondStatus("500 Error", "Seal: s\r\n"), respond("ok")).send("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusInternalServerError)
		So(got.header.Get("Seal"), ShouldEqual, "s")
	})
	Convey("A request whose connection is refused is sent to another server", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respond("ok"))
		fleet.servers["s1"] = &wire.ServerStatus{Name: "s1", Address: "127.0.0.1:1", Services: []string{"pool"}, Reachable: true,
			State: wire.ServerState_SERVER_STATE_READY, Region: "north", Zone: "z"}
		fleet.startGateway()
		for range 6 {
			So(fleet.send("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("An incomplete body is never relayed as complete", t, func() {
		truncateResponse := func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nshort", r.Header.Get("Id"))
			_ = conn.Close()
		}
		So(startTwoServers(truncateResponse, respond("ok")).send("/safe/", "").body, ShouldEqual, "ok")
		So(startTwoServers(truncateResponse, respond("ok")).send("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("A request is rejected as soon as its deadline passes", t, func() {
		neverRespond := func(*http.Request, net.Conn) {}
		So(startTwoServers(neverRespond, neverRespond).send("/unsafe/", "", "Left", "2000").status, ShouldEqual, http.StatusGatewayTimeout)
	})
}

// TestAdviceAfterAPossibleExecution guards against the advice to repeat a request that must run at most once.
func TestAdviceAfterAPossibleExecution(t *testing.T) {
	truncateResponse := func(r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nshort", r.Header.Get("Id"))
		_ = conn.Close()
	}
	neverRespond := func(*http.Request, net.Conn) {}
	for _, c := range []struct {
		path   string
		script serverScript
		status int
		advice string
	}{
		{"/unsafe/", truncateResponse, http.StatusBadGateway, "check"},
		{"/safe/", truncateResponse, http.StatusBadGateway, "later"},
		{"/unsafe/", neverRespond, http.StatusGatewayTimeout, "check"},
		{"/safe/", neverRespond, http.StatusGatewayTimeout, "later"},
	} {
		Convey(fmt.Sprintf("A request to %s that ends with status %d", c.path, c.status), t, func() {
			fleet := newTestFleet(t)
			fleet.addServer("s0", c.script)
			got := fleet.startGateway().send(c.path, "", "Left", "300")
			So(got.status, ShouldEqual, c.status)
			So(got.body, ShouldContainSubstring, `"retry":"`+c.advice+`"`)
		})
	}
}

func TestClientDisconnects(t *testing.T) {
	dial := func(fleet *testFleet, path string) net.Conn {
		conn, err := net.Dial("tcp", fleet.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		return conn
	}
	Convey("A client that disconnects before the response starts cancels the request at the server, for each kind of route", t, func() {
		for _, path := range []string{"/safe/", "/unsafe/", "/once/", "/stream/"} {
			reached, ended := make(chan struct{}), make(chan struct{})
			fleet := newTestFleet(t)
			fleet.addServer("s0", func(_ *http.Request, conn net.Conn) {
				close(reached)
				_, _ = conn.Read(make([]byte, 1))
				close(ended)
			})
			fleet.startGateway()
			conn := dial(fleet, path)
			<-reached
			So(conn.Close(), ShouldBeNil)
			<-ended
		}
	})
	Convey("A queued request whose client disconnects is not sent to a server", t, func() {
		var reached atomic.Int32
		release := make(chan struct{})
		fleet := newTestFleet(t)
		fleet.addServer("s0", func(r *http.Request, conn net.Conn) {
			reached.Add(1)
			<-release
			respond("ok")(r, conn)
		})
		fleet.views.publish(func(v *follower.View) {
			v.State.Sheet.Services["pool"] = sheet.Service{Kind: sheet.KindHTTP, MaxConnections: 1}
			safe := v.State.Sheet.Routes["safe"]
			safe.ObjectiveMS = 4000
			v.State.Sheet.Routes["safe"] = safe
		})
		fleet.startGateway()
		first := make(chan response, 1)
		go func() { first <- fleet.send("/safe/", "") }()
		for reached.Load() == 0 {
			select {
			case got := <-first:
				t.Fatalf("the first request ended before it reached the server: status %d, broken %v, %s", got.status, got.broken, got.body)
			default:
				runtime.Gosched()
			}
		}
		So(time.Duration(fleet.admitter.lastTimeout.Load()), ShouldEqual, 2*time.Second)
		conn := dial(fleet, "/safe/")
		for fleet.gateway.inFlight.Load() < 2 {
			runtime.Gosched()
		}
		So(conn.Close(), ShouldBeNil)
		for fleet.gateway.inFlight.Load() > 1 {
			runtime.Gosched()
		}
		close(release)
		So((<-first).status, ShouldEqual, http.StatusOK)
		So(fleet.send("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(reached.Load(), ShouldEqual, 2)
	})
}
