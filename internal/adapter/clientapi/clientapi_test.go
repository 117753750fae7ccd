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

// fakeCalls answers as the fields say.
type fakeCalls struct {
	standing string
	knows    *apierror.Error
	ready    *apierror.Error
	events   []string
	apiErr   *apierror.Error
	panics   any
	answer   *Answer
	shots    []*OneShot
	asked    []*Prompt
	broke    int
	ended    chan error
}

func (f *fakeCalls) Arrived() time.Time          { return time.Now() }
func (f *fakeCalls) Knows(*Head) *apierror.Error { return f.knows }
func (f *fakeCalls) Ready() *apierror.Error      { return f.ready }
func (f *fakeCalls) Standing() string            { return f.standing }
func (f *fakeCalls) Refused(*apierror.Error)     {}
func (f *fakeCalls) Broke(string, any)           { f.broke++ }

func (f *fakeCalls) Connect(_ context.Context, ask *Connect) (*Nearest, *apierror.Error) {
	return &Nearest{RequestID: ask.ID, Service: ask.Service, Region: ask.Region, Nodes: []Node{{"n1", "127.0.0.1:1", "lagos", "a"}}}, nil
}

func (f *fakeCalls) Prompt(ctx context.Context, prompt *Prompt, stream *Stream) *apierror.Error {
	f.asked = append(f.asked, prompt)
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

func (f *fakeCalls) OneShot(_ context.Context, shot *OneShot) (*Answer, *apierror.Error) {
	f.shots = append(f.shots, shot)
	if f.panics != nil {
		panic(f.panics)
	}
	return f.answer, f.apiErr
}

var masked = regexp.MustCompile(`(?m)^Date: .*\r\n|sw-[0-9a-f]{24}`)

func mask(text string) string {
	return masked.ReplaceAllStringFunc(text, func(found string) string {
		if strings.HasPrefix(found, "Date") {
			return ""
		}
		return "sw-MADE"
	})
}

// exchangeRaw sends raw text on one connection and returns what came back until
// the server closed.
func exchangeRaw(t *testing.T, limits Limits, calls Calls, request string) (answer string) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		server := New(limits, calls, clock.System(), nil).Server()
		go server.Serve(listener)
		defer server.Close()
		conn := listener.dial()
		go io.WriteString(conn, request)
		got, _ := io.ReadAll(conn)
		conn.Close()
		answer = string(got)
	})
	return mask(answer)
}

func request(method, target, headers, body string) string {
	if body != "" || method == "POST" {
		headers += fmt.Sprintf("Content-Length: %d\n", len(body))
	}
	return strings.ReplaceAll(method+" "+target+" HTTP/1.1\nHost: n1\nConnection: close\n"+headers+"\n", "\n", "\r\n") + body
}

const (
	keyed = "Authorization: Bearer k\nStepwick-Request-Id: r1\n"
	whole = `{"service":"chat","prefix":"p","session":"s","prefix_tokens":5,"session_tokens":6,"max_tokens":7,"deadline_ms":900,"region":"lagos","home":"lagos"}`
)

