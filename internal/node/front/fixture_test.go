package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/wire"
)

// jumpingClock is the system clock plus an offset. Tests increase the offset to
// simulate a pause of the process after which timers have not fired yet.
type jumpingClock struct {
	clock.Clock
	offset atomic.Int64
}

func (c *jumpingClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.offset.Load())) }

type fakeViews struct {
	view         atomic.Pointer[follower.View]
	changed      atomic.Pointer[chan struct{}]
	hasAuthority atomic.Bool
	panicOnce    atomic.Bool // the next call of HasAuthority panics
}

func (v *fakeViews) View() *follower.View { return v.view.Load() }

func (v *fakeViews) HasAuthority() bool {
	if v.panicOnce.CompareAndSwap(true, false) {
		panic("injected by the test")
	}
	return v.hasAuthority.Load()
}

func (v *fakeViews) Changed() <-chan struct{} { return *v.changed.Load() }

func (v *fakeViews) publish(change func(*follower.View)) {
	next := *v.view.Load()
	change(&next)
	v.view.Store(&next)
	fresh := make(chan struct{})
	close(*v.changed.Swap(&fresh))
}

func withKeys(keys ...string) func(*follower.View) {
	return func(v *follower.View) {
		hashes := []string{}
		for _, key := range keys {
			hashes = append(hashes, sheet.HashKey(key))
		}
		v.State.Version++
		v.State.Sheet = &sheet.Sheet{
			Services: map[string]sheet.Service{"chat": {Kind: "model"}, "orders": {Kind: "web", OneShotTokens: 5}},
			Tenants:  map[string]sheet.Tenant{"press": {Rate: 100, Burst: 10, KeyHashes: hashes}},
		}
		v.Index = v.State.Index()
	}
}

type fakeAdmitter struct {
	decide func(tenant string, tokens float64, allowance quota.Allowance) quota.Decision
	wait   time.Duration // before each decision
}

func (f *fakeAdmitter) Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, _ time.Duration) quota.Decision {
	if f.wait > 0 {
		select {
		case <-time.After(f.wait):
		case <-ctx.Done():
			return quota.Decision{Code: apierror.CallerDisconnected}
		}
	}
	if f.decide == nil {
		return quota.Decision{Allowed: true, Limit: 810}
	}
	return f.decide(tenant, tokens, allowance)
}

// fakeServer is a server that is reached over in-memory pipes. It counts how many
// times each request ID was run.
type fakeServer struct {
	refuseConnections bool
	respond           func(conn net.Conn, request *http.Request, id string)
	runCounts         sync.Map // request ID to *atomic.Int64
}

