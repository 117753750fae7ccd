package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"stepwick/internal/clock"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// scriptedServer is a TCP server that runs a script for each connection.
type scriptedServer struct {
	address     string
	connections chan int // the number of each accepted connection
}

// startServer starts a server that calls script for each connection, with the number
// of the connection, counted from 1, and a reader of it.
func startServer(t *testing.T, script func(number int, in *bufio.Reader, conn net.Conn)) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String(), connections: make(chan int, 100)}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections <- number
			go func() {
				defer func() { _ = conn.Close() }()
				script(number, bufio.NewReader(conn), conn)
			}()
		}
	}()
	return s
}

func (s *scriptedServer) server() Server { return Server{Name: "s", Address: s.address} }

// readRequest reads one request with its body, and returns nil if that fails.
func readRequest(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func formatResponse(id, extra, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + extra + "\r\n" + body
}

func newTestRequest(id, body string) *Request {
	return &Request{Method: "POST", Target: "/a/%2f?q=1", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(_ int, header http.Header) bool { return header.Get("Id") == id }}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// failureOf returns the Failure that err wraps, or the zero value.
func failureOf(err error) Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return *failure
	}
	return Failure{}
}

// fetch sends a request and returns the body of the response.
func fetch(t *testing.T, c *Client, server Server, id string) (string, error) {
	response, failure := c.Send(testContext(t), server, newTestRequest(id, "body "+id))
	if failure != nil {
		return "", failure
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// respondOK returns a script that responds to each request with the body "ok" and the
// extra header lines.
func respondOK(extra string) func(int, *bufio.Reader, net.Conn) {
	return func(_ int, in *bufio.Reader, conn net.Conn) {
		for r := readRequest(in); r != nil; r = readRequest(in) {
			_, _ = io.WriteString(conn, formatResponse(r.Header.Get("Id"), extra+"Content-Length: 2\r\n", "ok"))
		}
	}
}

func TestSend(t *testing.T) {
	Convey("A request arrives unchanged, and connections are reused", t, func() {
		got := make(chan *http.Request, 10)
		s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			for r := readRequest(in); r != nil; r = readRequest(in) {
				got <- r
				_, _ = io.WriteString(conn, formatResponse(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"))
			}
		})
		c := New(Config{})
		defer c.Close()
		for _, id := range []string{"1", "2", "3"} {
			body, err := fetch(t, c, s.server(), id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
			r := <-got
			So(r.RequestURI, ShouldEqual, "/a/%2f?q=1")
			So(r.Host, ShouldEqual, "h.example")
			sent, _ := io.ReadAll(r.Body)
			So(string(sent), ShouldEqual, "body "+id)
			So(r.Header, ShouldResemble, http.Header{"Id": {id}, "Content-Length": {"6"}})
		}
		So(len(s.connections), ShouldEqual, 1)
	})
	Convey("A refused connection means that nothing was sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		_, failure := New(Config{}).Send(testContext(t), Server{"s", address}, newTestRequest("1", ""))
		So(failure.Kind, ShouldEqual, Refused)
		So(failure.Sent, ShouldBeFalse)
	})
	Convey("A dial that times out fails as unresponsive, and nothing was sent", t, func() {
		c := New(Config{ConnectTimeout: time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		_, failure := c.Send(testContext(t), Server{"s", "127.0.0.1:1"}, newTestRequest("1", ""))
		So(failure.Kind, ShouldEqual, Unresponsive)
		So(failure.Sent, ShouldBeFalse)
	})
}

func TestUnmatchedResponses(t *testing.T) {
	Convey("A complete response to another request is skipped, and the matching response after it is returned", t, func() {
		s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := readRequest(in)
			_, _ = io.WriteString(conn, formatResponse("stray", "Content-Length: 5\r\n", "stray")+formatResponse(r.Header.Get("Id"), "Content-Length: 2\r\n", "ok"))
			readRequest(in)
		})
		body, err := fetch(t, New(Config{}), s.server(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
	Convey("Bytes that are not a response, or an unmatched response without a known end, fail as malformed", t, func() {
		for _, bytes := range []string{"no response at all\r\n\r\n", formatResponse("stray", "", "and on")} {
			s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
				readRequest(in)
				_, _ = io.WriteString(conn, bytes)
			})
			_, err := fetch(t, New(Config{}), s.server(), "1")
			So(err, ShouldHaveSameTypeAs, &Failure{})
			So(failureOf(err).Kind, ShouldEqual, Malformed)
			So(failureOf(err).Sent, ShouldBeTrue)
		}
	})
	Convey("Extra bytes after a response close the connection and are not read as the next response", t, func() {
		s := startServer(t, func(number int, in *bufio.Reader, conn net.Conn) {
			for r := readRequest(in); r != nil; r = readRequest(in) {
				extra := ""
				if number == 1 {
					extra = "MORE"
				}
				_, _ = io.WriteString(conn, formatResponse(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"+extra))
			}
		})
		c := New(Config{})
		defer c.Close()
		for _, id := range []string{"1", "2", "3"} {
			body, err := fetch(t, c, s.server(), id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(len(s.connections), ShouldEqual, 2)
	})
	Convey("An interim response is skipped", t, func() {
		s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := readRequest(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n"+formatResponse(r.Header.Get("Id"), "Content-Length: 2\r\n", "ok"))
			readRequest(in)
		})
		body, err := fetch(t, New(Config{}), s.server(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}

func TestTruncatedResponses(t *testing.T) {
	cases := map[string]struct {
		head     string
		body     string
		reset    bool
		complete bool
	}{
		"before its stated length":                  {"Content-Length: 10\r\n", "short", false, false},
		"before its last chunk":                     {"Transfer-Encoding: chunked\r\n", "5\r\nshort\r\n", false, false},
		"early by a connection reset":               {"", "short", true, false},
		"complete by a clean end of the connection": {"", "short", false, true},
	}
	for name, c := range cases {
		Convey("A response that ends "+name, t, func() {
			s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
				r := readRequest(in)
				_, _ = io.WriteString(conn, formatResponse(r.Header.Get("Id"), c.head, c.body))
				if c.reset {
					_, _ = in.Peek(1)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := New(Config{})
			response, failure := client.Send(testContext(t), s.server(), newTestRequest("1", ""))
			So(failure, ShouldBeNil)
			if c.reset {
				_, err := io.ReadFull(response, make([]byte, len(c.body)))
				So(err, ShouldBeNil)
				_, err = response.conn.raw.Write([]byte("x"))
				So(err, ShouldBeNil)
			}
			_, err := io.ReadAll(response)
			So(err == nil, ShouldEqual, c.complete)
			if !c.complete {
				So(failureOf(err).Kind, ShouldEqual, Truncated)
			}
			response.Close()
		})
	}
	Convey("A connection that ends without a response fails as lost, and the request counts as sent", t, func() {
		s := startServer(t, func(_ int, in *bufio.Reader, _ net.Conn) { readRequest(in) })
		_, failure := New(Config{}).Send(testContext(t), s.server(), newTestRequest("1", "x"))
		So(failure.Kind, ShouldEqual, Lost)
		So(failure.Sent, ShouldBeTrue)
	})
	Convey("Cancelling a request closes its connection, so that the server can stop", t, func() {
		stopped := make(chan struct{})
		s := startServer(t, func(_ int, in *bufio.Reader, _ net.Conn) {
			readRequest(in)
			_, _ = in.Peek(1)
			close(stopped)
		})
		ctx, cancel := context.WithCancel(testContext(t))
		go func() {
			<-s.connections
			cancel()
		}()
		_, failure := New(Config{}).Send(ctx, s.server(), newTestRequest("1", "x"))
		So(failure.Kind, ShouldEqual, Cancelled)
		<-stopped
	})
}

// manualClock is a clock whose time is advanced only by the test.
type manualClock struct {
	clock.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func TestIdleConnections(t *testing.T) {
	Convey("An idle connection is reused until idleMargin before its server's stated timeout", t, func() {
		s := startServer(t, respondOK("Keep-Alive: timeout=2\r\n"))
		clock := &manualClock{clock.System(), time.Unix(1000, 0)}
		c := New(Config{Clock: clock})
		defer c.Close()
		for i, pause := range []time.Duration{0, 1600 * time.Millisecond, 1700 * time.Millisecond} {
			clock.now = clock.now.Add(pause)
			_, err := fetch(t, c, s.server(), "1")
			So(err, ShouldBeNil)
			So(len(s.connections), ShouldEqual, []int{1, 1, 2}[i])
		}
	})
	Convey("A connection whose response has Connection: close is not reused", t, func() {
		s := startServer(t, respondOK("Connection: close\r\n"))
		c := New(Config{})
		for range 2 {
			_, err := fetch(t, c, s.server(), "1")
			So(err, ShouldBeNil)
		}
		So(len(s.connections), ShouldEqual, 2)
	})
	Convey("A pooled connection that its server closed while idle does not fail the next request", t, func() {
		ended := make(chan struct{})
		s := startServer(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := readRequest(in)
			_, _ = io.WriteString(conn, formatResponse(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"))
		})
		c := New(Config{})
		_, err := fetch(t, c, s.server(), "1")
		So(err, ShouldBeNil)
		idle := <-(*c.pools.Load())["s"].idle
		go func() {
			<-idle.readerEnded
			close(ended)
		}()
		<-ended
		(*c.pools.Load())["s"].idle <- idle
		_, err = fetch(t, c, s.server(), "2")
		So(err, ShouldBeNil)
	})
	Convey("A preconnected connection carries the next request, but not one to the same server at another address", t, func() {
		first, second := startServer(t, respondOK("")), startServer(t, respondOK(""))
		c := New(Config{})
		defer c.Close()
		So(c.Preconnect(testContext(t), first.server()), ShouldBeNil)
		_, err := fetch(t, c, first.server(), "1")
		So(err, ShouldBeNil)
		So(len(first.connections), ShouldEqual, 1)
		_, err = fetch(t, c, second.server(), "2")
		So(err, ShouldBeNil)
		So(len(second.connections), ShouldEqual, 1)
	})
}
