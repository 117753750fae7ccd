package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/stage"
)

// fakeServer is an HTTP/1.1 server on a plain TCP listener. It counts connections and
// the requests whose header it has received.
type fakeServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

// newFakeServer starts a server that calls respond for each request.
func newFakeServer(t *testing.T, respond func(conn *net.TCPConn, request *http.Request)) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &fakeServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					s.requests.Add(1)
					respond(conn.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return s
}

// respondRaw returns a responder that writes text with CRLF line ends and closes the
// connection.
func respondRaw(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		_ = conn.Close()
	}
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(conn *net.TCPConn, _ *http.Request) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func newTestAttempt(address string) *Attempt {
	return &Attempt{ID: "r1", Server: "s1", Address: address, Now: time.Now, Deadline: time.Now().Add(time.Minute)}
}

func newClient(t *testing.T, config Config) *Client {
	client, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return client
}

func TestOneShotIsSentAtMostOnce(t *testing.T) {
	calls := map[string]*OneShot{
		"GET":  {Method: "GET", Path: "/map"},
		"POST": {Method: "POST", Path: "/order", Body: []byte("{}")},
		"PUT with an idempotency key": {Method: "PUT", Path: "/order", Body: []byte("{}"),
			Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}},
	}
	for name, call := range calls {
		Convey("A one-shot "+name, t, func() {
			client := newClient(t, Config{})
			Convey("whose connection is reset after the server has read it may have run and is not sent again", func() {
				server := newFakeServer(t, resetConnection)
				_, failure := client.Call(context.Background(), newTestAttempt(server.address), call)
				So(failure.Kind, ShouldEqual, ServerFailed)
				So(failure.NotSent(), ShouldBeFalse)
				So(server.requests.Load(), ShouldEqual, 1)
				So(server.connections.Load(), ShouldEqual, 1)
			})
			Convey("is not sent on a connection that the server keeps alive and then resets", func() {
				var served atomic.Int64
				server := newFakeServer(t, func(conn *net.TCPConn, request *http.Request) {
					if served.Add(1)%2 == 0 {
						resetConnection(conn, request)
						return
					}
					_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nStepwick-Request-Id: r1\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok")
				})
				response, failure := client.Call(context.Background(), newTestAttempt(server.address), call)
				So(failure, ShouldBeNil)
				So(string(response.Body), ShouldEqual, "ok")
				_, failure = client.Call(context.Background(), newTestAttempt(server.address), call)
				So(failure.NotSent(), ShouldBeFalse)
				So(server.requests.Load(), ShouldEqual, 2)
				So(server.connections.Load(), ShouldEqual, 2)
			})
			Convey("to a port without a listener has not run", func() {
				listener, _ := net.Listen("tcp", "127.0.0.1:0")
				address := listener.Addr().String()
				_ = listener.Close()
				_, failure := client.Call(context.Background(), newTestAttempt(address), call)
				So(failure.Kind, ShouldEqual, ConnectionRefused)
				So(failure.NotSent(), ShouldBeTrue)
			})
			Convey("that is forbidden before the first write sends nothing to the server", func() {
				server := newFakeServer(t, resetConnection)
				attempt := newTestAttempt(server.address)
				attempt.CheckSend = func() *apierror.Error { return apierror.Errorf(apierror.KeyRevoked, "revoked") }
				_, failure := client.Call(context.Background(), attempt, call)
				So(failure.Kind, ShouldEqual, SendForbidden)
				So(failure.Cause.Code, ShouldEqual, apierror.KeyRevoked)
				So(server.requests.Load(), ShouldEqual, 0)
			})
		})
	}
}

