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

// pipeListener accepts the server ends of pipes. Pipes work with synctest's fake time.
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
	clientEnd, serverEnd := net.Pipe()
	l.conns <- serverEnd
	return clientEnd
}

// fakeHandler is a RequestHandler that responds according to its fields.
type fakeHandler struct {
	standing string
	authErr  *apierror.Error
	readyErr *apierror.Error
	events   []string
	apiErr   *apierror.Error
	panics   any
	response *Response
	oneShots []*OneShot
	prompts  []*Prompt
	panicked int
	ended    chan error
}

func (f *fakeHandler) EarliestArrival() time.Time         { return time.Now() }
func (f *fakeHandler) Authenticate(*Head) *apierror.Error { return f.authErr }
func (f *fakeHandler) Ready() *apierror.Error             { return f.readyErr }
func (f *fakeHandler) Standing() string                   { return f.standing }
func (f *fakeHandler) Rejected(*apierror.Error)           {}
func (f *fakeHandler) Panicked(string, any)               { f.panicked++ }

func (f *fakeHandler) Connect(_ context.Context, request *Connect) (*NearestNodes, *apierror.Error) {
	return &NearestNodes{RequestID: request.ID, Service: request.Service, Region: request.Region, Nodes: []Node{{"n1", "127.0.0.1:1", "lagos", "a"}}}, nil
}

