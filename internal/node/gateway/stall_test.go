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

// silentFor is longer than any stall time-out of the test routes.
const silentFor = 2 * minStallTimeout

// staysConnected sends nothing for silentFor, and reports whether the gateway kept
// the connection.
func staysConnected(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(silentFor))
	_, err := conn.Read(make([]byte, 1))
	_ = conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// pauseBeforeResponse answers after a silence.
func pauseBeforeResponse(r *http.Request, conn net.Conn) {
	if staysConnected(conn) {
		respondStream(false, 1)(r, conn)
	}
}

// pauseInStream is silent between the first event and the second.
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
	const wholeStream = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	one := func(script serverScript) *testFleet {
		s := newTestFleet(t)
		s.addServer("s0", script)
		return s.startGateway()
	}
	Convey("A silent server keeps its request while there is no other server", t, func() {
		got := one(pauseInStream).send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream)
		got = one(pauseBeforeResponse).send("/stream/", "")
		So(got.status, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\n")
	})
	Convey("A silent server keeps its request while the retry budget is spent", t, func() {
		s := newTestFleet(t)
		s.retrySlack = 1e-9
		s.addServer("s0", pauseInStream)
		s.addServer("s1", pauseInStream)
		got := s.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream)
	})
	Convey("A silent server keeps its request while the node may not send it to another one", t, func() {
		withdrawals := map[string]func(s *testFleet){
			"without authority": func(s *testFleet) { s.views.authorized.Store(false) },
			"after a change of the route": func(s *testFleet) {
				s.views.publish(func(v *follower.View) {
					changed := *v.State.Sheet
					changed.Routes = map[string]sheet.Route{}
					v.State.Sheet = &changed
				})
			},
		}
		for name, withdraw := range withdrawals {
			Convey(name, func() {
				var s *testFleet
				var requests atomic.Int32
				script := func(r *http.Request, conn net.Conn) {
					if requests.Add(1) == 1 {
						withdraw(s)
					}
					pauseInStream(r, conn)
				}
				s = newTestFleet(t)
				s.addServer("s0", script)
				s.addServer("s1", script)
				got := s.startGateway().send("/stream/", "")
				So(got.broken, ShouldBeFalse)
				So(got.body, ShouldEqual, wholeStream)
				So(requests.Load(), ShouldEqual, 1)
			})
		}
	})
	Convey("A change of the configuration that leaves the route as it was lets a broken stream resume", t, func() {
		var s *testFleet
		breaks := func(r *http.Request, conn net.Conn) {
			s.views.publish(func(v *follower.View) {
				changed := *v.State.Sheet
				v.State.Sheet = &changed
			})
			respondStream(true, 1)(r, conn)
		}
		script := firstThen(breaks, respondStream(false, 2))
		s = newTestFleet(t)
		s.addServer("s0", script)
		s.addServer("s1", script)
		got := s.startGateway().send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, wholeStream)
	})
}

func TestStallWatch(t *testing.T) {
	Convey("Given a watched attempt at one of two servers", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.addServer("s1", respond("ok"))
		s.startGateway()
		sent, err := http.NewRequest(http.MethodPost, "http://h/stream/", nil)
		So(err, ShouldBeNil)
		q := &request{gateway: s.gateway, http: sent, arrived: time.Now()}
		q.call.Key = "k"
		So(q.match(s.views.View().Index), ShouldBeNil)
		So(q.prepareSelection(), ShouldBeNil)
		q.exclude(upstream.Server{Name: "s0"})
		abandoned := false
		watch := q.watchStall(context.Background(), 1, func() { abandoned = true })
		Convey("the stall time-out ends it for the other server", func() {
			watch.replace()
			So(abandoned, ShouldBeTrue)
			replacement, replaced := watch.stop()
			So(replaced, ShouldBeTrue)
			So(replacement.server.Name, ShouldEqual, "s1")
		})
		Convey("one that has been answered is not ended by a time-out that passed at that moment", func() {
			_, replaced := watch.stop()
			So(replaced, ShouldBeFalse)
			watch.replace()
			So(abandoned, ShouldBeFalse)
		})
		Convey("one that progresses while another server is looked for is not ended", func() {
			watch.state.Store(stallReplacing)
			watch.progress()
			watch.finishSearch(assignment{})
			So(abandoned, ShouldBeFalse)
			So(watch.state.Load(), ShouldEqual, stallWatching)
			_, replaced := watch.stop()
			So(replaced, ShouldBeFalse)
		})
	})
	Convey("An attempt after which no other server may be tried is not watched", t, func() {
		s := newTestFleet(t).startGateway()
		route, _ := s.views.View().Index.Route("h", "/once/")
		q := &request{gateway: s.gateway, admission: admission{route: route}}
		So(q.watchStall(context.Background(), 1, nil), ShouldBeNil)
	})
}
