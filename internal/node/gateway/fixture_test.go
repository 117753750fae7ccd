package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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

// testDialect is a port.Dialect with short header names.
type testDialect struct{}

func (testDialect) ReadRequest(r *http.Request) (port.ClientRequest, *apierror.Error) {
	call := port.ClientRequest{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	if _, err := fmt.Sscan(r.Header.Get("Tokens"), &call.PromptTokens); err == nil {
		call.DeclaresTokens = true
	}
	var ms int
	if _, err := fmt.Sscan(r.Header.Get("Left"), &ms); err == nil {
		call.Timeout = time.Duration(ms) * time.Millisecond
	}
	return call, nil
}

func (testDialect) SetAttemptHeaders(header http.Header, attempt port.AttemptMetadata) {
	header.Del("Key")
	header.Set("Tenant", attempt.Tenant)
	header.Set("To", attempt.Server)
	header.Set("Last", attempt.LastEventID)
}

func (testDialect) ReadResponse(status int, header http.Header) port.ResponseMetadata {
	return port.ResponseMetadata{RequestID: header.Get("Id"), NotExecuted: header.Get("Not-Run") != "", WrongServer: status == http.StatusMisdirectedRequest}
}

func (testDialect) WriteError(w http.ResponseWriter, id string, apiErr *apierror.Error) {
	apierror.WriteError(w, apiErr, id)
}

type testViews struct {
	view       atomic.Pointer[follower.View]
	changed    atomic.Pointer[chan struct{}]
	authorized atomic.Bool
}

func (v *testViews) View() *follower.View { return v.view.Load() }

func (v *testViews) Changed() <-chan struct{} { return *v.changed.Load() }

func (v *testViews) HasAuthority() bool { return v.authorized.Load() }

func (v *testViews) FleetNow() time.Time { return time.Now() }

func (v *testViews) publish(change func(*follower.View)) {
	next := *v.view.Load()
	change(&next)
	next.State.Version++
	next.Index = next.State.Index()
	v.view.Store(&next)
	nextChanged := make(chan struct{})
	close(*v.changed.Swap(&nextChanged))
}

type testAdmitter struct {
	refused     atomic.Bool
	lastTimeout atomic.Int64              // timeout of the last request, in nanoseconds
	wait        func(ctx context.Context) // called before the decision if not nil
}

func (a *testAdmitter) Admit(ctx context.Context, _ string, _ float64, _ quota.Allowance, timeout time.Duration) quota.Decision {
	if a.wait != nil {
		a.wait(ctx)
		return quota.Decision{Code: apierror.NoMajority}
	}
	a.lastTimeout.Store(int64(timeout))
	if a.refused.Load() {
		return quota.Decision{Code: apierror.QuotaExceeded, RetryAfter: 700 * time.Millisecond}
	}
	return quota.Decision{Allowed: true}
}

// testFleet is a gateway with emulated servers.
type testFleet struct {
	t        *testing.T
	views    *testViews
	admitter *testAdmitter
	gateway  *Gateway
	address  string
	servers  map[string]*wire.ServerStatus
	clock    clock.Clock // the system clock if nil
	// stopServing ends the gateway's services and its listener.
	stopServing context.CancelFunc
	// retrySlack is the fixed part of the gateway's retry budget.
	retrySlack float64
}

// endlessGraceClock is the system clock, except that startupGrace never expires.
type endlessGraceClock struct{ clock.Clock }

func (c endlessGraceClock) After(d time.Duration) <-chan time.Time {
	if d == startupGrace {
		return nil
	}
	return c.Clock.After(d)
}

// serverScript handles one request to an emulated server.
type serverScript func(r *http.Request, conn net.Conn)

func (f *testFleet) addServer(name string, script serverScript) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					script(r, conn)
				}
			}()
		}
	}()
	f.servers[name] = &wire.ServerStatus{Name: name, Address: listener.Addr().String(), Services: []string{"pool"},
		Reachable: true, State: wire.ServerState_SERVER_STATE_READY, Region: "north", Zone: "z"}
}

func newTestFleet(t *testing.T) *testFleet {
	fleet := &testFleet{t: t, views: &testViews{}, admitter: &testAdmitter{}, servers: map[string]*wire.ServerStatus{}, retrySlack: 100}
	state := statemachine.State{Version: 1, Sheet: &sheet.Sheet{
		Services: map[string]sheet.Service{"pool": {Kind: sheet.KindHTTP}},
		Tenants:  map[string]sheet.Tenant{"press": {Rate: 10, KeyHashes: []string{sheet.HashKey("k")}}},
		Routes: map[string]sheet.Route{
			"safe":   {Host: "h", Prefix: "/safe/", Kind: sheet.RouteSafe, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"unsafe": {Host: "h", Prefix: "/unsafe/", Kind: sheet.RouteUnsafe, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"stream": {Host: "h", Prefix: "/stream/", Kind: sheet.RouteStream, TimeoutMS: 5000, Attempts: 2, Resumable: true, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"once":   {Host: "h", Prefix: "/once/", Kind: sheet.RouteStream, TimeoutMS: 5000, Attempts: 2, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"public": {Host: "h", Prefix: "/public/", Kind: sheet.RouteSafe, TimeoutMS: 5000, Public: true, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
			"far":    {Host: "h", Prefix: "/far/", Kind: sheet.RouteSafe, TimeoutMS: 5000, AllowedRegions: []string{"south"}, Splits: []sheet.Split{{Service: "pool", Weight: 1}}},
		},
		Limits: &sheet.ClientLimits{BodyBytes: 1000},
	}}
	fleet.views.view.Store(&follower.View{State: state, Index: state.Index(), Servers: map[string]*wire.ServerStatus{}})
	changed := make(chan struct{})
	fleet.views.changed.Store(&changed)
	fleet.views.authorized.Store(true)
	return fleet
}

// startGateway starts the gateway with the servers added so far.
func (f *testFleet) startGateway() *testFleet {
	var err error
	if f.clock == nil {
		f.clock = clock.System()
	}
	f.gateway, err = New(Config{Balance: balance.Config{Self: "f", Region: "north", Zone: "z", RetrySlack: f.retrySlack}},
		testDialect{}, f.views, f.admitter, f.clock, events.Discard, prometheus.NewRegistry())
	if err != nil {
		f.t.Fatal(err)
	}
	f.views.publish(func(v *follower.View) { v.Servers = f.servers })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.stopServing = cancel
	go func() { _ = f.gateway.Serve(ctx) }()
	go func() { _ = f.gateway.Listen(ctx, listener) }()
	return f
}

type response struct {
	status int
	header http.Header
	body   string
	broken bool
}

func (f *testFleet) send(path, body string, headers ...string) response {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.address+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
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

// respondStream sends events with the given ids, and then ends the body or, if broken is
// set, closes the connection within an event.
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

// firstThen returns a script that several servers can share. It handles the first request
// to any of them with the script first, and all others with later.
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
