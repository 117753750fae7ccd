package front

import (
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/node/follower"
)

func TestServersThatDoNotRespond(t *testing.T) {
	const second = time.Second
	rows := []struct {
		name, kind    string
		prefill       float64
		reportedAfter time.Duration
		code          apierror.Code
		answeredAfter time.Duration
		runs          int
	}{
		{"a prompt is retried as soon as health checks report the server as unreachable", "model", 0, 2 * second, 0, 2 * second, 2},
		{"a prompt is retried once the server's load cannot account for the delay", "model", 100, 30 * second, 0, second, 2},
		{"a prompt waits for the prefill of the requests before it", "model", 6, 30 * second, 0, 3 * second, 2},
		{"a prompt is retried after the default time-out if the server reports no load", "model", 0, 30 * second, 0, 10 * second, 2},
		{"a one-shot call gets outcome_unknown as soon as health checks report the server as unreachable, and is not retried", "web", 0, 2 * second, apierror.OutcomeUnknown, 2 * second, 1},
	}
	for _, row := range rows {
		Convey("When a server stops responding before it answers, "+row.name, t, func() {
			inBubble(t, func(t *testing.T) {
				var first atomic.Pointer[string]
				s, good := &fakeServer{}, streamingServer(1, 0)
				s.respond = func(conn net.Conn, request *http.Request, id string) {
					name := strings.TrimSuffix(request.Host, ":1")
					s.countRun(id)
					if first.CompareAndSwap(nil, &name) {
						_, _ = conn.Read(make([]byte, 1))
						return
					}
					good.respond(conn, request, id)
				}
				f := newFixture(t, row.kind, 8, s, s)
				defer f.stop()
				f.views.publish(func(v *follower.View) {
					v.Servers = maps.Clone(v.Servers)
					for name, status := range v.Servers {
						v.Servers[name] = proto.CloneOf(status)
						v.Servers[name].PrefillPerSecond = row.prefill
					}
				})
				synctest.Wait()
				caller, began := f.connect(), time.Now()
				if row.kind == "model" {
					caller.prompt("r1", time.Minute)
				} else {
					caller.send("GET", "/v1/call/orders/", "r1", "", "")
				}
				synctest.Wait()
				time.AfterFunc(row.reportedAfter, func() {
					f.views.publish(func(v *follower.View) {
						v.Servers = maps.Clone(v.Servers)
						v.Servers[*first.Load()] = proto.CloneOf(v.Servers[*first.Load()])
						v.Servers[*first.Load()].Reachable = false
					})
				})
				got := caller.readResponse()
				f.checkEqual("answer", []any{got.code, got.complete, time.Since(began), s.runs("r1")}, []any{row.code, true, row.answeredAfter, row.runs})
			})
		})
	}
}
