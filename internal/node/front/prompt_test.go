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
	completeStream := eventText("r1", 0) + eventText("r1", 1) + finalEventText("r1", 2)
	failingServers := map[string]*fakeServer{
		"refuses connections":   {refuseConnections: true},
		"is busy":               respondingServer("HTTP/1.1 503 Busy\nContent-Length: 15\n\n{\"code\":\"busy\"}"),
		"closes the connection": respondingServer(""),
		"sends the first event of another request": respondingServer("HTTP/1.1 200 OK\nContent-Type: text/event-stream\n\ndata: {\"id\":\"r9\",\"seq\":0}\n\n"),
		"names another request in the header":      respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: r9\nContent-Type: text/event-stream\n\n"),
		"closes before any event":                  respondingServer("HTTP/1.1 200 OK\nContent-Type: text/event-stream\nContent-Length: 0\n\n"),
		"answers with an HTML page":                respondingServer("HTTP/1.1 200 OK\nContent-Type: text/html\nContent-Length: 0\n\n"),
	}
	for name, broken := range failingServers {
		Convey("A prompt whose first server "+name+" is served completely by another", t, func() {
			inBubble(t, func(t *testing.T) {
				good := streamingServer(2, time.Second)
				f := newFixture(t, "model", 8, broken, broken, good)
				defer f.stop()
				caller := f.connect()
				for i := range 3 {
					id := fmt.Sprintf("r%d", i+1)
					caller.prompt(id, time.Minute)
					f.checkEqual("answer", caller.readResponse(), response{200, 0, strings.ReplaceAll(completeStream, "r1", id), true})
					f.checkEqual("runs at the working server", good.runs(id), 1)
				}
			})
		})
	}
	badStreams := map[string]string{
		"closes the stream before the final event": "ev0",
		"repeats an event":                         "ev0ev0",
		"omits an event":                           "ev0ev2",
		"sends an event of another request":        "ev0other",
		"sends a wrong event count":                "ev0end9",
	}
	for name, script := range badStreams {
		Convey("A stream whose server "+name+" after the first event is aborted and not retried", t, func() {
			inBubble(t, func(t *testing.T) {
				text := strings.NewReplacer("ev0", eventText("r1", 0), "ev2", eventText("r1", 2), "other", eventText("r9", 1), "end9", finalEventText("r1", 9)).Replace(script)
				first, second := respondingServer(streamHead+text), respondingServer(streamHead+text)
				f := newFixture(t, "model", 8, first, second)
				defer f.stop()
				caller := f.connect()
				caller.prompt("r1", time.Minute)
				got := caller.readResponse()
				f.checkEqual("status and code", []any{got.status, got.code, got.complete}, []any{200, apierror.StreamAborted, false})
				f.checkEqual("forwarded events", strings.Count(got.body, `"seq"`), 1)
				f.checkEqual("final event", strings.Contains(got.body, `"final":true`), false)
				f.checkEqual("runs", f.runs("r1"), 1)
			})
		})
	}
	Convey("When a server stops responding, the stream is aborted with an error event after the maximum gap between events", t, func() {
		inBubble(t, func(t *testing.T) {
			unresponsive := &fakeServer{}
			unresponsive.respond = func(conn net.Conn, _ *http.Request, id string) {
				_, _ = fmt.Fprint(conn, streamHead+eventText(id, 0))
				_, _ = conn.Read(make([]byte, 1))
			}
			f := newFixture(t, "model", 8, unresponsive)
			defer f.stop()
			caller, began := f.connect(), time.Now()
			caller.prompt("r1", time.Minute)
			got := caller.readResponse()
			f.checkEqual("code", []any{got.code, got.complete, time.Since(began)}, []any{apierror.StreamAborted, false, 5 * time.Second})
		})
	})
	Convey("When every server fails, the prompt is rejected with retry_after_ms", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 8, &fakeServer{refuseConnections: true}, &fakeServer{refuseConnections: true})
			defer f.stop()
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			got := caller.readResponse()
			f.checkEqual("answer", []any{got.status, got.code, got.complete, strings.Contains(got.body, "retry_after_ms")}, []any{503, apierror.StreamNotStarted, true, true})
		})
	})
}
