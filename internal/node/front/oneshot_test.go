package front

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
)

func TestOneShotsRunAtMostOnce(t *testing.T) {
	const responseHead = "HTTP/1.1 200 OK\nStepwick-Request-Id: ID\n"
	rows := []struct {
		name   string
		first  func() *fakeServer
		status int
		code   apierror.Code
		runs   int
	}{
		{"sends a complete answer", func() *fakeServer { return respondingServer(responseHead + "Content-Length: 2\n\nok") }, 200, 0, 1},
		{"sends an error status", func() *fakeServer {
			return respondingServer("HTTP/1.1 503 No\nStepwick-Request-Id: ID\nContent-Length: 2\n\nno")
		}, 503, 0, 1},
		{"closes the connection after reading the request", func() *fakeServer { return respondingServer("") }, 502, apierror.OutcomeUnknown, 1},
		{"sends less than Content-Length", func() *fakeServer { return respondingServer(responseHead + "Content-Length: 9\n\nok") }, 502, apierror.OutcomeUnknown, 1},
		{"ends within a chunk", func() *fakeServer { return respondingServer(responseHead + "Transfer-Encoding: chunked\n\n9\nok") }, 502, apierror.OutcomeUnknown, 1},
		{"answers another request", func() *fakeServer {
			return respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: r9\nContent-Length: 2\n\nok")
		}, 502, apierror.OutcomeUnknown, 1},
		{"refuses connections", func() *fakeServer { return &fakeServer{refuseConnections: true} }, 503, apierror.NotExecuted, 0},
	}
	for _, row := range rows {
		for _, method := range []string{"GET", "POST"} {
			Convey("A "+method+" to a server that "+row.name, t, func() {
				inBubble(t, func(t *testing.T) {
					f := newFixture(t, "web", 8, row.first(), row.first(), row.first())
					defer f.stop()
					caller := f.connect()
					caller.send(method, "/v1/call/orders/x", "r1", "Idempotency-Key: a\r\n", "")
					got := caller.readResponse()
					f.checkEqual("answer", []any{got.status, got.code, got.complete}, []any{row.status, row.code, true})
					f.checkEqual("runs", f.runs("r1"), row.runs)
				})
			})
		}
	}
	Convey("A call whose first server refuses the connection is run once by another server", t, func() {
		inBubble(t, func(t *testing.T) {
			good := respondingServer(responseHead + "Content-Length: 2\n\nok")
			f := newFixture(t, "web", 8, &fakeServer{refuseConnections: true}, good)
			defer f.stop()
			caller := f.connect()
			for i := range 4 {
				id := fmt.Sprint("r", i)
				caller.send("POST", "/v1/call/orders/x", id, "", "{}")
				f.checkEqual("answer", caller.readResponse(), response{200, 0, "ok", true})
				f.checkEqual("runs", f.runs(id), 1)
			}
		})
	})
	Convey("An answer that arrives after the deadline is not forwarded, even if timers fire late", t, func() {
		inBubble(t, func(t *testing.T) {
			slow := &fakeServer{}
			f := newFixture(t, "web", 8, slow)
			slow.respond = func(conn net.Conn, _ *http.Request, id string) {
				slow.countRun(id)
				if id == "late" {
					f.clock.offset.Add(int64(20 * time.Second))
				} else {
					<-time.After(3 * time.Second)
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nStepwick-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
			}
			defer f.stop()
			caller, began := f.connect(), time.Now()
			caller.send("GET", "/v1/call/orders/x", "timer", "Stepwick-Deadline-Ms: 2000\r\n", "")
			got := caller.readResponse()
			f.checkEqual("answer", []any{got.code, time.Since(began)}, []any{apierror.OutcomeUnknown, 2 * time.Second})
			caller.send("GET", "/v1/call/orders/x", "late", "Stepwick-Deadline-Ms: 2000\r\n", "")
			f.checkEqual("answer", caller.readResponse().code, apierror.OutcomeUnknown)
		})
	})
}

func TestOneShotsFreeTheirSlots(t *testing.T) {
	Convey("A one-shot call frees its slot regardless of how it ends", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "web", 2, respondingServer(""), &fakeServer{refuseConnections: true}, respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: ID\nContent-Length: 2\n\nok"))
			defer f.stop()
			caller := f.connect()
			for i := range 30 {
				caller.send("GET", "/v1/call/orders/", fmt.Sprint("r", i), "", "")
				caller.readResponse()
			}
			caller.send("GET", "/v1/call/orders/", "gone", "", "")
			_ = caller.conn.Close()
			for name := range f.servers {
				f.checkEqual("in flight at "+name, f.inFlight(name), 0)
			}
		})
	})
}