func (s *fakeServer) countRun(id string) {
	count, _ := s.runCounts.LoadOrStore(id, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
}

func (s *fakeServer) runs(id string) int {
	if count, ran := s.runCounts.Load(id); ran {
		return int(count.(*atomic.Int64).Load())
	}
	return 0
}

// fixture is a front with fake servers and callers in a synctest bubble. It also
// implements the front's events.Log and listener.
type fixture struct {
	t           *testing.T
	views       *fakeViews
	clock       *jumpingClock
	admitter    *fakeAdmitter
	servers     map[string]*fakeServer
	front       *Front
	callers     chan net.Conn
	connections sync.WaitGroup
	events      sync.Map // emitted event names
	stop        func()
}

func (f *fixture) Emit(event events.Event, _ ...any) { f.events.Store(event.Name, true) }

func (f *fixture) logged(name string) bool {
	_, emitted := f.events.Load(name)
	return emitted
}

func newFixture(t *testing.T, kind string, slots int, servers ...*fakeServer) *fixture {
	f := &fixture{t: t, views: &fakeViews{}, clock: &jumpingClock{Clock: clock.System()}, admitter: &fakeAdmitter{}, servers: map[string]*fakeServer{}, callers: make(chan net.Conn)}
	service := map[string]string{"model": "chat", "web": "orders"}[kind]
	view := &follower.View{Plan: &wire.Plan{Term: 1, Number: 7, Shares: []*wire.Share{{Service: service, FromRegion: "lagos", ToRegion: "lagos", Share: 1}}},
		Servers: map[string]*wire.ServerStatus{}}
	for i, s := range servers {
		name := fmt.Sprintf("s%d", i)
		f.servers[name] = s
		view.Servers[name] = &wire.ServerStatus{Name: name, Address: name + ":1", Kind: kind, Services: []string{service}, Region: "lagos", Zone: "a",
			State: wire.ServerState_SERVER_STATE_READY, Reachable: true, Slots: uint32(slots), Answered: 1000}
		view.Plan.Caps = append(view.Plan.Caps, &wire.Cap{Server: name, InFlight: uint32(slots)})
	}
	fresh := make(chan struct{})
	f.views.changed.Store(&fresh)
	f.views.view.Store(view)
	f.views.publish(withKeys("k"))
	f.views.hasAuthority.Store(true)
	front, err := New(Config{Name: "n1", Address: "127.0.0.1:1", Region: "lagos", Zone: "a", Backend: backend.Config{Dial: f.dial}, ReadRuntimeSettings: readRuntimeSettings}, f.views, f.admitter,
		f.clock, f, prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	f.front = front
	ctx, cancel := context.WithCancel(context.Background())
	var owners sync.WaitGroup
	owners.Go(func() { _ = front.Serve(ctx) })
	owners.Go(func() { _ = front.Listen(ctx, f) })
	f.stop = func() {
		cancel()
		owners.Wait()
		f.connections.Wait()
	}
	return f
}

func readRuntimeSettings(settings map[string]string) RuntimeSettings {
	maxDeadline, _ := time.ParseDuration(settings["deadline.max"])
	runtimeSettings := RuntimeSettings{DeadlineMax: maxDeadline}
	if len(settings) > 0 {
		runtimeSettings.Route = &route.RuntimeConfig{Strategy: route.Strategy(settings["route.strategy"]), MaxQueued: 0, SlowStartCap: 2, RetryBudget: 0}
	}
	return runtimeSettings
}

func (f *fixture) Accept() (net.Conn, error) {
	conn, open := <-f.callers
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (f *fixture) Close() error   { close(f.callers); return nil }
func (f *fixture) Addr() net.Addr { return &net.TCPAddr{} }

func (f *fixture) dial(_ context.Context, _, address string) (net.Conn, error) {
	s := f.servers[strings.TrimSuffix(address, ":1")]
	if s.refuseConnections {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	serverEnd, frontEnd := net.Pipe()
	f.connections.Go(func() {
		defer func() { _ = serverEnd.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(serverEnd))
		if err != nil {
			return
		}
		id := request.Header.Get("Stepwick-Request-Id")
		_, _ = io.Copy(io.Discard, request.Body)
		s.respond(serverEnd, request, id)
	})
	return frontEnd, nil
}

// client is a caller with one keep-alive connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) connect() *client {
	callerEnd, frontEnd := net.Pipe()
	f.callers <- frontEnd
	return &client{callerEnd, bufio.NewReader(callerEnd)}
}

func (c *client) send(method, target, id, extra, body string) {
	_, _ = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k\r\nStepwick-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, id, extra, len(body), body)
}

func (c *client) prompt(id string, deadline time.Duration) {
	c.send("POST", "/v1/prompt", id, "", fmt.Sprintf(`{"service":"chat","prefix":"p","max_tokens":9,"deadline_ms":%d}`, deadline.Milliseconds()))
}

// response is a response as received by a caller. complete is false if the body was
// cut off.
type response struct {
	status   int
	code     apierror.Code
	body     string
	complete bool
}

func (c *client) readResponse() response {
	httpResponse, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(httpResponse.Body)
	got := response{status: httpResponse.StatusCode, body: string(body), complete: err == nil}
	for _, line := range strings.Split(got.body, "\n") {
		var errorBody apierror.ErrorBody
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &errorBody) == nil && errorBody.Code != 0 {
			got.code = errorBody.Code
		}
	}
	return got
}

func (c *client) readEvent() string {
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil || strings.HasPrefix(line, "data: ") {
			return line
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

func eventText(id string, seq int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"seq\":%d}\n\n", id, seq)
}

func finalEventText(id string, count int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"final\":true,\"count\":%d}\n\n", id, count)
}

// streamingServer returns a server that sends count events and waits for interval
// after each.
func streamingServer(count int, interval time.Duration) *fakeServer {
	s := &fakeServer{}
	s.respond = func(conn net.Conn, _ *http.Request, id string) {
		s.countRun(id)
		_, _ = fmt.Fprint(conn, streamHead)
		for i := range count {
			if _, err := fmt.Fprint(conn, eventText(id, i)); err != nil {
				return
			}
			<-time.After(interval)
		}
		_, _ = fmt.Fprint(conn, finalEventText(id, count))
	}
	return s
}

func respondingServer(format string) *fakeServer {
	s := &fakeServer{}
	s.respond = func(conn net.Conn, _ *http.Request, id string) {
		s.countRun(id)
		_, _ = fmt.Fprint(conn, strings.NewReplacer("ID", id, "\r\n", "\r\n", "\n", "\r\n").Replace(format))
	}
	return s
}

func inBubble(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func (f *fixture) runs(id string) (total int) {
	for _, s := range f.servers {
		total += s.runs(id)
	}
	return total
}

func (f *fixture) checkEqual(label string, got, want any) {
	f.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		f.t.Errorf("%s: got %v, want %v", label, got, want)
	}
}

func (f *fixture) inFlight(name string) int {
	synctest.Wait()
	for _, s := range f.front.router.table.Servers() {
		if s.Server == name {
			return s.Own
		}
	}
	return -1
}

func (f *fixture) cap(name string) int {
	for _, s := range f.front.router.table.Servers() {
		if s.Server == name {
			return s.Cap
		}
	}
	return -1
}
