package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/node/follower"
)

// pauseDuration is longer than the stall timeout of each test route.
const pauseDuration = 2 * minStallTimeout

// staysConnected sends nothing for pauseDuration and reports whether the gateway kept the
// connection open.
func staysConnected(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(pauseDuration))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// pauseBeforeResponse pauses for pauseDuration before the response.
func pauseBeforeResponse(r *http.Request, conn net.Conn) {
	if staysConnected(conn) {
		respondStream(false, 1)(r, conn)
	}
}

// pauseInStream pauses for pauseDuration between the first event and the second.
func pauseInStream(r *http.Request, conn net.Conn) {
	event := func(id int) {
		text := fmt.Sprintf("id: %d\ndata: x\n\n", id)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
	event(1)
	if !staysConnected(conn) {
		return
	}
	event(2)
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func TestStalledServerWithoutReplacement(t *testing.T) {
	const completeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	startOneServer := func(script serverScript) *testFleet {
		fleet := newTestFleet(t)
		fleet.addServer("s0", script)
		return fleet.startGateway()
	}
	Convey("A request stays with a stalled server while there is no other server", t, func() {
		got := startOneServer(pauseInStream).send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, completeStream)
		got = startOneServer(pauseBeforeResponse).send("/stream/", "")
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\n")
	})
	Convey("A request stays with a stalled server while the retry budget is exhausted", t, func() {
		fleet := newTestFleet(t)
		fleet.retrySlack = 1e-9
		fleet.addServer("s0", pauseInStream)
		fleet.addServer("s1", pauseInStream)
		got := fleet.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, completeStream)
	})
	Convey("A request stays with a stalled server while the node must not send it to another one", t, func() {
		revocations := map[string]func(fleet *testFleet){
			"without authority": func(fleet *testFleet) { fleet.views.authorized.Store(false) },
			"after a change of the route": func(fleet *testFleet) {
				fleet.views.publish(func(v *follower.View) {
					changed := *v.State.Sheet
					changed.Routes = map[string]sheet.Route{}
					v.State.Sheet = &changed
				})
			},
		}
		for name, revoke := range revocations {
			Convey(name, func() {
				var fleet *testFleet
				var requests atomic.Int32
				script := func(r *http.Request, conn net.Conn) {
					if requests.Add(1) == 1 {
						revoke(fleet)
					}
					pauseInStream(r, conn)
				}
				fleet = newTestFleet(t)
				fleet.addServer("s0", script)
				fleet.addServer("s1", script)
				got := fleet.startGateway().send("/stream/", "")
				So(got.broken, ShouldBeFalse)
				So(got.body, ShouldEqual, completeStream)
				So(requests.Load(), ShouldEqual, 1)
			})
		}
	})
	Convey("An aborted stream is resumed after a configuration change that does not affect its route", t, func() {
		var fleet *testFleet
		publishAndBreak := func(r *http.Request, conn net.Conn) {
			fleet.views.publish(func(v *follower.View) {
				changed := *v.State.Sheet
				v.State.Sheet = &changed
			})
			respondStream(true, 1)(r, conn)
		}
		script := firstThen(publishAndBreak, respondStream(false, 2))
		fleet = newTestFleet(t)
		fleet.addServer("s0", script)
		fleet.addServer("s1", script)
		got := fleet.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, completeStream)
	})
}

// TestStalledStreamIsNotGivenUpForAServerThatRefusesIt guards against a cut stream whose server was only slow.
func TestStalledStreamIsNotGivenUpForAServerThatRefusesIt(t *testing.T) {
	refusals := map[string]serverScript{
		"reports that it did not execute the request": respondStatus("503 Full", "Not-Run: 1\r\n"),
		"closes the connection":                       closeConnection,
		"does not respond":                            func(_ *http.Request, conn net.Conn) { staysConnected(conn); staysConnected(conn) },
	}
	for name, refusal := range refusals {
		Convey("A stalled stream is whole if the other server "+name, t, func() {
			fleet := newTestFleet(t)
			script := firstThen(pauseInStream, refusal)
			fleet.addServer("s0", script)
			fleet.addServer("s1", script)
			got := fleet.startGateway().send("/stream/", "")
			So(got.broken, ShouldBeFalse)
			So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		})
	}
}