func TestDialAfterCancellationWritesNothing(t *testing.T) {
	Convey("A dial that completes after its request was reported as not sent writes nothing", t, func() {
		synctest.Test(t, func(t *testing.T) {
			serverConn, clientConn := net.Pipe()
			client := newClient(t, Config{ConnectTimeout: time.Hour, Dial: func(context.Context, string, string) (net.Conn, error) {
				<-time.After(10 * time.Second)
				return clientConn, nil
			}})
			read := make(chan int, 1)
			go func() {
				n, _ := serverConn.Read(make([]byte, 1))
				read <- n
			}()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			attempt := newTestAttempt("server:1")
			attempt.Deadline = time.Now().Add(time.Second)
			began := time.Now()
			_, failure := client.Call(ctx, attempt, &OneShot{Method: "GET", Path: "/"})
			if !failure.NotSent() || time.Since(began) != time.Second {
				t.Errorf("Call: got failure %v after %s; want an unsent request after 1s", failure, time.Since(began))
			}
			if n := <-read; n != 0 {
				t.Errorf("the server received %d bytes of a call that was reported as not sent", n)
			}
		})
	})
	Convey("Once sending is prevented, the guard permits no write; once it has started, it cannot be prevented", t, func() {
		attempt := newTestAttempt("")
		preventedFirst, startedFirst := attempt.newSendGuard(), attempt.newSendGuard()
		So(preventedFirst.prevent(), ShouldBeTrue)
		So(preventedFirst.allowWrite(), ShouldBeFalse)
		So(startedFirst.allowWrite(), ShouldBeTrue)
		So(startedFirst.prevent(), ShouldBeFalse)
		So(startedFirst.allowWrite(), ShouldBeTrue)
	})
}