func TestTranscripts(t *testing.T) {
	event, end := `{"id":"r1","seq":0,"text":"t"}`, `{"id":"r1","final":true,"count":1}`
	web := &Answer{Server: "w1", Status: 200, Body: []byte("map"), Header: http.Header{"Content-Type": {"text/plain"}, "Etag": {"e"},
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Content-Length": {"3"}, "Stepwick-Request-Id": {"r1"}, "Transfer-Encoding": {"chunked"}}}
	cut := apierror.Errorf(apierror.StreamCut, "the server went away").WithRetryAfter(100 * time.Millisecond)
	later := apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(1200 * time.Millisecond)
	rows := []struct {
		name    string
		calls   *fakeCalls
		request string
	}{
		{"prompt", &fakeCalls{events: []string{event, end}}, request("POST", "/v1/prompt", keyed, whole)},
		{"prompt cut", &fakeCalls{events: []string{event}, apiErr: cut}, request("POST", "/v1/prompt", keyed, whole)},
		{"prompt that breaks midway", &fakeCalls{events: []string{event}, panics: "oh"}, request("POST", "/v1/prompt", keyed, whole)},
		{"prompt that breaks at once", &fakeCalls{panics: "oh"}, request("POST", "/v1/prompt", keyed, whole)},
		{"prompt refused", &fakeCalls{apiErr: later}, request("POST", "/v1/prompt", keyed, whole)},
		{"one-shot", &fakeCalls{answer: web}, request("GET", "/v1/call/outages/map/a%2Fb?x=1&y=%20", keyed, "")},
		{"one-shot by HEAD", &fakeCalls{answer: web}, request("HEAD", "/v1/call/outages/map", keyed, "")},
		{"one-shot of unknown outcome", &fakeCalls{apiErr: apierror.Errorf(apierror.OutcomeUnknown, "reset")}, request("POST", "/v1/call/orders", keyed, "{}")},
		{"one-shot that breaks", &fakeCalls{panics: "oh"}, request("POST", "/v1/call/orders", keyed, "{}")},
		{"connect", &fakeCalls{}, request("GET", "/v1/connect?service=chat&region=lagos", keyed, "")},
		{"ready", &fakeCalls{}, request("GET", "/readyz", "", "")},
		{"ready beside a core whose disk is full", &fakeCalls{standing: "disk_full"}, request("GET", "/readyz", "", "")},
		{"not ready", &fakeCalls{ready: later}, request("GET", "/readyz", "", "")},
	}
	transcript := ""
	for _, row := range rows {
		answer := exchangeRaw(t, Limits{}, row.calls, row.request)
		transcript += "=== " + row.name + "\n" + strings.ReplaceAll(row.request, "\r", "") + "\n---\n" + strings.ReplaceAll(answer, "\r", "") + "\n"
	}
	goldie.New(t).Assert(t, "calls", []byte(transcript))
}

func TestBadInput(t *testing.T) {
	post := func(body string) string { return request("POST", "/v1/prompt", keyed, body) }
	get := func(target, headers string) string { return request("GET", target, headers, "") }
	rows := []struct {
		name, request string
		code          apierror.Code
	}{
		{"no JSON", post(`what`), apierror.BadJSON},
		{"nothing", post(``), apierror.BadJSON},
		{"an array", post(`[]`), apierror.BadJSON},
		{"half an object", post(`{"service":"chat"`), apierror.BadJSON},
		{"two objects", post(whole + `{}`), apierror.BadJSON},
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
		{"a deadline header in words", get("/v1/call/s/", keyed+"Stepwick-Deadline-Ms: soon\n"), apierror.BadDeadline},
		{"a negative deadline header", get("/v1/call/s/", keyed+"Stepwick-Deadline-Ms: -1\n"), apierror.BadDeadline},
		{"an absurd deadline header", get("/v1/call/s/", keyed+"Stepwick-Deadline-Ms: 99999999999999999999\n"), apierror.BadDeadline},
		{"two deadline headers", get("/v1/call/s/", keyed+"Stepwick-Deadline-Ms: 5\nStepwick-Deadline-Ms: 5\n"), apierror.BadDeadline},
		{"no key", get("/v1/connect", ""), apierror.MissingKey},
		{"an empty key", get("/v1/connect", "Authorization: Bearer \n"), apierror.MissingKey},
		{"another scheme", get("/v1/connect", "Authorization: Basic abc\n"), apierror.MissingKey},
		{"two keys", get("/v1/connect", "Authorization: Bearer a\nAuthorization: Bearer b\n"), apierror.MissingKey},
		{"a bad request id", get("/v1/connect", "Authorization: Bearer k\nStepwick-Request-Id: a b\n"), apierror.BadField},
		{"a long request id", get("/v1/connect", "Stepwick-Request-Id: "+strings.Repeat("x", 200)+"\n"), apierror.BadField},
		{"an unknown path", get("/v2/else", keyed), apierror.UnknownPath},
		{"a protocol that ends by closing", strings.Replace(post(whole), "HTTP/1.1", "HTTP/1.0", 1), apierror.BadField},
		{"a climbing path", get("/v1/../../etc", keyed), apierror.UnknownPath},
		{"another method", request("DELETE", "/v1/prompt", keyed, ""), apierror.BadMethod},
		{"a trace", request("TRACE", "/v1/call/s/", keyed, ""), apierror.BadMethod},
		{"no service in the path", get("/v1/call/", keyed), apierror.MissingField},
		{"an unknown query field", get("/v1/connect?colour=1", keyed), apierror.UnknownField},
		{"a query field twice", get("/v1/connect?region=a&region=b", keyed), apierror.BadField},
		{"a large header", get("/v1/connect", keyed+"X: "+strings.Repeat("x", 1500)+"\n"), apierror.HeaderTooLarge},
		{"a large target", get("/v1/connect?service="+strings.Repeat("x", 1500), keyed), apierror.HeaderTooLarge},
		{"a large body", post(`{"prefix":"` + strings.Repeat("x", 5000) + `"}`), apierror.BodyTooLarge},
		{"a large chunked body", strings.ReplaceAll("POST /v1/prompt HTTP/1.1\nHost: n\nConnection: close\n"+keyed+"Transfer-Encoding: chunked\n\n2000\n", "\n", "\r\n") +
			strings.Repeat("x", 0x2000) + "\r\n0\r\n\r\n", apierror.BodyTooLarge},
		{"a slow body", strings.TrimSuffix(post(whole), "}"), apierror.SlowBody},
		{"no body yet, and never one", strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+keyed+"Content-Length: 10\n\n", "\n", "\r\n"), apierror.SlowBody},
	}
	for _, row := range rows {
		Convey("A request with "+row.name+" is refused by number and reaches no call", t, func() {
			calls := &fakeCalls{answer: &Answer{Status: 200}}
			answer := exchangeRaw(t, Limits{BodyMax: 4096, HeaderMax: 1024}, calls, row.request)
			So(answer, ShouldContainSubstring, fmt.Sprintf("Stepwick-Code: %d\r\n", row.code))
			So(answer, ShouldContainSubstring, fmt.Sprintf("{\"code\":%d,", row.code))
			So(answer, ShouldContainSubstring, "\r\nStepwick-Request-Id: ")
			So(calls.shots, ShouldBeEmpty)
			So(calls.asked, ShouldBeEmpty)
		})
	}
}

func TestParsed(t *testing.T) {
	Convey("The shorter of two deadlines holds", t, func() {
		calls := &fakeCalls{events: []string{"{}"}}
		exchangeRaw(t, Limits{}, calls, request("POST", "/v1/prompt", keyed+"Stepwick-Deadline-Ms: 500\n", whole))
		exchangeRaw(t, Limits{}, calls, request("POST", "/v1/prompt", keyed+"Stepwick-Deadline-Ms: 5000\n", whole))
		exchangeRaw(t, Limits{}, calls, request("POST", "/v1/prompt", keyed, whole))
		spans := []time.Duration{}
		for _, asked := range calls.asked {
			spans = append(spans, asked.Deadline.Sub(asked.Arrived))
		}
		So(spans, ShouldResemble, []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond})
		So(calls.asked[0].Tokens(), ShouldEqual, 18)
	})
	Convey("A one-shot goes on as it came, but without the key and the fields of the connection", t, func() {
		calls := &fakeCalls{answer: &Answer{Status: 204}}
		exchangeRaw(t, Limits{}, calls, request("PATCH", "/v1/call/orders/a%2Fb//../c?x=%20&x=1", keyed+"X-Own: 1\nConnection: X-Hop\nX-Hop: 1\n", "body"))
		So(len(calls.shots), ShouldEqual, 1)
		shot := calls.shots[0]
		So([]string{shot.Service, shot.Method, shot.Path, shot.Query, string(shot.Body)}, ShouldResemble, []string{"orders", "PATCH", "/a%2Fb//../c", "x=%20&x=1", "body"})
		So(shot.Header, ShouldResemble, http.Header{"X-Own": {"1"}})
	})
}