// TestBrokenStreamIsContinuedByTheServerBeingAsked guards against a third request, or none, when a server breaks during the search for its replacement.
func TestBrokenStreamIsContinuedByTheServerBeingAsked(t *testing.T) {
	Convey("A stalled server that breaks the stream off is replaced by the server that was asked before", t, func() {
		fleet := newTestFleet(t)
		asked := make(chan struct{})
		broken := make(chan struct{})
		var requests atomic.Int32
		breakWhenOtherIsAsked := func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			_, _ = io.WriteString(conn, "f\r\nid: 1\ndata: x\n\n\r\n")
			<-asked
			_ = conn.Close()
			close(broken)
		}
		continueAfterBreak := func(r *http.Request, conn net.Conn) {
			close(asked)
			<-broken
			respondStream(false, 2)(r, conn)
		}
		script := firstThen(breakWhenOtherIsAsked, continueAfterBreak)
		counted := func(r *http.Request, conn net.Conn) {
			requests.Add(1)
			script(r, conn)
		}
		for _, name := range []string{"s0", "s1", "s2"} {
			fleet.addServer(name, counted)
		}
		got := fleet.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		So(requests.Load(), ShouldEqual, 2)
	})
}

// TestServerOfAnEndedSearchCanStillResumeTheStream guards against a cut stream when the watched server sends data during the search and breaks later.
func TestServerOfAnEndedSearchCanStillResumeTheStream(t *testing.T) {
	Convey("A server whose request was dropped because the stalled one went on can continue the stream after a break", t, func() {
		asked := make(chan struct{})
		dropped := make(chan struct{})
		event := func(conn net.Conn, id int) {
			text := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		}
		goOnAndBreak := func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			event(conn, 1)
			<-asked
			event(conn, 2)
			<-dropped
			_ = conn.Close()
		}
		awaitDrop := func(_ *http.Request, conn net.Conn) {
			close(asked)
			_, _ = conn.Read(make([]byte, 1))
			close(dropped)
		}
		script := firstThen(goOnAndBreak, firstThen(awaitDrop, respondStream(false, 3)))
		fleet := newTestFleet(t)
		fleet.addServer("s0", script)
		fleet.addServer("s1", script)
		got := fleet.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n")
	})
}

func TestStallWatch(t *testing.T) {
	Convey("Given a watched attempt on one of two servers", t, func() {
		fleet := newTestFleet(t)
		fleet.addServer("s0", respond("ok"))
		fleet.addServer("s1", respond("ok"))
		fleet.startGateway()
		httpRequest, err := http.NewRequest(http.MethodPost, "http://h/stream/", nil)
		So(err, ShouldBeNil)
		q := &request{gateway: fleet.gateway, http: httpRequest, arrived: time.Now()}
		q.call.Key = "k"
		So(q.matchRouteAndTenant(fleet.views.View().Index), ShouldBeNil)
		So(q.prepareSelection(), ShouldBeNil)
		q.excludeServer(upstream.Server{Name: "s0"})
		attemptCancelled := false
		watch := q.watchStall(context.Background(), 1, "", false, func() { attemptCancelled = true })
		Convey("the stall timeout cancels it in favour of the other server", func() {
			watch.findReplacement()
			So(attemptCancelled, ShouldBeTrue)
			So(q.stopStallWatch(watch, false), ShouldBeTrue)
			So(q.replacement.server.Name, ShouldEqual, "s1")
			q.releaseReplacement()
		})
		Convey("a timeout that expires just after the watch was stopped does not cancel it", func() {
			So(q.stopStallWatch(watch, false), ShouldBeFalse)
			watch.findReplacement()
			So(attemptCancelled, ShouldBeFalse)
		})
		Convey("it is not cancelled if the server sends data while a replacement is being requested", func() {
			watch.state.Store(stallSearching)
			watch.recordProgress()
			watch.finishSearch(watch.requestReplacement(context.WithCancel(context.Background())))
			So(attemptCancelled, ShouldBeFalse)
			So(watch.state.Load(), ShouldEqual, stallWatching)
			So(q.stopStallWatch(watch, false), ShouldBeFalse)
		})
	})
	Convey("An attempt after which no other server may be tried is not watched", t, func() {
		fleet := newTestFleet(t).startGateway()
		route, _ := fleet.views.View().Index.Route("h", "/once/")
		q := &request{gateway: fleet.gateway, admission: admission{route: route}}
		So(q.watchStall(context.Background(), 1, "", false, nil), ShouldBeNil)
	})
}
