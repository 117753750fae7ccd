package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// testDialect is a dialect with short names.
type testDialect struct{}

func (testDialect) ReadRequest(r *http.Request) (port.ClientRequest, *apierror.Error) {
	call := port.ClientRequest{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	if _, err := fmt.Sscan(r.Header.Get("Tokens"), &call.TokensIn); err == nil {
		call.DeclaresTokens = true
	}
	var ms int
	if _, err := fmt.Sscan(r.Header.Get("Left"), &ms); err == nil {
		call.Deadline = time.Duration(ms) * time.Millisecond
	}
	return call, nil
}

func (testDialect) SetAttemptHeaders(header http.Header, sending port.AttemptMetadata) {
	header.Del("Key")
	header.Set("Tenant", sending.Tenant)
	header.Set("To", sending.Server)
	header.Set("Last", sending.LastEventID)
}

func (testDialect) ReadResponse(status int, header http.Header) port.ResponseMetadata {
	return port.ResponseMetadata{RequestID: header.Get("Id"), NotExecuted: header.Get("Not-Run") != "", WrongServer: status == http.StatusMisdirectedRequest}
}

func (testDialect) WriteError(w http.ResponseWriter, id string, apiErr *apierror.Error) {
	apierror.WriteError(w, apiErr, id)
}

type testViews struct {
	view    atomic.Pointer[follower.View]
	changed atomic.Pointer[chan struct{}]
	ruling  atomic.Bool
}

func (v *testViews) View() *follower.View     { return v.view.Load() }
func (v *testViews) Changed() <-chan struct{} { return *v.changed.Load() }
func (v *testViews) HasAuthority() bool       { return v.ruling.Load() }
func (v *testViews) FleetNow() time.Time      { return time.Now() }

func (v *testViews) publish(change func(*follower.View)) {
	next := *v.view.Load()
	change(&next)
	next.State.Version++
	next.Index = next.State.Index()
	v.view.Store(&next)
	fresh := make(chan struct{})
	close(*v.changed.Swap(&fresh))
}

type testAdmitter struct {
	refused     atomic.Bool
	lastTimeout atomic.Int64 // of the last request, nanoseconds
}

func (a *testAdmitter) Admit(_ context.Context, _ string, _ float64, _ quota.Terms, timeout time.Duration) quota.Decision {
	a.lastTimeout.Store(int64(timeout))
	if a.refused.Load() {
		return quota.Decision{Code: apierror.QuotaExceeded, RetryAfter: 700 * time.Millisecond}
	}
	return quota.Decision{Pass: true}
}

// testFleet is a gateway with emulated servers.
type testFleet struct {
	t        *testing.T
	views    *testViews
	admitter *testAdmitter
	gateway  *Gateway
	address  string
	servers  map[string]*wire.ServerStatus
	clock    clock.Clock // the machine's when nil
}

// endlessGraceClock is the machine's clock on which startupGrace never ends.
type endlessGraceClock struct{ clock.Clock }

func (c endlessGraceClock) After(d time.Duration) <-chan time.Time {
	if d == startupGrace {
		return nil
	}
	return c.Clock.After(d)
}

// serverScript answers one request of an emulated server.
type serverScript func(r *http.Request, conn net.Conn)

func (s *testFleet) addServer(name string, answer serverScript) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					answer(r, conn)
				}
			}()
		}
	}()
	s.servers[name] = &wire.ServerStatus{Name: name, Address: listener.Addr().String(), Services: []string{"pool"},
		Reachable: true, State: wire.ServerState_SERVER_STATE_READY, Region: "north", Zone: "z"}
}

