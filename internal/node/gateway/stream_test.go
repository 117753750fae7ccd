package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStreams(t *testing.T) {
	startTwoServers := func(first, later serverScript) *testFleet {
		fleet, script := newTestFleet(t), firstThen(first, later)
		fleet.addServer("s0", script)
		fleet.addServer("s1", script)
		return fleet.startGateway()
	}
	Convey("A resumable stream is resumed on another server after its last complete event and keeps the first server's header", t, func() {
		later := make(chan *http.Request, 1)
		fleet := startTwoServers(respondStream(true, 1, 2), func(r *http.Request, conn net.Conn) { later <- r; respondStream(false, 3, 4)(r, conn) })
		got := fleet.send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
		r := <-later
		So(r.Header.Get("Last"), ShouldEqual, "2")
		So(got.header.Get("Seal"), ShouldNotEqual, r.Header.Get("To"))
	})
	Convey("A stream that must not be executed twice is aborted where its server aborted it", t, func() {
		got := startTwoServers(respondStream(true, 1), respondStream(false, 2)).send("/once/", "")
		So(got.broken, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\n")
	})
	Convey("A resumable stream is aborted when its attempts are exhausted", t, func() {
		got := startTwoServers(respondStream(true, 1), respondStream(true, 2)).send("/stream/", "")
		So(got.broken, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	})
	Convey("Bytes after the last event are relayed when the response's framing shows that it is complete", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respond("id: 1\ndata: x\n\ndata: tail"))
		fleet.startGateway()
		So(fleet.send("/once/", "").body, ShouldEqual, "id: 1\ndata: x\n\ndata: tail")
	})
	Convey("A request is moved from a stalled server to another one where that is allowed, before the response and within it", t, func() {
		neverRespond := func(*http.Request, net.Conn) {}
		So(startTwoServers(neverRespond, respondStream(false, 1)).send("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\n")
		stallAfterEvent := func(r *http.Request, conn net.Conn) {
			event := "id: 1\ndata: x\n\n"
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(event), event)
		}
		So(startTwoServers(stallAfterEvent, respondStream(false, 2)).send("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		So(startTwoServers(neverRespond, respondStream(false, 1)).send("/once/", "", "Left", "1500").status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A client that disconnects cancels the request at the server", t, func() {
		ended := make(chan struct{})
		fleet := newTestFleet(t)
		fleet.addServer("s0", func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\ndata: x\n\n", r.Header.Get("Id"))
			_, _ = conn.Read(make([]byte, 1))
			close(ended)
		})
		fleet.startGateway()
		conn, err := net.Dial("tcp", fleet.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		_, err = bufio.NewReader(conn).ReadString('x')
		So(err, ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
		<-ended
	})
}