func TestBounds(t *testing.T) {
	Convey("A header that doesn't end costs its connection after the bound", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{HeaderTimeout: 3 * time.Second}, &fakeCalls{}, clock.System(), nil).Server()
			go server.Serve(listener)
			defer server.Close()
			began, conn := time.Now(), listener.dial()
			go io.WriteString(conn, "GET / HTTP/1.1\r\nX: ")
			io.ReadAll(conn)
			if time.Since(began) != 3*time.Second {
				t.Errorf("closed after %s", time.Since(began))
			}
		})
	})
	Convey("A refusal isn't held back by a body that doesn't come, which costs its connection after the bound", t, func() {
		synctest.Test(t, func(t *testing.T) {
			listener := newPipeListener()
			server := New(Limits{BodyTimeout: 3 * time.Second}, &fakeCalls{}, clock.System(), nil).Server()
			go server.Serve(listener)
			defer server.Close()
			for _, head := range []string{"POST /v1/prompt HTTP/1.1\r\nContent-Length: 10", "POST /v1/prompt HTTP/1.1\r\nContent-Length: 9999999",
				"POST /v1/prompt HTTP/1.1\r\nTransfer-Encoding: chunked", "GET /v1/connect HTTP/1.1\r\nContent-Length: 10"} {
				began, conn := time.Now(), listener.dial()
				go io.WriteString(conn, head+"\r\nHost: n\r\n\r\n")
				reader := bufio.NewReader(conn)
				answer, err := http.ReadResponse(reader, nil)
				if err != nil || answer.StatusCode != 401 || time.Since(began) != 0 {
					t.Errorf("%q: answered %v %v after %s", head, answer, err, time.Since(began))
				}
				io.ReadAll(reader)
				if took := time.Since(began); took > 4*time.Second {
					t.Errorf("%q: closed after %s", head, took)
				}
			}
		})
	})
	Convey("A caller that takes no events is given up after the bound, and one that goes away at once", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeCalls{events: []string{`{"seq":0}`, `{"seq":1}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			server := New(Limits{WriteTimeout: 3 * time.Second}, calls, clock.System(), nil).Server()
			go server.Serve(listener)
			defer server.Close()
			slow := listener.dial()
			io.WriteString(slow, request("POST", "/v1/prompt", keyed, whole))
			began := time.Now()
			if err := <-calls.ended; err == nil || time.Since(began) != 3*time.Second {
				t.Errorf("ended by %v after %s", err, time.Since(began))
			}
			slow.Close()
			gone := listener.dial()
			io.WriteString(gone, request("POST", "/v1/prompt", keyed, whole))
			reader := bufio.NewReader(gone)
			for line := ""; !strings.Contains(line, `"seq":1`); {
				line, _ = reader.ReadString('\n')
			}
			began = time.Now()
			gone.Close()
			if err := <-calls.ended; err != context.Canceled || time.Since(began) != 0 {
				t.Errorf("ended by %v after %s", err, time.Since(began))
			}
		})
	})
	Convey("Bodies beyond the bound of all are refused at once, and every end gives its bytes back", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeCalls{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener, bound := newPipeListener(), int64(2*len(whole)-1)
			api := New(Limits{BodyMax: 1000, BodiesMax: bound}, calls, clock.System(), nil)
			server := api.Server()
			go server.Serve(listener)
			defer server.Close()
			first := listener.dial()
			go io.WriteString(first, request("POST", "/v1/prompt", keyed, whole))
			bufio.NewReader(first).ReadString('}')
			chunked := strings.ReplaceAll("POST /v1/call/s/ HTTP/1.1\nHost: n\n"+keyed+"Transfer-Encoding: chunked\n\n96\n"+strings.Repeat("x", 150)+"\n0\n\n", "\n", "\r\n")
			for name, text := range map[string]string{"its length": request("POST", "/v1/prompt", keyed, whole), "no length": chunked} {
				conn, began := listener.dial(), time.Now()
				go io.WriteString(conn, text)
				got, _ := io.ReadAll(conn)
				for _, part := range []string{" 503 ", `"code":2003`, "Retry-After: 1", "Connection: close"} {
					if !strings.Contains(string(got), part) || time.Since(began) != 0 {
						t.Errorf("a body that tells %s: no %q in %q after %s", name, part, got, time.Since(began))
					}
				}
				conn.Close()
			}
			half := listener.dial()
			go io.WriteString(half, strings.TrimSuffix(request("POST", "/v1/prompt", keyed, whole[:110]), whole[100:110]))
			synctest.Wait()
			if left := api.bodies.Available(); left != bound-int64(len(whole))-100 {
				t.Errorf("%d bytes are left while bodies are held", left)
			}
			io.ReadAll(half)
			first.Close()
			<-calls.ended
			synctest.Wait()
			if left := api.bodies.Available(); left != bound {
				t.Errorf("%d bytes of %d are left once all have ended", left, bound)
			}
		})
	})
	Convey("Requests beyond the bound are refused at once, and a connection outlives its answers", t, func() {
		synctest.Test(t, func(t *testing.T) {
			calls := &fakeCalls{events: []string{`{"seq":0}`}, ended: make(chan error, 1)}
			listener := newPipeListener()
			mounts := map[string]http.Handler{"/metrics": http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "up 1") })}
			api := New(Limits{Requests: 1, Connections: 2}, calls, clock.System(), mounts)
			server := api.Server()
			go server.Serve(api.Bounded(listener))
			defer server.Close()
			first := listener.dial()
			go io.WriteString(first, request("POST", "/v1/prompt", keyed, whole))
			bufio.NewReader(first).ReadString('}')
			second := listener.dial()
			reader := bufio.NewReader(second)
			ask := func(target string) int {
				go io.WriteString(second, "GET "+target+" HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k\r\n\r\n")
				answer, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, answer.Body)
				return answer.StatusCode
			}
			if status := ask("/v1/connect"); status != 503 {
				t.Errorf("status %d while the bound is reached", status)
			}
			first.Close()
			<-calls.ended
			<-time.After(20 * time.Second)
			for _, target := range []string{"/v1/connect", "/metrics"} {
				if status := ask(target); status != 200 {
					t.Errorf("status %d on the kept connection later", status)
				}
				<-time.After(20 * time.Second)
			}
			second.Close()
		})
	})
}
