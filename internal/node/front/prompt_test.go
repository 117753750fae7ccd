package front

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
)

func TestPromptsAreRetriedOnlyBeforeTheirFirstEvent(t *testing.T) {
	whole := eventText("r1", 0) + eventText("r1", 1) + finalEventText("r1", 2)
	bad := map[string]*fakeServer{
		"refuses":                  {refuseConnections: true},
		"is busy":                  respondingServer("HTTP/1.1 503 Busy\nContent-Length: 15\n\n{\"code\":\"busy\"}"),
		"resets":                   respondingServer(""),
		"begins with another's":    respondingServer("HTTP/1.1 200 OK\nContent-Type: text/event-stream\n\ndata: {\"id\":\"r9\",\"seq\":0}\n\n"),
		"names another request":    respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: r9\nContent-Type: text/event-stream\n\n"),
		"closes before any event":  respondingServer("HTTP/1.1 200 OK\nContent-Type: text/event-stream\nContent-Length: 0\n\n"),
		"answers with a mere page": respondingServer("HTTP/1.1 200 OK\nContent-Type: text/html\nContent-Length: 0\n\n"),
	}
	for name, broken := range bad {
		Convey("A prompt whose first server "+name+" is served whole by the other", t, func() {
			inBubble(t, func(t *testing.T) {
				good := streamingServer(2, time.Second)
				f := newFixture(t, "model", 8, broken, broken, good)
				defer f.stop()
				caller := f.connect()
				for i := range 3 {
					id := fmt.Sprintf("r%d", i+1)
					caller.prompt(id, time.Minute)
					f.checkEqual("answer", caller.readResponse(), response{200, 0, strings.ReplaceAll(whole, "r1", id), true})
					f.checkEqual("runs at the good one", good.runs(id), 1)
				}
			})
		})
	}
	cut := map[string]string{
		"closes cleanly too early": "ev0",
		"repeats an event":         "ev0ev0",
		"leaves one out":           "ev0ev2",
		"sends another's":          "ev0other",
		"counts wrong":             "ev0end9",
	}
	for name, script := range cut {
		Convey("A stream whose server "+name+" after the first event is cut, and not tried elsewhere", t, func() {
			inBubble(t, func(t *testing.T) {
				text := strings.NewReplacer("ev0", eventText("r1", 0), "ev2", eventText("r1", 2), "other", eventText("r9", 1), "end9", finalEventText("r1", 9)).Replace(script)
				one, two := respondingServer(streamHead+text), respondingServer(streamHead+text)
				f := newFixture(t, "model", 8, one, two)
				defer f.stop()
				caller := f.connect()
				caller.prompt("r1", time.Minute)
				got := caller.readResponse()
				f.checkEqual("status and code", []any{got.status, got.code, got.complete}, []any{200, apierror.StreamCut, false})
				f.checkEqual("events passed on", strings.Count(got.body, `"seq"`), 1)
				f.checkEqual("an end", strings.Contains(got.body, `"final":true`), false)
				f.checkEqual("runs", f.runs("r1"), 1)
			})
		})
	}
	Convey("A server that goes dark costs the gap's bound, then the stream is cut and its caller told", t, func() {
		inBubble(t, func(t *testing.T) {
			dark := &fakeServer{}
			dark.respond = func(conn net.Conn, _ *http.Request, id string) {
				_, _ = fmt.Fprint(conn, streamHead+eventText(id, 0))
				_, _ = conn.Read(make([]byte, 1))
			}
			f := newFixture(t, "model", 8, dark)
			defer f.stop()
			caller, began := f.connect(), time.Now()
			caller.prompt("r1", time.Minute)
			got := caller.readResponse()
			f.checkEqual("code", []any{got.code, got.complete, time.Since(began)}, []any{apierror.StreamCut, false, 5 * time.Second})
		})
	})
	Convey("When every server fails, the prompt is refused with when to come back", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, &fakeServer{refuseConnections: true}, &fakeServer{refuseConnections: true})
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			got := caller.readResponse()
			f.checkEqual("answer", []any{got.status, got.code, got.complete, strings.Contains(got.body, "retry_after_ms")}, []any{503, apierror.StreamNotBegun, true, true})
		})
	})
}