func newTestFleet(t *testing.T) *testFleet {
	s := &testFleet{t: t, views: &testViews{}, admitter: &testAdmitter{}, servers: map[string]*wire.ServerStatus{}}
	state := statemachine.State{Version: 1, Sheet: &sheet.Sheet{
		Services: map[string]sheet.Service{"pool": {Kind: sheet.KindHTTP}},
		Tenants:  map[string]sheet.Tenant{"press": {Rate: 10, KeyHashes: []string{sheet.HashKey("k")}}},
		Routes: map[string]sheet.Route{
			"safe":   {Host: "h", Prefix: "/safe/", Kind: sheet.RouteSafe, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"unsafe": {Host: "h", Prefix: "/unsafe/", Kind: sheet.RouteUnsafe, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"stream": {Host: "h", Prefix: "/stream/", Kind: sheet.RouteStream, TimeoutMS: 5000, Attempts: 2, Resumable: true, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"once":   {Host: "h", Prefix: "/once/", Kind: sheet.RouteStream, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"public": {Host: "h", Prefix: "/public/", Kind: sheet.RouteSafe, TimeoutMS: 5000, Public: true, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"far":    {Host: "h", Prefix: "/far/", Kind: sheet.RouteSafe, TimeoutMS: 5000, Homes: []string{"south"}, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
		},
		Limits: &sheet.ClientLimits{BodyBytes: 1000},
	}}
	s.views.view.Store(&follower.View{State: state, Index: state.Index(), Servers: map[string]*wire.ServerStatus{}})
	changed := make(chan struct{})
	s.views.changed.Store(&changed)
	s.views.ruling.Store(true)
	return s
}

// startGateway starts the gateway with the servers added so far.
func (s *testFleet) startGateway() *testFleet {
	var err error
	if s.clock == nil {
		s.clock = clock.System()
	}
	s.gateway, err = New(Config{Balance: balance.Config{Self: "f", Region: "north", Zone: "z", RetrySlack: 100}},
		testDialect{}, s.views, s.admitter, s.clock, events.Discard, prometheus.NewRegistry())
	if err != nil {
		s.t.Fatal(err)
	}
	s.views.publish(func(v *follower.View) { v.Servers = s.servers })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go func() { _ = s.gateway.Serve(ctx) }()
	go func() { _ = s.gateway.Listen(ctx, listener) }()
	return s
}

type response struct {
	status int
	header http.Header
	body   string
	broken bool
}

func (s *testFleet) send(path, body string, headers ...string) response {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Id", "id-1")
	request.Header.Set("Key", "k")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return response{broken: true}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, string(data), err != nil}
}

func respond(body string) serverScript {
	return func(r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
	}
}

func closeConnection(_ *http.Request, conn net.Conn) { _ = conn.Close() }

func respondStatus(status, headers string) serverScript {
	return func(r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"), headers)
	}
}

// respondStream sends events of some ids, and then ends the body, or closes the
// connection inside an event.
func respondStream(broken bool, ids ...int) serverScript {
	return func(r *http.Request, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), r.Header.Get("To"))
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if broken {
			_, _ = io.WriteString(conn, "9\r\nid: 99\nda\r\n")
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// firstThen handles the first request at any of its servers by one script, and
// all later ones by another.
func firstThen(first, later serverScript) serverScript {
	var count atomic.Int64
	return func(r *http.Request, conn net.Conn) {
		if count.Add(1) == 1 {
			first(r, conn)
			return
		}
		later(r, conn)
	}
}

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
			s.views.ruling.Store(false)
			got := s.send("/nowhere/", "", "Key", "wrong")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			s.views.ruling.Store(true)
			s.views.publish(func(v *follower.View) { v.State.Sheet = nil })
			So(s.send("/nowhere/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

func TestAuthorityAfterStart(t *testing.T) {
	Convey("A request that arrives before a node has its first lease waits for it", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.views.ruling.Store(false)
		s.clock = endlessGraceClock{clock.System()}
		s.startGateway()
		answers := make(chan response, 1)
		go func() { answers <- s.send("/safe/", "") }()
		for s.gateway.inFlight.Load() == 0 {
			runtime.Gosched()
		}
		s.views.ruling.Store(true)
		So((<-answers).status, ShouldEqual, http.StatusOK)
	})
}

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

func TestStreams(t *testing.T) {
	two := func(first, later serverScript) *testFleet {
		s, both := newTestFleet(t), firstThen(first, later)
		s.addServer("s0", both)
		s.addServer("s1", both)
		return s.startGateway()
	}
	Convey("A resumable stream is resumed at another server after its last complete event, under the first server's header", t, func() {
		later := make(chan *http.Request, 1)
		s := two(respondStream(true, 1, 2), func(r *http.Request, conn net.Conn) { later <- r; respondStream(false, 3, 4)(r, conn) })
		got := s.send("/stream/", "")
		So(got.broken, ShouldBeFalse)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
		r := <-later
		So(r.Header.Get("Last"), ShouldEqual, "2")
		So(got.header.Get("Seal"), ShouldNotEqual, r.Header.Get("To"))
	})
	Convey("A stream that may not be executed twice breaks where its server broke it", t, func() {
		got := two(respondStream(true, 1), respondStream(false, 2)).send("/once/", "")
		So(got.broken, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\n")
	})
	Convey("A resumable stream breaks when its attempts are exhausted", t, func() {
		got := two(respondStream(true, 1), respondStream(true, 2)).send("/stream/", "")
		So(got.broken, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	})
	Convey("Bytes after the last event are relayed when the response's framing shows that it is complete", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("id: 1\ndata: x\n\ndata: tail"))
		s.startGateway()
		So(s.send("/once/", "").body, ShouldEqual, "id: 1\ndata: x\n\ndata: tail")
	})
	Convey("A stalled server is abandoned for another where that is allowed, before its response and within it", t, func() {
		never := func(*http.Request, net.Conn) {}
		So(two(never, respondStream(false, 1)).send("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\n")
		halts := func(r *http.Request, conn net.Conn) {
			event := "id: 1\ndata: x\n\n"
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(event), event)
		}
		So(two(halts, respondStream(false, 2)).send("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		So(two(never, respondStream(false, 1)).send("/once/", "", "Left", "1500").status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A client that disconnects cancels the request at the server", t, func() {
		ended := make(chan struct{})
		s := newTestFleet(t)
		s.addServer("s0", func(r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\ndata: x\n\n", r.Header.Get("Id"))
			_, _ = conn.Read(make([]byte, 1))
			close(ended)
		})
		s.startGateway()
		conn, err := net.Dial("tcp", s.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		_, err = bufio.NewReader(conn).ReadString('x')
		So(err, ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
		<-ended
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

func TestServiceWeights(t *testing.T) {
	Convey("Each service of a route gets requests by its weight", t, func() {
		route := &sheet.NamedRoute{Route: sheet.Route{Splits: []sheet.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
		counts := map[string]int{}
		for i := range 5000 {
			q := &request{admission: admission{route: route}, call: port.ClientRequest{ID: fmt.Sprintf("%016x", i*2654435761)}}
			counts[q.selectService()]++
		}
		So(counts["b"], ShouldBeBetween, 420, 580)
		So(counts["a"]+counts["b"], ShouldEqual, 5000)
	})
}

func TestEventSplitter(t *testing.T) {
	Convey("Complete events are returned however the bytes are chunked", t, func() {
		text := "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda"
		for size := 1; size <= len(text); size++ {
			var s eventSplitter
			out := ""
			for at := 0; at < len(text); at += size {
				out += string(s.add([]byte(text[at:min(at+size, len(text))])))
			}
			So(out, ShouldEqual, strings.TrimSuffix(text, "id: 3\nda"))
			So(s.lastID, ShouldEqual, "2")
			So(string(s.incomplete()), ShouldEqual, "id: 3\nda")
		}
	})
}

func TestUrgency(t *testing.T) {
	Convey("A tenant's priority takes precedence over the route's, within the urgencies that servers know", t, func() {
		So(urgency(0, 2), ShouldBeLessThan, urgency(1, 0))
		So(urgency(0, 0), ShouldBeLessThan, urgency(0, 1))
		So(urgency(50, 50), ShouldEqual, maxUrgency)
	})
}

func TestQuota(t *testing.T) {
	Convey("Less urgent requests may use less of a quota, except for small ones", t, func() {
		quota, tenant := QuotaPolicy{Fraction: 0.9, ReservePerStep: 0.05}, sheet.Tenant{Rate: 100_000}
		So(quota.fraction(5000, tenant, 0), ShouldEqual, 0.9)
		So(quota.fraction(5000, tenant, 2), ShouldAlmostEqual, 0.8)
		So(quota.fraction(5000, tenant, 99), ShouldAlmostEqual, 0.75)
		So(quota.fraction(200, tenant, 2), ShouldEqual, 0.9)
	})
}

func TestDrain(t *testing.T) {
	Convey("A draining node is not ready, serves late clients, and ends when no request is in flight", t, func() {
		s := newTestFleet(t)
		s.addServer("s0", respond("ok"))
		s.startGateway()
		s.gateway.config.DrainDelay = DrainDelay{Min: 100 * time.Millisecond, Max: 300 * time.Millisecond, IdleFor: 50 * time.Millisecond}
		drained := make(chan error, 1)
		go func() { drained <- s.gateway.Drain(context.Background()) }()
		for s.gateway.Ready() == nil {
			_ = s.send("/safe/", "")
		}
		So(s.gateway.Ready().Code, ShouldEqual, apierror.FrontLeaving)
		So(<-drained, ShouldBeNil)
		So(s.send("/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
	})
}