func (f *fakeHandler) Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error {
	f.prompts = append(f.prompts, prompt)
	for _, event := range f.events {
		if err := stream.SendEvent([]byte(event)); err != nil {
			if f.ended != nil {
				f.ended <- err
			}
			return apierror.Errorf(apierror.CallerDisconnected, "")
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

func (f *fakeHandler) OneShot(_ context.Context, request *OneShot) (*Response, *apierror.Error) {
	f.oneShots = append(f.oneShots, request)
	if f.panics != nil {
		panic(f.panics)
	}
	return f.response, f.apiErr
}

var volatileText = regexp.MustCompile(`(?m)^Date: .*\r\n|sw-[0-9a-f]{24}`)

func maskVolatile(text string) string {
	return volatileText.ReplaceAllStringFunc(text, func(match string) string {
		if strings.HasPrefix(match, "Date") {
			return ""
		}
		return "sw-MADE"
	})
}

// exchangeRaw sends a raw request on one connection and returns what the server sent
// until it closed the connection.
func exchangeRaw(t *testing.T, limits Limits, handler RequestHandler, request string) (response string) {
	synctest.Test(t, func(*testing.T) {
		listener := newPipeListener()
		server := New(limits, handler, clock.System(), nil).Server()
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		conn := listener.dial()
		go func() { _, _ = io.WriteString(conn, request) }()
		got, _ := io.ReadAll(conn)
		_ = conn.Close()
		response = string(got)
	})
	return maskVolatile(response)
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
	event, finalEvent := `{"id":"r1","seq":0,"text":"t"}`, `{"id":"r1","final":true,"count":1}`
	webResponse := &Response{Server: "w1", Status: 200, Body: []byte("map"), Header: http.Header{"Content-Type": {"text/plain"}, "Etag": {"e"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"3"}, "Stepwick-Request-Id": {"r1"}, "Transfer-Encoding": {"chunked"}}}
	streamCut := apierror.Errorf(apierror.StreamAborted, "the server went away").WithRetryAfter(100 * time.Millisecond)
	notRuling := apierror.Errorf(apierror.NoAuthority, "ask another node").WithRetryAfter(1200 * time.Millisecond)
	rows := []struct {
		name    string
		handler *fakeHandler
		request string
	}{
		{"prompt", &fakeHandler{events: []string{event, finalEvent}}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt whose stream is cut", &fakeHandler{events: []string{event}, apiErr: streamCut}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt whose handler panics after an event", &fakeHandler{events: []string{event}, panics: "oh"}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"prompt whose handler panics before any event", &fakeHandler{panics: "oh"}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"rejected prompt", &fakeHandler{apiErr: notRuling}, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt)},
		{"one-shot", &fakeHandler{response: webResponse}, rawRequest("GET", "/v1/call/outages/map/a%2Fb?x=1&y=%20", authHeaders, "")},
		{"one-shot with HEAD", &fakeHandler{response: webResponse}, rawRequest("HEAD", "/v1/call/outages/map", authHeaders, "")},
		{"one-shot with unknown outcome", &fakeHandler{apiErr: apierror.Errorf(apierror.OutcomeUnknown, "reset")}, rawRequest("POST", "/v1/call/orders", authHeaders, "{}")},
		{"one-shot whose handler panics", &fakeHandler{panics: "oh"}, rawRequest("POST", "/v1/call/orders", authHeaders, "{}")},
		{"connect", &fakeHandler{}, rawRequest("GET", "/v1/connect?service=chat&region=lagos", authHeaders, "")},
		{"ready", &fakeHandler{}, rawRequest("GET", "/readyz", "", "")},
		{"ready on a node whose core has a full disk", &fakeHandler{standing: "disk_full"}, rawRequest("GET", "/readyz", "", "")},
		{"not ready", &fakeHandler{readyErr: notRuling}, rawRequest("GET", "/readyz", "", "")},
	}
	transcript := ""
	for _, row := range rows {
		response := exchangeRaw(t, Limits{}, row.handler, row.request)
		transcript += "=== " + row.name + "\n" + strings.ReplaceAll(row.request, "\r", "") + "\n---\n" + strings.ReplaceAll(response, "\r", "") + "\n"
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
		{"a body that is not JSON", post(`what`), apierror.BadJSON},
		{"an empty body", post(``), apierror.BadJSON},
		{"a JSON array", post(`[]`), apierror.BadJSON},
		{"a truncated object", post(`{"service":"chat"`), apierror.BadJSON},
		{"two objects", post(completePrompt + `{}`), apierror.BadJSON},
		{"an unknown field", post(`{"service":"chat","max_tokens":1,"colour":1}`), apierror.UnknownField},
		{"a field of another type", post(`{"service":"chat","max_tokens":"1"}`), apierror.BadField},
		{"a number out of range", post(`{"service":"chat","max_tokens":1e99}`), apierror.BadField},
		{"a fractional number of tokens", post(`{"service":"chat","max_tokens":1.5}`), apierror.BadField},
		{"negative tokens", post(`{"service":"chat","max_tokens":1,"prefix_tokens":-1}`), apierror.BadField},
		{"too many tokens", post(`{"service":"chat","max_tokens":1,"prefix_tokens":1000000}`), apierror.BadField},
		{"a long name", post(`{"service":"` + strings.Repeat("x", 200) + `","max_tokens":1}`), apierror.BadField},
		{"no service", post(`{"max_tokens":1}`), apierror.MissingField},
		{"null", post(`null`), apierror.MissingField},
		{"no max_tokens", post(`{"service":"chat"}`), apierror.MissingField},
		{"a deadline of zero", post(`{"service":"chat","max_tokens":1,"deadline_ms":0}`), apierror.BadDeadline},
		{"a negative deadline", post(`{"service":"chat","max_tokens":1,"deadline_ms":-5}`), apierror.BadDeadline},
		{"a deadline above the limit", post(`{"service":"chat","max_tokens":1,"deadline_ms":1e18}`), apierror.BadDeadline},
		{"a deadline out of range", post(`{"service":"chat","max_tokens":1,"deadline_ms":1e999}`), apierror.BadDeadline},
		{"a deadline that is not a number", post(`{"service":"chat","max_tokens":1,"deadline_ms":"soon"}`), apierror.BadDeadline},
		{"a deadline header that is not a number", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: soon\n"), apierror.BadDeadline},
		{"a negative deadline header", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: -1\n"), apierror.BadDeadline},
		{"a deadline header out of range", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: 99999999999999999999\n"), apierror.BadDeadline},
		{"two deadline headers", get("/v1/call/s/", authHeaders+"Stepwick-Deadline-Ms: 5\nStepwick-Deadline-Ms: 5\n"), apierror.BadDeadline},
		{"no key", get("/v1/connect", ""), apierror.MissingKey},
		{"an empty key", get("/v1/connect", "Authorization: Bearer \n"), apierror.MissingKey},
		{"another authorization scheme", get("/v1/connect", "Authorization: Basic abc\n"), apierror.MissingKey},
		{"two keys", get("/v1/connect", "Authorization: Bearer a\nAuthorization: Bearer b\n"), apierror.MissingKey},
		{"a bad request id", get("/v1/connect", "Authorization: Bearer k\nStepwick-Request-Id: a b\n"), apierror.BadField},
		{"a long request id", get("/v1/connect", "Stepwick-Request-Id: "+strings.Repeat("x", 200)+"\n"), apierror.BadField},
		{"an unknown path", get("/v2/else", authHeaders), apierror.UnknownPath},
		{"HTTP/1.0, where closing the connection ends the body", strings.Replace(post(completePrompt), "HTTP/1.1", "HTTP/1.0", 1), apierror.BadField},
		{"dot segments in the path", get("/v1/../../etc", authHeaders), apierror.UnknownPath},
		{"a method that the call does not allow", rawRequest("DELETE", "/v1/prompt", authHeaders, ""), apierror.BadMethod},
		{"the method TRACE", rawRequest("TRACE", "/v1/call/s/", authHeaders, ""), apierror.BadMethod},
		{"no service in the path", get("/v1/call/", authHeaders), apierror.MissingField},
		{"an unknown query field", get("/v1/connect?colour=1", authHeaders), apierror.UnknownField},
		{"a repeated query field", get("/v1/connect?region=a&region=b", authHeaders), apierror.BadField},
		{"a large header", get("/v1/connect", authHeaders+"X: "+strings.Repeat("x", 1500)+"\n"), apierror.HeaderTooLarge},
		{"a large target", get("/v1/connect?service="+strings.Repeat("x", 1500), authHeaders), apierror.HeaderTooLarge},
		{"a large body", post(`{"prefix":"` + strings.Repeat("x", 5000) + `"}`), apierror.BodyTooLarge},
		{"a large chunked body", strings.ReplaceAll("POST /v1/prompt HTTP/1.1\nHost: n\nConnection: close\n"+authHeaders+"Transfer-Encoding: chunked\n\n2000\n", "\n", "\r\n") +
			strings.Repeat("x", 0x2000) + "\r\n0\r\n\r\n", apierror.BodyTooLarge},
		{"a slow body", strings.TrimSuffix(post(completePrompt), "}"), apierror.SlowBody},
		{"a declared body that never arrives", strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+authHeaders+"Content-Length: 10\n\n", "\n", "\r\n"), apierror.SlowBody},
	}
	for _, row := range rows {
		Convey("A request with "+row.name+" is rejected with its code and does not reach the handler", t, func() {
			handler := &fakeHandler{response: &Response{Status: 200}}
			response := exchangeRaw(t, Limits{MaxBodyBytes: 4096, MaxHeaderBytes: 1024}, handler, row.request)
			So(response, ShouldContainSubstring, fmt.Sprintf("Stepwick-Code: %d\r\n", row.code))
			So(response, ShouldContainSubstring, fmt.Sprintf("{\"code\":%d,", row.code))
			So(response, ShouldContainSubstring, "\r\nStepwick-Request-Id: ")
			So(handler.oneShots, ShouldBeEmpty)
			So(handler.prompts, ShouldBeEmpty)
		})
	}
}

func TestParsedRequests(t *testing.T) {
	Convey("The earlier of the deadlines in the header and the body applies", t, func() {
		handler := &fakeHandler{events: []string{"{}"}}
		exchangeRaw(t, Limits{}, handler, rawRequest("POST", "/v1/prompt", authHeaders+"Stepwick-Deadline-Ms: 500\n", completePrompt))
		exchangeRaw(t, Limits{}, handler, rawRequest("POST", "/v1/prompt", authHeaders+"Stepwick-Deadline-Ms: 5000\n", completePrompt))
		exchangeRaw(t, Limits{}, handler, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
		timeouts := []time.Duration{}
		for _, prompt := range handler.prompts {
			timeouts = append(timeouts, prompt.Deadline.Sub(prompt.Arrived))
		}
		So(timeouts, ShouldResemble, []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond})
		So(handler.prompts[0].Tokens(), ShouldEqual, 18)
	})
	Convey("A one-shot is forwarded unchanged, except for the API key and the hop-by-hop fields", t, func() {
		handler := &fakeHandler{response: &Response{Status: 204}}
		exchangeRaw(t, Limits{}, handler, rawRequest("PATCH", "/v1/call/orders/a%2Fb//../c?x=%20&x=1", authHeaders+"X-Own: 1\nConnection: X-Hop\nX-Hop: 1\n", "body"))
		So(len(handler.oneShots), ShouldEqual, 1)
		oneShot := handler.oneShots[0]
		So([]string{oneShot.Service, oneShot.Method, oneShot.Path, oneShot.Query, string(oneShot.Body)}, ShouldResemble, []string{"orders", "PATCH", "/a%2Fb//../c", "x=%20&x=1", "body"})
		So(oneShot.Header, ShouldResemble, http.Header{"X-Own": {"1"}})
	})
}

func TestLimits(t *testing.T) {
	Convey("The connection of an incomplete header is closed after HeaderTimeout", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{HeaderTimeout: 3 * time.Second}, &fakeHandler{}, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			start, conn := time.Now(), listener.dial()
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nX: ") }()
			_, _ = io.ReadAll(conn)
			if time.Since(start) != 3*time.Second {
				t.Errorf("connection closed after %s", time.Since(start))
			}
		})
	})
	Convey("A rejection does not wait for a body that does not arrive, and the connection is closed after BodyTimeout", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{BodyTimeout: 3 * time.Second}, &fakeHandler{}, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			for _, head := range []string{"POST /v1/prompt HTTP/1.1\r\nContent-Length: 10", "POST /v1/prompt HTTP/1.1\r\nContent-Length: 9999999",
				"POST /v1/prompt HTTP/1.1\r\nTransfer-Encoding: chunked", "GET /v1/connect HTTP/1.1\r\nContent-Length: 10"} {
				start, conn := time.Now(), listener.dial()
				go func() { _, _ = io.WriteString(conn, head+"\r\nHost: n\r\n\r\n") }()
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != 401 || time.Since(start) != 0 {
					t.Errorf("%q: got response %v, error %v after %s", head, response, err, time.Since(start))
				}
				_, _ = io.ReadAll(reader)
				if took := time.Since(start); took > 4*time.Second {
					t.Errorf("%q: connection closed after %s", head, took)
				}
				if err == nil {
					_ = response.Body.Close()
				}
			}
		})
	})
	Convey("The stream of a client that receives nothing ends after WriteTimeout, that of a client that disconnects at once", t, func() {
		synctest.Test(t, func(t *testing.T) {
			handler := &fakeHandler{events: []string{`{"seq":0}`, `{"seq":1}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			server := New(Limits{WriteTimeout: 3 * time.Second}, handler, clock.System(), nil).Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			stalledConn := listener.dial()
			_, _ = io.WriteString(stalledConn, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			start := time.Now()
			if err := <-handler.ended; err == nil || time.Since(start) != 3*time.Second {
				t.Errorf("stream ended with %v after %s", err, time.Since(start))
			}
			_ = stalledConn.Close()
			closingConn := listener.dial()
			_, _ = io.WriteString(closingConn, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			reader := bufio.NewReader(closingConn)
			for line := ""; !strings.Contains(line, `"seq":1`); {
				line, _ = reader.ReadString('\n')
			}
			start = time.Now()
			_ = closingConn.Close()
			if err := <-handler.ended; !errors.Is(err, context.Canceled) || time.Since(start) != 0 {
				t.Errorf("stream ended with %v after %s", err, time.Since(start))
			}
		})
	})
	Convey("Bodies beyond the limit on all bodies are rejected at once, and the bytes of every body are released when its request ends", t, func() {
		synctest.Test(t, func(t *testing.T) {
			handler := &fakeHandler{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener, limit := newPipeListener(), int64(2*len(completePrompt)-1)
			api := New(Limits{MaxBodyBytes: 1000, MaxBufferedBytes: limit}, handler, clock.System(), nil)
			server := api.Server()
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			firstConn := listener.dial()
			go func() {
				_, _ = io.WriteString(firstConn, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			}()
			_, _ = bufio.NewReader(firstConn).ReadString('}')
			chunked := strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+authHeaders+"Transfer-Encoding: chunked\n\n96\n"+strings.Repeat("x", 150)+"\n0\n\n", "\n", "\r\n")
			for name, text := range map[string]string{"Content-Length": rawRequest("POST", "/v1/prompt", authHeaders, completePrompt), "chunked encoding": chunked} {
				conn, start := listener.dial(), time.Now()
				go func() { _, _ = io.WriteString(conn, text) }()
				got, _ := io.ReadAll(conn)
				for _, part := range []string{" 503 ", `"code":2003`, "Retry-After: 1", "Connection: close"} {
					if !strings.Contains(string(got), part) || time.Since(start) != 0 {
						t.Errorf("body with %s: no %q in %q after %s", name, part, got, time.Since(start))
					}
				}
				_ = conn.Close()
			}
			partialConn := listener.dial()
			go func() {
				_, _ = io.WriteString(partialConn, strings.TrimSuffix(rawRequest("POST", "/v1/prompt", authHeaders, completePrompt[:110]), completePrompt[100:110]))
			}()
			synctest.Wait()
			if available := api.bodyBudget.Available(); available != limit-int64(len(completePrompt))-100 {
				t.Errorf("%d bytes are available while bodies are in memory", available)
			}
			_, _ = io.ReadAll(partialConn)
			_ = firstConn.Close()
			if err := <-handler.ended; err == nil {
				t.Error("the prompt's context has not ended")
			}
			synctest.Wait()
			if available := api.bodyBudget.Available(); available != limit {
				t.Errorf("%d of %d bytes are available after all requests have ended", available, limit)
			}
		})
	})
	Convey("Requests beyond the limit are rejected at once, and a connection stays usable after its responses", t, func() {
		synctest.Test(t, func(t *testing.T) {
			handler := &fakeHandler{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			mounts := map[string]http.Handler{"/metrics": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1") })}
			api := New(Limits{MaxRequests: 1, MaxConnections: 2}, handler, clock.System(), mounts)
			server := api.Server()
			go func() { _ = server.Serve(api.LimitConnections(listener)) }()
			defer func() { _ = server.Close() }()
			firstConn := listener.dial()
			go func() {
				_, _ = io.WriteString(firstConn, rawRequest("POST", "/v1/prompt", authHeaders, completePrompt))
			}()
			_, _ = bufio.NewReader(firstConn).ReadString('}')
			secondConn := listener.dial()
			reader := bufio.NewReader(secondConn)
			getStatus := func(target string) int {
				go func() {
					_, _ = io.WriteString(secondConn, "GET "+target+" HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k\r\n\r\n")
				}()
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				return response.StatusCode
			}
			if status := getStatus("/v1/connect"); status != 503 {
				t.Errorf("status %d while the limit is reached", status)
			}
			_ = firstConn.Close()
			if err := <-handler.ended; err == nil {
				t.Error("the prompt's context has not ended")
			}
			<-time.After(20 * time.Second)
			for _, target := range []string{"/v1/connect", "/metrics"} {
				if status := getStatus(target); status != 200 {
					t.Errorf("status %d on the kept-alive connection", status)
				}
				<-time.After(20 * time.Second)
			}
			_ = secondConn.Close()
		})
	})
}
