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

// fakeServer is a server on a raw listener. It counts the requests whose header
// has reached it, and calls respond for each request.
type fakeServer struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

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

func rawAnswer(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, _ *http.Request) {
		_, _ = fmt.Fprint(conn, strings.ReplaceAll(text, "\n", "\r\n"))
		_ = conn.Close()
	}
}

func reset(conn *net.TCPConn, _ *http.Request) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func attemptAt(address string) *Attempt {
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
	shots := map[string]*OneShot{
		"GET":  {Method: "GET", Path: "/map"},
		"POST": {Method: "POST", Path: "/order", Body: []byte("{}")},
		"PUT with an idempotency key": {Method: "PUT", Path: "/order", Body: []byte("{}"),
			Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}}},
	}
	for name, shot := range shots {
		Convey("A "+name, t, func() {
			client := newClient(t, Config{})
			Convey("whose connection is reset after it was read has an unknown outcome and is not sent again", func() {
				server := newFakeServer(t, reset)
				_, failure := client.Call(context.Background(), attemptAt(server.address), shot)
				So(failure.Kind, ShouldEqual, ServerFailed)
				So(failure.NotSent(), ShouldBeFalse)
				So(server.requests.Load(), ShouldEqual, 1)
				So(server.connections.Load(), ShouldEqual, 1)
			})
			Convey("is not put on a connection that the server kept alive and then reset", func() {
				var served atomic.Int64
				server := newFakeServer(t, func(conn *net.TCPConn, request *http.Request) {
					if served.Add(1)%2 == 0 {
						reset(conn, request)
						return
					}
					_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nStepwick-Request-Id: r1\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\nok")
				})
				answer, failure := client.Call(context.Background(), attemptAt(server.address), shot)
				So(failure, ShouldBeNil)
				So(string(answer.Body), ShouldEqual, "ok")
				_, failure = client.Call(context.Background(), attemptAt(server.address), shot)
				So(failure.NotSent(), ShouldBeFalse)
				So(server.requests.Load(), ShouldEqual, 2)
				So(server.connections.Load(), ShouldEqual, 2)
			})
			Convey("to a port where nobody listens is known not to have run", func() {
				listener, _ := net.Listen("tcp", "127.0.0.1:0")
				address := listener.Addr().String()
				_ = listener.Close()
				_, failure := client.Call(context.Background(), attemptAt(address), shot)
				So(failure.Kind, ShouldEqual, ConnectionRefused)
				So(failure.NotSent(), ShouldBeTrue)
			})
			Convey("that was barred meanwhile leaves the server without a byte", func() {
				server := newFakeServer(t, reset)
				attempt := attemptAt(server.address)
				attempt.Allow = func() *apierror.Error { return apierror.Errorf(apierror.KeyRevoked, "revoked") }
				_, failure := client.Call(context.Background(), attempt, shot)
				So(failure.Kind, ShouldEqual, SendForbidden)
				So(failure.Cause.Code, ShouldEqual, apierror.KeyRevoked)
				So(server.requests.Load(), ShouldEqual, 0)
			})
		})
	}
}

func TestCancelledDialNeverWrites(t *testing.T) {
	Convey("A dial that ends after its request was given up as not run writes nothing", t, func() {
		synctest.Test(t, func(t *testing.T) {
			server, near := net.Pipe()
			client := newClient(t, Config{ConnectTimeout: time.Hour, Dial: func(context.Context, string, string) (net.Conn, error) {
				<-time.After(10 * time.Second)
				return near, nil
			}})
			read := make(chan int, 1)
			go func() {
				n, _ := server.Read(make([]byte, 1))
				read <- n
			}()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			attempt := attemptAt("server:1")
			attempt.Deadline = time.Now().Add(time.Second)
			began := time.Now()
			_, failure := client.Call(ctx, attempt, &OneShot{Method: "GET", Path: "/"})
			if !failure.NotSent() || time.Since(began) != time.Second {
				t.Errorf("got %v after %s", failure, time.Since(began))
			}
			if n := <-read; n != 0 {
				t.Errorf("the server got %d bytes of a call that was said not to have run", n)
			}
		})
	})
	Convey("Once sending is prevented, the guard allows no write; once started, it cannot be prevented", t, func() {
		attempt := attemptAt("")
		preventedFirst, startedFirst := attempt.newSendGuard(), attempt.newSendGuard()
		So(preventedFirst.prevent(), ShouldBeTrue)
		So(preventedFirst.allowWrite(), ShouldBeFalse)
		So(startedFirst.allowWrite(), ShouldBeTrue)
		So(startedFirst.prevent(), ShouldBeFalse)
		So(startedFirst.allowWrite(), ShouldBeTrue)
	})
}

