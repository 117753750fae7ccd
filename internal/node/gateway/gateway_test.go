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

// plain is a dialect with short names.
type plain struct{}

func (plain) ReadRequest(r *http.Request) (port.ClientRequest, *apierror.Error) {
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

func (plain) SetAttemptHeaders(header http.Header, sending port.AttemptMetadata) {
	header.Del("Key")
	header.Set("Tenant", sending.Tenant)
	header.Set("To", sending.Server)
	header.Set("Last", sending.LastEventID)
}

func (plain) ReadResponse(status int, header http.Header) port.ResponseMetadata {
	return port.ResponseMetadata{RequestID: header.Get("Id"), NotExecuted: header.Get("Not-Run") != "", WrongServer: status == http.StatusMisdirectedRequest}
}

func (plain) WriteError(w http.ResponseWriter, id string, apiErr *apierror.Error) {
	apierror.WriteError(w, apiErr, id)
}

type fixedViews struct {
	view    atomic.Pointer[follower.View]
	changed atomic.Pointer[chan struct{}]
	ruling  atomic.Bool
}

func (v *fixedViews) View() *follower.View     { return v.view.Load() }
func (v *fixedViews) Changed() <-chan struct{} { return *v.changed.Load() }
func (v *fixedViews) HasAuthority() bool       { return v.ruling.Load() }
func (v *fixedViews) FleetNow() time.Time      { return time.Now() }

func (v *fixedViews) publish(change func(*follower.View)) {
	next := *v.view.Load()
	change(&next)
	next.State.Version++
	next.Index = next.State.Index()
	v.view.Store(&next)
	fresh := make(chan struct{})
	close(*v.changed.Swap(&fresh))
}

type admitter struct {
	refused  atomic.Bool
	patience atomic.Int64 // of the last request, nanoseconds
}

func (a *admitter) Admit(_ context.Context, _ string, _ float64, _ quota.Allowance, patience time.Duration) quota.Decision {
	a.patience.Store(int64(patience))
	if a.refused.Load() {
		return quota.Decision{Code: apierror.QuotaExceeded, RetryAfter: 700 * time.Millisecond}
	}
	return quota.Decision{Allowed: true}
}

// stand is a gateway before stand-in servers.
type stand struct {
	t       *testing.T
	views   *fixedViews
	tally   *admitter
	gateway *Gateway
	address string
	servers map[string]*wire.ServerStatus
	clock   clock.Clock // the machine's when nil
}

// patientClock is the machine's clock on which the hold of a start never ends.
type patientClock struct{ clock.Clock }

func (c patientClock) After(d time.Duration) <-chan time.Time {
	if d == startHold {
		return nil
	}
	return c.Clock.After(d)
}

// script answers one request of a stand-in server.
type script func(r *http.Request, conn net.Conn)

func (s *stand) add(name string, answer script) {
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
				defer conn.Close()
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

func open(t *testing.T) *stand {
	s := &stand{t: t, views: &fixedViews{}, tally: &admitter{}, servers: map[string]*wire.ServerStatus{}}
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

// run starts the gateway before the servers added so far.
func (s *stand) run() *stand {
	var err error
	if s.clock == nil {
		s.clock = clock.System()
	}
	s.gateway, err = New(Config{Balance: balance.Config{Self: "f", Region: "north", Zone: "z", RetrySlack: 100}},
		plain{}, s.views, s.tally, s.clock, events.Discard, prometheus.NewRegistry())
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

type result struct {
	status int
	header http.Header
	body   string
	cut    bool
}

func (s *stand) ask(path, body string, headers ...string) result {
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
		return result{cut: true}
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return result{answer.StatusCode, answer.Header, string(data), err != nil}
}

func whole(body string) script {
	return func(r *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Id"), len(body), body)
	}
}

func breaks(r *http.Request, conn net.Conn) { _ = conn.Close() }

func says(status, headers string) script {
	return func(r *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", status, r.Header.Get("Id"), headers)
	}
}

// stream sends events of some ids, and then either ends or breaks off.
func stream(broken bool, ids ...int) script {
	return func(r *http.Request, conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), r.Header.Get("To"))
		for _, id := range ids {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", id)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if broken {
			_, _ = io.WriteString(conn, "9\r\nid: 99\nda\r\n")
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// either gives the first request that comes to any of its servers to one
// script, and all later ones to another.
func either(first, later script) script {
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
	Convey("Given a gateway before one server", t, func() {
		seen := make(chan *http.Request, 10)
		s := open(t)
		s.add("s0", func(r *http.Request, conn net.Conn) { seen <- r; whole("ok")(r, conn) })
		s.run()
		Convey("the tenant's name replaces whatever the client sent, and the key goes no further", func() {
			got := s.ask("/safe/a%2Fb?q=%20", "body", "Tenant", "other", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2")
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
		Convey("what may not pass is refused with its number, and reaches no server", func() {
			for _, c := range []struct {
				status int
				got    result
			}{
				{http.StatusNotFound, s.ask("/nowhere/", "")},
				{http.StatusUnauthorized, s.ask("/safe/", "", "Key", "")},
				{http.StatusForbidden, s.ask("/safe/", "", "Key", "wrong")},
				{http.StatusRequestEntityTooLarge, s.ask("/safe/", strings.Repeat("x", 1001))},
				{http.StatusServiceUnavailable, s.ask("/far/", "")},
			} {
				So(c.got.status, ShouldEqual, c.status)
				So(c.got.body, ShouldContainSubstring, `"code":`)
			}
			So(len(seen), ShouldEqual, 0)
			So(s.ask("/public/", "", "Key", "wrong").status, ShouldEqual, http.StatusOK)
		})
		Convey("a tenant over its allowance is told when to come back", func() {
			s.tally.refused.Store(true)
			got := s.ask("/safe/", "")
			So(got.status, ShouldEqual, http.StatusTooManyRequests)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		})
		Convey("a node that may not rule, or knows no sheet, promises nothing but to come back", func() {
			s.views.ruling.Store(false)
			got := s.ask("/nowhere/", "", "Key", "wrong")
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
			s.views.ruling.Store(true)
			s.views.publish(func(v *follower.View) { v.State.Sheet = nil })
			So(s.ask("/nowhere/", "").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

func TestStart(t *testing.T) {
	Convey("A request that comes before a node has ruled for the first time waits for it", t, func() {
		s := open(t)
		s.add("s0", whole("ok"))
		s.views.ruling.Store(false)
		s.clock = patientClock{clock.System()}
		s.run()
		answers := make(chan result, 1)
		go func() { answers <- s.ask("/safe/", "") }()
		for s.gateway.inFlight.Load() == 0 {
			runtime.Gosched()
		}
		s.views.ruling.Store(true)
		So((<-answers).status, ShouldEqual, http.StatusOK)
	})
}

func TestAttempts(t *testing.T) {
	two := func(first, later script) *stand {
		s, both := open(t), either(first, later)
		s.add("s0", both)
		s.add("s1", both)
		return s.run()
	}
	Convey("A safe request is sent again after a loss, an unsafe one is not and makes no promise", t, func() {
		So(two(breaks, whole("ok")).ask("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(two(breaks, whole("ok")).ask("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("An unsafe request goes on to another server where the first did not run it", t, func() {
		So(two(says("503 Full", "Not-Run: 1\r\n"), whole("ok")).ask("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(two(says("421 Elsewhere", ""), whole("ok")).ask("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		So(two(says("421 Elsewhere", "Not-Run: 1\r\n"), whole("ok")).ask("/unsafe/", "").status, ShouldEqual, http.StatusOK)
	})
	Convey("Where no server ran it, the client is told when to come back", t, func() {
		full := says("503 Full", "Not-Run: 1\r\n")
		got := two(full, full).ask("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("A failure of the server's own is passed on as it is", t, func() {
		got := two(says("500 Error", "Seal: s\r\n"), whole("ok")).ask("/unsafe/", "")
		So(got.status, ShouldEqual, http.StatusInternalServerError)
		So(got.header.Get("Seal"), ShouldEqual, "s")
	})
	Convey("A server that nobody listens at gets nothing, so the request goes elsewhere", t, func() {
		s := open(t)
		s.add("s0", whole("ok"))
		s.servers["s1"] = &wire.ServerStatus{Name: "s1", Address: "127.0.0.1:1", Services: []string{"pool"}, Reachable: true,
			State: wire.ServerState_SERVER_STATE_READY, Region: "north", Zone: "z"}
		s.run()
		for range 6 {
			So(s.ask("/unsafe/", "").status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("A body that is cut is never passed on as whole", t, func() {
		short := func(r *http.Request, conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nshort", r.Header.Get("Id"))
			_ = conn.Close()
		}
		So(two(short, whole("ok")).ask("/safe/", "").body, ShouldEqual, "ok")
		So(two(short, whole("ok")).ask("/unsafe/", "").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("A request whose time is over is answered at once, by what is known of it", t, func() {
		never := func(*http.Request, net.Conn) {}
		So(two(never, never).ask("/unsafe/", "", "Left", "2000").status, ShouldEqual, http.StatusGatewayTimeout)
	})
}

func TestStreams(t *testing.T) {
	two := func(first, later script) *stand {
		s, both := open(t), either(first, later)
		s.add("s0", both)
		s.add("s1", both)
		return s.run()
	}
	Convey("A resumable stream goes on at another server after its last whole event, under the first one's head", t, func() {
		later := make(chan *http.Request, 1)
		s := two(stream(true, 1, 2), func(r *http.Request, conn net.Conn) { later <- r; stream(false, 3, 4)(r, conn) })
		got := s.ask("/stream/", "")
		So(got.cut, ShouldBeFalse)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n")
		r := <-later
		So(r.Header.Get("Last"), ShouldEqual, "2")
		So(got.header.Get("Seal"), ShouldNotEqual, r.Header.Get("To"))
	})
	Convey("A stream that may not run twice breaks where its server broke it", t, func() {
		got := two(stream(true, 1), stream(false, 2)).ask("/once/", "")
		So(got.cut, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\n")
	})
	Convey("A second break of a resumable stream ends it, as no further attempt is left", t, func() {
		got := two(stream(true, 1), stream(true, 2)).ask("/stream/", "")
		So(got.cut, ShouldBeTrue)
		So(got.body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	})
	Convey("What a stream has after its last event is passed on where the server says that it is whole", t, func() {
		s := open(t)
		s.add("s0", whole("id: 1\ndata: x\n\ndata: tail"))
		s.run()
		So(s.ask("/once/", "").body, ShouldEqual, "id: 1\ndata: x\n\ndata: tail")
	})
	Convey("A server that falls silent is given up where another may go on, before its answer and within it", t, func() {
		never := func(*http.Request, net.Conn) {}
		So(two(never, stream(false, 1)).ask("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\n")
		halts := func(r *http.Request, conn net.Conn) {
			event := "id: 1\ndata: x\n\n"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Id"), len(event), event)
		}
		So(two(halts, stream(false, 2)).ask("/stream/", "").body, ShouldEqual, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
		So(two(never, stream(false, 1)).ask("/once/", "", "Left", "1500").status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("A client that leaves ends the work at the server", t, func() {
		ended := make(chan struct{})
		s := open(t)
		s.add("s0", func(r *http.Request, conn net.Conn) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nid: 1\ndata: x\n\n", r.Header.Get("Id"))
			_, _ = conn.Read(make([]byte, 1))
			close(ended)
		})
		s.run()
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

func TestClientsThatLeave(t *testing.T) {
	dial := func(s *stand, path string) net.Conn {
		conn, err := net.Dial("tcp", s.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: k\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		return conn
	}
	Convey("A client that leaves before the answer begins ends the work at the server, whatever the kind of request", t, func() {
		for _, path := range []string{"/safe/", "/unsafe/", "/once/", "/stream/"} {
			reached, ended := make(chan struct{}), make(chan struct{})
			s := open(t)
			s.add("s0", func(_ *http.Request, conn net.Conn) {
				close(reached)
				_, _ = conn.Read(make([]byte, 1))
				close(ended)
			})
			s.run()
			conn := dial(s, path)
			<-reached
			So(conn.Close(), ShouldBeNil)
			<-ended
		}
	})
	Convey("A request whose client leaves while it waits for room reaches no server", t, func() {
		var reached atomic.Int32
		free := make(chan struct{})
		s := open(t)
		s.add("s0", func(r *http.Request, conn net.Conn) {
			reached.Add(1)
			<-free
			whole("ok")(r, conn)
		})
		s.views.publish(func(v *follower.View) {
			v.State.Sheet.Services["pool"] = sheet.Service{Kind: sheet.KindHTTP, MaxConnections: 1}
			safe := v.State.Sheet.Routes["safe"]
			safe.ObjectiveMS = 4000
			v.State.Sheet.Routes["safe"] = safe
		})
		s.run()
		first := make(chan result, 1)
		go func() { first <- s.ask("/safe/", "") }()
		for reached.Load() == 0 {
			runtime.Gosched()
		}
		So(time.Duration(s.tally.patience.Load()), ShouldEqual, 2*time.Second)
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
		So(s.ask("/safe/", "").status, ShouldEqual, http.StatusOK)
		So(reached.Load(), ShouldEqual, 2)
	})
}

func TestWeights(t *testing.T) {
	Convey("Each part of a split gets its share of the requests", t, func() {
		route := &sheet.NamedRoute{Route: sheet.Route{Splits: []sheet.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
		counts := map[string]int{}
		for i := range 5000 {
			q := &request{route: route, call: port.ClientRequest{ID: fmt.Sprintf("%016x", i*2654435761)}}
			counts[q.split()]++
		}
		So(counts["b"], ShouldBeBetween, 420, 580)
		So(counts["a"]+counts["b"], ShouldEqual, 5000)
	})
}

func TestSplitter(t *testing.T) {
	Convey("Whole events come out however the bytes are cut", t, func() {
		text := "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda"
		for size := 1; size <= len(text); size++ {
			var s splitter
			out := ""
			for at := 0; at < len(text); at += size {
				out += string(s.add([]byte(text[at:min(at+size, len(text))])))
			}
			So(out, ShouldEqual, strings.TrimSuffix(text, "id: 3\nda"))
			So(s.id, ShouldEqual, "2")
			So(string(s.rest()), ShouldEqual, "id: 3\nda")
		}
	})
}

func TestUrgency(t *testing.T) {
	Convey("A tenant's priority goes before the route's, within what servers are told", t, func() {
		So(urgency(0, 2), ShouldBeLessThan, urgency(1, 0))
		So(urgency(0, 0), ShouldBeLessThan, urgency(0, 1))
		So(urgency(50, 50), ShouldEqual, leastUrgent)
	})
}

func TestQuota(t *testing.T) {
	Convey("Less urgent requests have less of an allowance, but for small ones", t, func() {
		quota, tenant := Quota{Part: 0.9, Reserve: 0.05}, sheet.Tenant{Rate: 100_000}
		So(quota.part(5000, tenant, 0), ShouldEqual, 0.9)
		So(quota.part(5000, tenant, 2), ShouldAlmostEqual, 0.8)
		So(quota.part(5000, tenant, 99), ShouldAlmostEqual, 0.75)
		So(quota.part(200, tenant, 2), ShouldEqual, 0.9)
	})
}

func TestDrain(t *testing.T) {
	Convey("A node that is taken away is not ready at once, serves who still comes, and ends when all is done", t, func() {
		s := open(t)
		s.add("s0", whole("ok"))
		s.run()
		s.gateway.config.Linger = Linger{Least: 100 * time.Millisecond, Most: 300 * time.Millisecond, Quiet: 50 * time.Millisecond}
		drained := make(chan error, 1)
		go func() { drained <- s.gateway.Drain(context.Background()) }()
		for s.gateway.Ready() == nil {
			_ = s.ask("/safe/", "")
		}
		So(s.gateway.Ready().Code, ShouldEqual, apierror.FrontLeaving)
		So(<-drained, ShouldBeNil)
		So(s.ask("/safe/", "").status, ShouldEqual, http.StatusServiceUnavailable)
	})
}