func TestIncompleteResponsesFail(t *testing.T) {
	const id = "Stepwick-Request-Id: r1\n"
	rows := []struct {
		name, response, method string
		kind                   FailureKind
	}{
		{"a complete body of the stated length", "HTTP/1.1 201 Made\n" + id + "Content-Length: 2\n\nok", "GET", ""},
		{"a complete chunked body", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n2\nok\n0\n\n", "GET", ""},
		{"an interim response first", "HTTP/1.1 103 Hints\n\nHTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok", "GET", ""},
		{"no body to a HEAD request", "HTTP/1.1 200 OK\n" + id + "Content-Length: 200\n\n", "HEAD", ""},
		{"a status that has no body", "HTTP/1.1 204 None\n" + id + "\n", "GET", ""},
		{"a body shorter than its stated length", "HTTP/1.1 200 OK\n" + id + "Content-Length: 9\n\nok", "GET", Incomplete},
		{"chunks but no last chunk", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n2\nok\n", "GET", Incomplete},
		{"a truncated chunk", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n9\nok", "GET", Incomplete},
		{"a body delimited only by the end of the connection", "HTTP/1.1 200 OK\n" + id + "\nok", "GET", Incomplete},
		{"another request's id", "HTTP/1.1 200 OK\nStepwick-Request-Id: r2\nContent-Length: 2\n\nok", "GET", ProtocolViolation},
		{"no request id", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "GET", ProtocolViolation},
		{"an invalid status", "HTTP/1.1 777 What\n" + id + "Content-Length: 2\n\nok", "GET", ProtocolViolation},
		{"a body over the limit", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2000\n\n" + strings.Repeat("x", 2000), "GET", ProtocolViolation},
		{"a header over the limit", "HTTP/1.1 200 OK\n" + id + "X: " + strings.Repeat("x", 9000) + "\nContent-Length: 2\n\nok", "GET", ServerFailed},
		{"bytes that are not HTTP", "what?\n\n", "GET", ServerFailed},
		{"no bytes", "", "GET", ServerFailed},
	}
	for _, row := range rows {
		Convey("A response with "+row.name, t, func() {
			server := newFakeServer(t, respondRaw(row.response))
			client := newClient(t, Config{MaxBodyBytes: 1000, MaxHeaderBytes: 4096})
			response, failure := client.Call(context.Background(), newTestAttempt(server.address), &OneShot{Method: row.method, Path: "/"})
			if row.kind == "" {
				So(failure, ShouldBeNil)
				So(response, ShouldNotBeNil)
			} else {
				So(response, ShouldBeNil)
				So(failure.Kind, ShouldEqual, row.kind)
				So(failure.NotSent(), ShouldBeFalse)
			}
			So(server.requests.Load(), ShouldEqual, 1)
		})
	}
}

func eventText(id string, seq int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"seq\":%d,\"text\":\"t\"}\n\n", id, seq)
}

func finalEventText(id string, count int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"final\":true,\"count\":%d}\n\n", id, count)
}

func TestInvalidStreamEventsFail(t *testing.T) {
	twoEvents := eventText("r1", 0) + eventText("r1", 1)
	rows := []struct {
		name, stream string
		eventCount   int
		kind         FailureKind
	}{
		{"that is complete", twoEvents + finalEventText("r1", 2), 3, ""},
		{"with only a final event", finalEventText("r1", 0), 1, ""},
		{"with comments and carriage returns", ": hello\r\n\r\n" + strings.ReplaceAll(twoEvents, "\n", "\r\n") + finalEventText("r1", 2), 3, ""},
		{"with an event after its final event", twoEvents + finalEventText("r1", 2) + eventText("r2", 0), 3, ""},
		{"that repeats an event", twoEvents + eventText("r1", 1) + finalEventText("r1", 3), 2, EventsOutOfOrder},
		{"that skips an event", eventText("r1", 0) + eventText("r1", 2) + finalEventText("r1", 2), 1, EventsOutOfOrder},
		{"that skips its first event", eventText("r1", 1) + finalEventText("r1", 1), 0, EventsOutOfOrder},
		{"with another request's event", eventText("r1", 0) + eventText("r2", 1) + finalEventText("r1", 2), 1, ProtocolViolation},
		{"with another request's final event", twoEvents + finalEventText("r2", 2), 2, ProtocolViolation},
		{"whose final event has a wrong count", twoEvents + finalEventText("r1", 3), 2, EventsOutOfOrder},
		{"whose final event has no count", twoEvents + "data: {\"id\":\"r1\",\"final\":true}\n\n", 2, ProtocolViolation},
		{"with an event without an id", "data: {\"seq\":0}\n\n", 0, ProtocolViolation},
		{"with an event that is not JSON", eventText("r1", 0) + "data: what\n\n", 1, ProtocolViolation},
		{"with an error event", eventText("r1", 0) + "event: error\ndata: {}\n\n", 1, ProtocolViolation},
		{"with an event over the limit", eventText("r1", 0) + "data: " + strings.Repeat("x", 3000) + "\n\n", 1, ProtocolViolation},
		{"that ends cleanly before its final event", twoEvents, 2, ServerFailed},
		{"that ends cleanly inside an event", twoEvents + "data: {\"id\":\"r1\",\"fi", 2, ProtocolViolation},
		{"that is empty", "", 0, ServerFailed},
	}
	for _, row := range rows {
		Convey("A stream "+row.name, t, func() {
			server := newFakeServer(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(row.stream), row.stream)
			})
			received, failure := generate(context.Background(), newClient(t, Config{MaxEventBytes: 2000}), newTestAttempt(server.address))
			So(len(received), ShouldEqual, row.eventCount)
			if row.kind == "" {
				So(failure, ShouldBeNil)
				So(received[len(received)-1].Final, ShouldBeTrue)
			} else {
				So(failure, ShouldNotBeNil)
				So(failure.Kind, ShouldEqual, row.kind)
			}
			So(server.requests.Load(), ShouldEqual, 1)
		})
	}
	rejectedResponses := []struct {
		name, response string
		kind           FailureKind
	}{
		{"status 503 and the code of a busy server", "HTTP/1.1 503 Busy\nContent-Length: 15\n\n{\"code\":\"busy\"}", ServerBusy},
		{"status 503 and no code", "HTTP/1.1 503 Busy\nContent-Length: 2\n\n{}", ServerFailed},
		{"status 500", "HTTP/1.1 500 Oh\nContent-Length: 0\n\n", ServerFailed},
		{"another request's id", "HTTP/1.1 200 OK\nStepwick-Request-Id: r2\nContent-Type: text/event-stream\nContent-Length: 0\n\n", ProtocolViolation},
		{"another content type", "HTTP/1.1 200 OK\nContent-Type: text/html\nContent-Length: 0\n\n", ProtocolViolation},
	}
	for _, row := range rejectedResponses {
		Convey("A response to a prompt that has "+row.name, t, func() {
			server := newFakeServer(t, respondRaw(row.response))
			received, failure := generate(context.Background(), newClient(t, Config{}), newTestAttempt(server.address))
			So(received, ShouldBeEmpty)
			So(failure.Kind, ShouldEqual, row.kind)
		})
	}
}

// generate runs Generate and returns the events received and the failure.
func generate(ctx context.Context, client *Client, attempt *Attempt) (received []Event, failure *Failure) {
	queue := stage.NewQueue[Event](2)
	go client.Generate(ctx, attempt, &Prompt{Service: "chat", MaxTokens: 5}, queue)
	for event := range queue.Items() {
		received = append(received, event)
	}
	errors.As(queue.Cause(), &failure)
	return received, failure
}

