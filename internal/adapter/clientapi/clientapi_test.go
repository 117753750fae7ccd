package clientapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// pipeListener hands out the far ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{make(chan net.Conn), make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// fakeHandler is a RequestHandler that answers by its fields.
type fakeHandler struct {
	standing  string
	authError *apierror.Error
	ready     *apierror.Error
	events    []string
	apiErr    *apierror.Error
	panics    any
	answer    *Answer
	oneShots  []*OneShot
	prompts   []*Prompt
	panicked  int
	ended     chan error
}

func (f *fakeHandler) EarliestArrival() time.Time         { return time.Now() }
func (f *fakeHandler) Authenticate(*Head) *apierror.Error { return f.authError }
func (f *fakeHandler) Ready() *apierror.Error             { return f.ready }
func (f *fakeHandler) Standing() string                   { return f.standing }
func (f *fakeHandler) Rejected(*apierror.Error)           {}
func (f *fakeHandler) Panicked(string, any)               { f.panicked++ }

func (f *fakeHandler) Connect(_ context.Context, ask *Connect) (*NearestNodes, *apierror.Error) {
	return &NearestNodes{RequestID: ask.ID, Service: ask.Service, Region: ask.Region, Nodes: []Node{{"n1", "127.0.0.1:1", "lagos", "a"}}}, nil
}

func (f *fakeHandler) Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error {
	f.prompts = append(f.prompts, prompt)
	for _, event := range f.events {
		if err := stream.Event([]byte(event)); err != nil {
			if f.ended != nil {
				f.ended <- err
			}
			return apierror.Errorf(apierror.CallerGone, "")
		}
	}
	if f.panics != nil {
		panic(f.panics)
	}
	if f.ended != nil {
		<-ctx.Done()
		f.ended <- ctx.Err()
	}
	return f.apiErr
}

func (f *fakeHandler) OneShot(_ context.Context, shot *OneShot) (*Answer, *apierror.Error) {
	f.oneShots = append(f.oneShots, shot)
	if f.panics != nil {
		panic(f.panics)
	}
	return f.answer, f.apiErr
}

var volatileText = regexp.MustCompile(`(?m)^Date: .*\r\n|sw-[0-9a-f]{24}`)

func maskVolatile(text string) string {
	return volatileText.ReplaceAllStringFunc(text, func(found string) string {
		if strings.HasPrefix(found, "Date") {
			return ""
		}
		return "sw-MADE"
	})
}

// exchangeRaw sends raw text on one connection and returns what came back until
// the server closed.
func exchangeRaw(t *testing.T, limits Limits, calls RequestHandler, request string) (answer string) {
	synctest.Test(t, func(*testing.T) {
		listener := newPipeListener()
		server := New(limits, calls, clock.System(), nil).Server()
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		conn := listener.dial()
		go func() { _, _ = io.WriteString(conn, request) }()
		got, _ := io.ReadAll(conn)
		_ = conn.Close()
		answer = string(got)
	})
	return maskVolatile(answer)
}

func rawRequest(method, target, headers, body string) string {
	if body != "" || method == "POST" {
		headers += fmt.Sprintf("Content-Length: %d\n", len(body))
	}
	return strings.ReplaceAll(method+" "+target+" HTTP/1.1\nHost: n1\nConnection: close\n"+headers+"\n", "\n", "\r\n") + body
}

const (
	authHeaders    = "Authorization: Bearer k\nStepwick-Request-Id: r1\n"
	completePrompt = `{"service":"chat","prefix":"p","session":"s","prefix_tokens":5,"session_tokens":6,"max_tokens":7,"deadline_ms":900,"region":"lagos","home":"lagos"}`
)