func TestAnswersAreComplete(t *testing.T) {
	const id = "Stepwick-Request-Id: r1\n"
	rows := []struct {
		name, answer, method string
		kind                 FailureKind
	}{
		{"a whole answer with its length", "HTTP/1.1 201 Made\n" + id + "Content-Length: 2\n\nok", "GET", ""},
		{"a whole chunked answer", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n2\nok\n0\n\n", "GET", ""},
		{"an interim answer first", "HTTP/1.1 103 Hints\n\nHTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok", "GET", ""},
		{"no body to a HEAD", "HTTP/1.1 200 OK\n" + id + "Content-Length: 200\n\n", "HEAD", ""},
		{"no body by its status", "HTTP/1.1 204 None\n" + id + "\n", "GET", ""},
		{"a body short of its length", "HTTP/1.1 200 OK\n" + id + "Content-Length: 9\n\nok", "GET", Incomplete},
		{"chunks without the last one", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n2\nok\n", "GET", Incomplete},
		{"a chunk cut short", "HTTP/1.1 200 OK\n" + id + "Transfer-Encoding: chunked\n\n9\nok", "GET", Incomplete},
		{"a body of no known length", "HTTP/1.1 200 OK\n" + id + "\nok", "GET", Incomplete},
		{"another request's id", "HTTP/1.1 200 OK\nStepwick-Request-Id: r2\nContent-Length: 2\n\nok", "GET", ProtocolViolation},
		{"no id", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "GET", ProtocolViolation},
		{"a status that is none", "HTTP/1.1 777 What\n" + id + "Content-Length: 2\n\nok", "GET", ProtocolViolation},
		{"a body over the bound", "HTTP/1.1 200 OK\n" + id + "Content-Length: 2000\n\n" + strings.Repeat("x", 2000), "GET", ProtocolViolation},
		{"a header over the bound", "HTTP/1.1 200 OK\n" + id + "X: " + strings.Repeat("x", 9000) + "\nContent-Length: 2\n\nok", "GET", ServerFailed},
		{"no HTTP at all", "what?\n\n", "GET", ServerFailed},
		{"nothing", "", "GET", ServerFailed},
	}
	for _, row := range rows {
		Convey("An answer with "+row.name, t, func() {
			server := newFakeServer(t, rawAnswer(row.answer))
			client := newClient(t, Config{BodyMax: 1000, HeaderMax: 4096})
			answer, failure := client.Call(context.Background(), attemptAt(server.address), &OneShot{Method: row.method, Path: "/"})
			if row.kind == "" {
				So(failure, ShouldBeNil)
				So(answer, ShouldNotBeNil)
			} else {
				So(answer, ShouldBeNil)
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

func TestStreamEventsAreChecked(t *testing.T) {
	good := eventText("r1", 0) + eventText("r1", 1)
	rows := []struct {
		name, events string
		passed       int
		kind         FailureKind
	}{
		{"whole", good + finalEventText("r1", 2), 3, ""},
		{"of a final event alone", finalEventText("r1", 0), 1, ""},
		{"with comments and carriage returns", ": hello\r\n\r\n" + strings.ReplaceAll(good, "\n", "\r\n") + finalEventText("r1", 2), 3, ""},
		{"with something after its final event", good + finalEventText("r1", 2) + eventText("r2", 0), 3, ""},
		{"that repeats an event", good + eventText("r1", 1) + finalEventText("r1", 3), 2, EventsOutOfOrder},
		{"that leaves an event out", eventText("r1", 0) + eventText("r1", 2) + finalEventText("r1", 2), 1, EventsOutOfOrder},
		{"that begins late", eventText("r1", 1) + finalEventText("r1", 1), 0, EventsOutOfOrder},
		{"with another request's event", eventText("r1", 0) + eventText("r2", 1) + finalEventText("r1", 2), 1, ProtocolViolation},
		{"with another request's end", good + finalEventText("r2", 2), 2, ProtocolViolation},
		{"with a wrong count", good + finalEventText("r1", 3), 2, EventsOutOfOrder},
		{"with no count", good + "data: {\"id\":\"r1\",\"final\":true}\n\n", 2, ProtocolViolation},
		{"with an event without id", "data: {\"seq\":0}\n\n", 0, ProtocolViolation},
		{"with an event that is no JSON", eventText("r1", 0) + "data: what\n\n", 1, ProtocolViolation},
		{"with an error event", eventText("r1", 0) + "event: error\ndata: {}\n\n", 1, ProtocolViolation},
		{"with an event over the bound", eventText("r1", 0) + "data: " + strings.Repeat("x", 3000) + "\n\n", 1, ProtocolViolation},
		{"that closes cleanly too early", good, 2, ServerFailed},
		{"that closes cleanly inside an event", good + "data: {\"id\":\"r1\",\"fi", 2, ProtocolViolation},
		{"that is empty", "", 0, ServerFailed},
	}
	for _, row := range rows {
		Convey("A stream "+row.name, t, func() {
			server := newFakeServer(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(row.events), row.events)
			})
			passed, failure := generate(context.Background(), newClient(t, Config{EventMax: 2000}), attemptAt(server.address))
			So(len(passed), ShouldEqual, row.passed)
			if row.kind == "" {
				So(failure, ShouldBeNil)
				So(passed[len(passed)-1].Final, ShouldBeTrue)
			} else {
				So(failure, ShouldNotBeNil)
				So(failure.Kind, ShouldEqual, row.kind)
			}
			So(server.requests.Load(), ShouldEqual, 1)
		})
	}
	heads := []struct {
		name, answer string
		kind         FailureKind
	}{
		{"503 busy", "HTTP/1.1 503 Busy\nContent-Length: 15\n\n{\"code\":\"busy\"}", ServerBusy},
		{"another 503", "HTTP/1.1 503 Busy\nContent-Length: 2\n\n{}", ServerFailed},
		{"an error", "HTTP/1.1 500 Oh\nContent-Length: 0\n\n", ServerFailed},
		{"another request's id", "HTTP/1.1 200 OK\nStepwick-Request-Id: r2\nContent-Type: text/event-stream\nContent-Length: 0\n\n", ProtocolViolation},
		{"a page", "HTTP/1.1 200 OK\nContent-Type: text/html\nContent-Length: 0\n\n", ProtocolViolation},
	}
	for _, row := range heads {
		Convey("A server that answers a prompt with "+row.name, t, func() {
			server := newFakeServer(t, rawAnswer(row.answer))
			passed, failure := generate(context.Background(), newClient(t, Config{}), attemptAt(server.address))
			So(passed, ShouldBeEmpty)
			So(failure.Kind, ShouldEqual, row.kind)
		})
	}
}

func generate(ctx context.Context, client *Client, attempt *Attempt) (passed []Event, failure *Failure) {
	queue := stage.NewQueue[Event](2)
	go client.Generate(ctx, attempt, &Prompt{Service: "chat", MaxTokens: 5}, queue)
	for event := range queue.Items() {
		passed = append(passed, event)
	}
	errors.As(queue.Cause(), &failure)
	return passed, failure
}

// pipeDial serves each dial by respond at the far end of a pipe.
func pipeDial(respond func(conn net.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		far, near := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				respond(far)
			}
		}()
		return near, nil
	}
}

func TestUnresponsiveServer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	hold := func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }
	rows := []struct {
		name   string
		send   string
		passed int
		after  time.Duration
	}{
		{"from the start", "", 0, 4 * time.Second},
		{"after the header", head, 0, 4 * time.Second},
		{"after an event", head + eventText("r1", 0), 1, 3 * time.Second},
		{"but for comments", head + eventText("r1", 0) + ": still here\n\n", 1, 3 * time.Second},
	}
	for _, row := range rows {
		Convey("A server that is dark "+row.name+" is given up after its bound", t, func() {
			synctest.Test(t, func(t *testing.T) {
				client := newClient(t, Config{FirstEventTimeout: 4 * time.Second, EventGapTimeout: 3 * time.Second, Dial: pipeDial(func(conn net.Conn) {
					_, _ = fmt.Fprint(conn, row.send)
					hold(conn)
				})})
				began := time.Now()
				passed, failure := generate(context.Background(), client, attemptAt("server:1"))
				if len(passed) != row.passed || failure == nil || failure.Kind != TimedOut || time.Since(began) != row.after {
					t.Errorf("passed %d events, then %v after %s", len(passed), failure, time.Since(began))
				}
			})
		})
	}
	Convey("A caller that is slow to take events doesn't make its server look dark", t, func() {
		synctest.Test(t, func(t *testing.T) {
			client := newClient(t, Config{EventGapTimeout: time.Second, Dial: pipeDial(func(conn net.Conn) {
				_, _ = fmt.Fprint(conn, head)
				for i := range 8 {
					_, _ = fmt.Fprint(conn, eventText("r1", i))
				}
				_, _ = fmt.Fprint(conn, finalEventText("r1", 8))
			})})
			queue := stage.NewQueue[Event](1)
			go client.Generate(context.Background(), attemptAt("server:1"), &Prompt{}, queue)
			taken := 0
			for range queue.Items() {
				taken++
				<-time.After(5 * time.Second)
			}
			if taken != 9 || queue.Cause() != nil {
				t.Errorf("took %d events, then %v", taken, queue.Cause())
			}
		})
	})
	Convey("A caller that gives up ends the call at its server", t, func() {
		synctest.Test(t, func(t *testing.T) {
			freed := make(chan struct{})
			client := newClient(t, Config{Dial: pipeDial(func(conn net.Conn) {
				_, _ = fmt.Fprint(conn, head+eventText("r1", 0))
				hold(conn)
				close(freed)
			})})
			ctx, cancel := context.WithCancel(context.Background())
			queue := stage.NewQueue[Event](1)
			go client.Generate(ctx, attemptAt("server:1"), &Prompt{}, queue)
			<-queue.Items()
			cancel()
			<-freed
			if _, open := <-queue.Items(); open {
				t.Error("an event came after the end")
			}
			var failure *Failure
			if !errors.As(queue.Cause(), &failure) || failure.Kind != Cancelled {
				t.Errorf("got %v", queue.Cause())
			}
		})
	})
}

func BenchmarkConnection(b *testing.B) {
	answer := "HTTP/1.1 200 OK\r\nStepwick-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
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
					_, _ = fmt.Fprint(conn, answer)
					if request.Close {
						return
					}
				}
			}()
		}
	}()
	for _, kept := range []bool{false, true} {
		name := map[bool]string{false: "own", true: "kept alive"}[kept]
		b.Run(name, func(b *testing.B) {
			client, err := New(Config{})
			if err != nil {
				b.Fatal(err)
			}
			client.transport.DisableKeepAlives = !kept
			attempt := attemptAt(listener.Addr().String())
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