// pipeDial returns a dial function that connects to an in-memory server, which reads
// one request, calls respond and closes the connection.
func pipeDial(respond func(conn net.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		serverConn, clientConn := net.Pipe()
		go func() {
			defer func() { _ = serverConn.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(serverConn)); err == nil {
				respond(serverConn)
			}
		}()
		return clientConn, nil
	}
}

func TestUnresponsiveServerTimesOut(t *testing.T) {
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	waitForClose := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }
	rows := []struct {
		name       string
		send       string
		eventCount int
		timeout    time.Duration
	}{
		{"from the start of the response", "", 0, 4 * time.Second},
		{"after the header", header, 0, 4 * time.Second},
		{"after an event", header + eventText("r1", 0), 1, 3 * time.Second},
		{"except for comments", header + eventText("r1", 0) + ": still here\n\n", 1, 3 * time.Second},
	}
	for _, row := range rows {
		Convey("An attempt at a server that is silent "+row.name+" fails after the timeout", t, func() {
			synctest.Test(t, func(t *testing.T) {
				client := newClient(t, Config{FirstEventTimeout: 4 * time.Second, EventGapTimeout: 3 * time.Second, Dial: pipeDial(func(conn net.Conn) {
					_, _ = fmt.Fprint(conn, row.send)
					waitForClose(conn)
				})})
				began := time.Now()
				received, failure := generate(context.Background(), client, newTestAttempt("server:1"))
				if len(received) != row.eventCount || failure == nil || failure.Kind != TimedOut || time.Since(began) != row.timeout {
					t.Errorf("received %d events, then failure %v after %s", len(received), failure, time.Since(began))
				}
			})
		})
	}
	Convey("A caller that receives events slowly does not make the server time out", t, func() {
		synctest.Test(t, func(t *testing.T) {
			client := newClient(t, Config{EventGapTimeout: time.Second, Dial: pipeDial(func(conn net.Conn) {
				_, _ = fmt.Fprint(conn, header)
				for i := range 8 {
					_, _ = fmt.Fprint(conn, eventText("r1", i))
				}
				_, _ = fmt.Fprint(conn, finalEventText("r1", 8))
			})})
			queue := stage.NewQueue[Event](1)
			go client.Generate(context.Background(), newTestAttempt("server:1"), &Prompt{}, queue)
			received := 0
			for range queue.Items() {
				received++
				<-time.After(5 * time.Second)
			}
			if received != 9 || queue.Cause() != nil {
				t.Errorf("received %d events, then failure %v", received, queue.Cause())
			}
		})
	})
	Convey("Cancelling the context closes the connection to the server", t, func() {
		synctest.Test(t, func(t *testing.T) {
			closedByClient := make(chan struct{})
			client := newClient(t, Config{Dial: pipeDial(func(conn net.Conn) {
				_, _ = fmt.Fprint(conn, header+eventText("r1", 0))
				waitForClose(conn)
				close(closedByClient)
			})})
			ctx, cancel := context.WithCancel(context.Background())
			queue := stage.NewQueue[Event](1)
			go client.Generate(ctx, newTestAttempt("server:1"), &Prompt{}, queue)
			<-queue.Items()
			cancel()
			<-closedByClient
			if _, open := <-queue.Items(); open {
				t.Error("an event was received after the context was cancelled")
			}
			var failure *Failure
			if !errors.As(queue.Cause(), &failure) || failure.Kind != Cancelled {
				t.Errorf("queue closed with %v, want a cancelled failure", queue.Cause())
			}
		})
	})
}

func BenchmarkConnection(b *testing.B) {
	response := "HTTP/1.1 200 OK\r\nStepwick-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
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
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(conn, response)
					if request.Close {
						return
					}
				}
			}()
		}
	}()
	for _, keepAlive := range []bool{false, true} {
		name := map[bool]string{false: "per request", true: "kept alive"}[keepAlive]
		b.Run(name, func(b *testing.B) {
			client, err := New(Config{})
			if err != nil {
				b.Fatal(err)
			}
			client.transport.DisableKeepAlives = !keepAlive
			attempt := newTestAttempt(listener.Addr().String())
			attempt.Deadline = time.Now().Add(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if _, failure := client.Call(context.Background(), attempt, &OneShot{Method: "GET", Path: "/"}); failure != nil {
					b.Fatal(failure)
				}
			}
		})
	}
}