func TestApprovedTranscripts(t *testing.T) {
	event, end := `{"id":"r1","seq":0,"text":"t"}`, `{"id":"r1","final":true,"count":1}`
	web := &Answer{Server: "w1", Status: 200, Body: []byte("map"), Header: http.Header{"Content-Type": {"text/plain"}, "Etag": {"e"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"3"}, "Stepwick-Request-Id": {"r1"}, "Transfer-Encoding": {"chunked"}}}
	cut := apierror.Errorf(apierror.StreamCut, "the server went away").WithRetryAfter(100 * time.Millisecond)
	later := apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(1200 * time.Millisecond)
	rows := []struct {
		name    string
		calls   *fakeHandler
		request string
	}{
		{"prompt", &fakeHandler{events: []string{event, end}}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt cut", &fakeHandler{events: []string{event}, apiErr: cut}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt that breaks midway", &fakeHandler{events: []string{event}, panics: "oh"}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt that breaks at once", &fakeHandler{panics: "oh"}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt refused", &fakeHandler{apiErr: later}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"one-shot", &fakeHandler{answer: web}, rawRequest("GET", "/v1/call/outages/map/a%2Fb?x=1&y=%20", authHeaders, "")},
		{"one-shot by HEAD", &fakeHandler{answer: web}, rawRequest("HEAD", "/v1/call/outages/map", authHeaders, "")},
		{"one-shot of unknown outcome", &fakeHandler{apiErr: apierror.Errorf(apierror.OutcomeUnknown, "reset")}, rawRequest("POST", "/v1/call/orders", authHeaders, "{}")},
		{"one-shot that breaks", &fakeHandler{panics: "oh"}, rawRequest("POST", "/v1/call/orders", authHeaders, "{}")},
		{"connect", &fakeHandler{}, rawRequest("GET", "/v1/connect?service=chat&region=lagos", authHeaders, "")},
		{"ready", &fakeHandler{}, rawRequest("GET", "/readyz", "", "")},
		{"ready beside a core whose disk is full", &fakeHandler{standing: "disk_full"}, rawRequest("GET", "/readyz", "", "")},
		{"not ready", &fakeHandler{ready: later}, rawRequest("GET", "/readyz", "", "")},
	}
	transcript := ""
	for _, row := range rows {
		answer := exchangeRaw(t, Limits{}, row.calls, row.request)
		transcript += "=== " + row.name + "\n" + strings.ReplaceAll(row.request, "\r", "") + "\n---\n" + strings.ReplaceAll(answer, "\r", "") + "\n"
	}
	goldie.New(t).Assert(t, "calls", []byte(transcript))
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	post := func(body string) string { return rawRequest("POST", "/v1/prompt", authHeaders, body) }
	get := func(target, headers string) string { return rawRequest("GET", target, headers, "") }
	rows := []struct {
		name, request string
		code          apierror.Code
	}{
		{"no JSON", post(`what`), apierror.BadJSON},
		{"nothing", post(``), apierror.BadJSON},
		{"an array", post(`[]`), apierror.BadJSON},
		{"half an object", post(`{"service":"chat"`), apierror.BadJSON},
		{"two objects", post(completePrompt + `{}`), apierror.BadJSON},
		{"an unknown field", post(`{"service":"chat","max_tokens":1,"colour":1}`), apierror.UnknownField},
		{"a field of another type", post(`{"service":"chat","max_tokens":"1"}`), apierror.BadField},
		{"a number beyond all", post(`{"service":"chat","max_tokens":1e99}`), apierror.BadField},
		{"half a token", post(`{"service":"chat","max_tokens":1.5}`), apierror.BadField},
		{"negative tokens", post(`{"service":"chat","max_tokens":1,"prefix_tokens":-1}`), apierror.BadField},
		{"too many tokens", post(`{"service":"chat","max_tokens":1,"prefix_tokens":1000000}`), apierror.BadField},
		{"a long name", post(`{"service":"` + strings.Repeat("x", 200) + `","max_tokens":1}`), apierror.BadField},
		{"no service", post(`{"max_tokens":1}`), apierror.MissingField},
		{"null", post(`null`), apierror.MissingField},
		{"no max_tokens", post(`{"service":"chat"}`), apierror.MissingField},
		{"a deadline of zero", post(`{"service":"chat","max_tokens":1,"deadline_ms":0}`), apierror.BadDeadline},
		{"a negative deadline", post(`{"service":"chat","max_tokens":1,"deadline_ms":-5}`), apierror.BadDeadline},
		{"an absurd deadline", post(`{"service":"chat","max_tokens":1,"deadline_ms":1e18}`), apierror.BadDeadline},
		{"a deadline beyond all", post(`{"service":"chat","max_tokens":1,"deadline_ms":1e999}`), apierror.BadDeadline},
		{"a deadline in words", post(`{"service":"chat","max_tokens":1,"deadline_ms":"soon"}`), apierror.BadDeadline},
		{"a deadline header in words", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: soon\n"), apierror.BadDeadline},
		{"a negative deadline header", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: -1\n"), apierror.BadDeadline},
		{"an absurd deadline header", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: 99999999999999999999\n"), apierror.BadDeadline},
		{"two deadline headers", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: 5\nStepwick-Deadline-Ms: 5\n"), apierror.BadDeadline},
		{"no key", get("/v1/connect", ""), apierror.MissingKey},
		{"an empty key", get("/v1/connect", "Authorization: Bearer \n"), apierror.MissingKey},
		{"another scheme", get("/v1/connect", "Authorization: Basic abc\n"), apierror.MissingKey},
		{"two keys", get("/v1/connect", "Authorization: Bearer a\nAuthorization: Bearer b\n"), apierror.MissingKey},
		{"a bad request id", get("/v1/connect", "Authorization: Bearer k\nStepwick-Request-Id: a b\n"), apierror.BadField},
		{"a long request id", get("/v1/connect", "Stepwick-Request-Id: "+strings.Repeat("x", 200)+"\n"), apierror.BadField},
		{"an unknown path", get("/v2/else", authHeaders), apierror.UnknownPath},
		{"a protocol that ends by closing", strings.Replace(post(completePrompt), "HTTP/1.1", "HTTP/1.0", 1), apierror.BadField},
		{"a climbing path", get("/v1/../../etc", authHeaders), apierror.UnknownPath},
		{"another method", rawRequest("DELETE", "/v1/prompt", authHeaders, ""), apierror.BadMethod},
		{"a trace", rawRequest("TRACE", "/v1/call/s/", authHeaders, ""), apierror.BadMethod},
		{"no service in the path", get("/v1/call/", authHeaders), apierror.MissingField},
		{"an unknown query field", get("/v1/connect?colour=1", authHeaders), apierror.UnknownField},
		{"a query field twice", get("/v1/connect?region=a&region=b", authHeaders), apierror.BadField},
		{"a large header", get("/v1/connect", authHeaders+"X: "+strings.Repeat("x", 1500)+"\n"), apierror.HeaderTooLarge},
		{"a large target", get("/v1/connect?service="+strings.Repeat("x", 1500), authHeaders), apierror.HeaderTooLarge},
		{"a large body", post(`{"prefix":"` + strings.Repeat("x", 5000) + `"}`), apierror.BodyTooLarge},
		{"a large chunked body", strings.ReplaceAll("POST /v1/prompt HTTP/1.1\nHost: n\nConnection: close\n"+authHeaders+"Transfer-Encoding: chunked\n\n2000\n", "\n", "\r\n") +
			strings.Repeat("x", 0x2000) + "\r\n0\r\n\r\n", apierror.BodyTooLarge},
		{"a slow body", strings.TrimSuffix(post(completePrompt), "}"), apierror.SlowBody},
		{"no body yet, and never one", strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+authHeaders+"Content-Length: 10\n\n", "\n", "\r\n"), apierror.SlowBody},
	}
	for _, row := range rows {
		Convey("A request with "+row.name+" is refused by number and reaches no call", t, func() {
			calls := &fakeHandler{answer: &Answer{Status: 200}}
			answer := exchangeRaw(t, Limits{BodyMax: 4096, HeaderMax: 1024}, calls, row.request)
			So(answer, ShouldContainSubstring, fmt.Sprintf("Stepwick-Code: %d\r\n", row.code))
			So(answer, ShouldContainSubstring, fmt.Sprintf("{\"code\":%d,", row.code))
			So(answer, ShouldContainSubstring, "\r\nStepwick-Request-Id: ")
			So(calls.oneShots, ShouldBeEmpty)
			So(calls.prompts, ShouldBeEmpty)
		})
	}
}

func TestRequestsAsParsed(t *testing.T) {
	Convey("The shorter of two deadlines holds", t, func() {
		calls := &fakeHandler{events: []string{"{}"}}
		exchangeRaw(t, Limits{}, calls, rawRequest("POST", "/v1/prompt", authHeaders+"Stepwick-Deadline-Ms: 500\n", completePrompt))
		exchangeRaw(t, Limits{}, calls, rawRequest("POST", "/v1/prompt", authHeaders+"Stepwick-Deadline-Ms: 5000\n", completePrompt))
		exchangeRaw(t, Limits{}, calls, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
		spans := []time.Duration{}
		for _, asked := range calls.prompts {
			spans = append(spans, asked.Deadline.Sub(asked.Arrived))
		}
		So(spans, ShouldResemble, []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond})
		So(calls.prompts[0].Tokens(), ShouldEqual, 18)
	})
	Convey("A one-shot goes on as it came, but without the key and the fields of the connection", t, func() {
		calls := &fakeHandler{answer: &Answer{Status: 204}}
		exchangeRaw(t, Limits{}, calls, rawRequest("PATCH", "/v1/call/orders/a%2Fb//../c?x=%20&x=1", authHeaders+"X-Own: 1\nConnection: X-Hop\nX-Hop: 1\n", "body"))
		So(len(calls.oneShots), ShouldEqual, 1)
		shot := calls.oneShots[0]
		So([]string{shot.Service, shot.Method, shot.Path, shot.Query, string(shot.Body)}, ShouldResemble, []string{"orders", "PATCH", "/a%2Fb//../c", "x=%20&x=1", "body"})
		So(shot.Header, ShouldResemble, http.Header{"X-Own": {"1"}})
	})
}

func TestLimits(t *testing.T) {
	Convey("A header that doesn't end costs its connection after the bound", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{HeaderTimeout: 3 * time.Second}, &fakeHandler{}, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			began, conn := time.Now(), listener.dial()
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nX: ") }()
			_, _ = io.ReadAll(conn)
			if time.Since(began) != 3*time.Second {
				t.Errorf("closed after %s", time.Since(began))
			}
		})
	})
	Convey("A refusal isn't held back by a body that doesn't come, which costs its connection after the bound", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{BodyTimeout: 3 * time.Second}, &fakeHandler{}, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			for _, head := range []string{"POST /v1/prompt HTTP/1.1\r\nContent-Length: 10", "POST /v1/prompt HTTP/1.1\r\nContent-Length: 9999999",
				"POST /v1/prompt HTTP/1.1\r\nTransfer-Encoding: chunked", "GET /v1/connect HTTP/1.1\r\nContent-Length: 10"} {
				began, conn := time.Now(), listener.dial()
				go func() { _, _ = io.WriteString(conn, head+"\r\nHost: n\r\n\r\n") }()
				reader := bufio.NewReader(conn)
				answer, err := http.ReadResponse(reader, nil)
				if err != nil || answer.StatusCode != 401 || time.Since(began) != 0 {
					t.Errorf("%q: answered %v %v after %s", head, answer, err, time.Since(began))
				}
				_, _ = io.ReadAll(reader)
				if took := time.Since(began); took > 4*time.Second {
					t.Errorf("%q: closed after %s", head, took)
				}
				if err == nil {
					_ = answer.Body.Close()
				}
			}
		})
	})
	Convey("A caller that takes no events is given up after the bound, and one that goes away at once", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeHandler{events: []string{`{"seq":0}`, `{"seq":1}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			server := New(Limits{WriteTimeout: 3 * time.Second}, calls, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			slow := listener.dial()
			_, _ = io.WriteString(slow, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			began := time.Now()
			if err := <-calls.ended; err == nil || time.Since(began) != 3*time.Second {
				t.Errorf("ended by %v after %s", err, time.Since(began))
			}
			_ = slow.Close()
			gone := listener.dial()
			_, _ = io.WriteString(gone, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			reader := bufio.NewReader(gone)
			for line := ""; !strings.Contains(line, `"seq":1`); {
				line, _ = reader.ReadString('\n')
			}
			began = time.Now()
			_ = gone.Close()
			if err := <-calls.ended; !errors.Is(err, context.Canceled) || time.Since(began) != 0 {
				t.Errorf("ended by %v after %s", err, time.Since(began))
			}
		})
	})
	Convey("Bodies beyond the bound of all are refused at once, and every end gives its bytes back", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeHandler{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener, bound := newPipeListener(), int64(2*len(completePrompt)-1)
			api := New(Limits{BodyMax: 1000, BodiesMax: bound}, calls, clock.System(), nil)
			server := api.Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			first := listener.dial()
			go func() { _, _ = io.WriteString(first, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)) }()
			_, _ = bufio.NewReader(first).ReadString('}')
			chunked := strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+authHeaders+"Transfer-Encoding: chunked\n\n96\n"+strings.Repeat("x", 150)+"\n0\n\n", "\n", "\r\n")
			for name, text := range map[string]string{"its length": rawRequest("POST", "/v1/prompt", authHeaders, completePrompt), "no length": chunked} {
				conn, began := listener.dial(), time.Now()
				go func() { _, _ = io.WriteString(conn, text) }()
				got, _ := io.ReadAll(conn)
				for _, part := range []string{" 503 ", `"code":2003`, "Retry-After: 1", "Connection: close"} {
					if !strings.Contains(string(got), part) || time.Since(began) != 0 {
						t.Errorf("a body that tells %s: no %q in %q after %s", name, part, got, time.Since(began))
					}
				}
				_ = conn.Close()
			}
			half := listener.dial()
			go func() {
				_, _ = io.WriteString(half, strings.TrimSuffix(rawRequest("POST", "/v1/prompt", authHeaders, completePrompt[:110]), completePrompt[100:110]))
			}()
			synctest.Wait()
			if left := api.bodyBudget.Available(); left != bound-int64(len(completePrompt))-100 {
				t.Errorf("%d bytes are left while bodies are held", left)
			}
			_, _ = io.ReadAll(half)
			_ = first.Close()
			if err := <-calls.ended; err == nil {
				t.Error("the prompt's context has not ended")
			}
			synctest.Wait()
			if left := api.bodyBudget.Available(); left != bound {
				t.Errorf("%d bytes of %d are left once all have ended", left, bound)
			}
		})
	})
	Convey("Requests beyond the bound are refused at once, and a connection outlives its answers", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeHandler{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			mounts := map[string]http.Handler{"/metrics": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1") })}
			api := New(Limits{Requests: 1, Connections: 2}, calls, clock.System(), mounts)
			server := api.Server()
			go func() { _ = server.Serve(api.LimitConnections(listener)) }()
			defer func() { _ = server.Close() }()
			first := listener.dial()
			go func() { _, _ = io.WriteString(first, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)) }()
			_, _ = bufio.NewReader(first).ReadString('}')
			second := listener.dial()
			reader := bufio.NewReader(second)
			ask := func(target string) int {
				go func() {
					_, _ = io.WriteString(second, "GET "+target+" HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k\r\n\r\n")
				}()
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
				return answer.StatusCode
			}
			if status := ask("/v1/connect"); status != 503 {
				t.Errorf("status %d while the bound is reached", status)
			}
			_ = first.Close()
			if err := <-calls.ended; err == nil {
				t.Error("the prompt's context has not ended")
			}
			<-time.After(20 * time.Second)
			for _, target := range []string{"/v1/connect", "/metrics"} {
				if status := ask(target); status != 200 {
					t.Errorf("status %d on the kept connection later", status)
				}
				<-time.After(20 * time.Second)
			}
			_ = second.Close()
		})
	})
}
