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

	. "github.com/smartystreets/goconvey/convey"
)

// scripted is a server that answers each connection by a script.
type scripted struct {
	address string
	opened  chan int // the number of each connection that was opened
}

// serve runs a script for each connection: it gets the connection's number and
// its reader, and may write what it likes.
func serve(t *testing.T, script func(number int, in *bufio.Reader, conn net.Conn)) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scripted{address: listener.Addr().String(), opened: make(chan int, 100)}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.opened <- number
			go func() {
				defer conn.Close()
				script(number, bufio.NewReader(conn), conn)
			}()
		}
	}()
	return s
}

func (s *scripted) server() Server { return Server{Name: "s", Address: s.address} }

// receive reads one request, and returns nil when there is none.
func receive(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	return r
}

func reply(id, extra, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + extra + "\r\n" + body
}

func request(id, body string) *Request {
	return &Request{Method: "POST", Target: "/a/%2f?q=1", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(_ int, header http.Header) bool { return header.Get("Id") == id }}
}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return c
}

// fetch sends a request and reads the whole answer.
func fetch(t *testing.T, c *Client, server Server, id string) (string, error) {
	answer, failure := c.Send(ctx(t), server, request(id, "body "+id))
	if failure != nil {
		return "", failure
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

func echo(extra string) func(int, *bufio.Reader, net.Conn) {
	return func(_ int, in *bufio.Reader, conn net.Conn) {
		for r := receive(in); r != nil; r = receive(in) {
			_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), extra+"Content-Length: 2\r\n", "ok"))
		}
	}
}

func TestSend(t *testing.T) {
	Convey("A request arrives as it was given, and connections are used again", t, func() {
		got := make(chan *http.Request, 10)
		s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			for r := receive(in); r != nil; r = receive(in) {
				got <- r
				_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"))
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
		So(len(s.opened), ShouldEqual, 1)
	})
	Convey("A refused connection sends nothing", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := listener.Addr().String()
		So(listener.Close(), ShouldBeNil)
		_, failure := New(Config{}).Send(ctx(t), Server{"s", address}, request("1", ""))
		So(failure.Kind, ShouldEqual, Refused)
		So(failure.Sent, ShouldBeFalse)
	})
	Convey("A machine that does not answer a dial is silent, and nothing was sent", t, func() {
		c := New(Config{ConnectTimeout: time.Millisecond, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		_, failure := c.Send(ctx(t), Server{"s", "127.0.0.1:1"}, request("1", ""))
		So(failure.Kind, ShouldEqual, Silent)
		So(failure.Sent, ShouldBeFalse)
	})
}

func TestAnswersThatAreNotOurs(t *testing.T) {
	Convey("A whole answer to another request is passed over, and the right one behind it is taken", t, func() {
		s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := receive(in)
			_, _ = io.WriteString(conn, reply("stray", "Content-Length: 5\r\n", "stray")+reply(r.Header.Get("Id"), "Content-Length: 2\r\n", "ok"))
			receive(in)
		})
		body, err := fetch(t, New(Config{}), s.server(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
	Convey("Bytes that are no answer, or a stray one without an end, make a garbled answer", t, func() {
		for _, bytes := range []string{"no answer at all\r\n\r\n", reply("stray", "", "and on")} {
			s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
				receive(in)
				_, _ = io.WriteString(conn, bytes)
			})
			_, err := fetch(t, New(Config{}), s.server(), "1")
			So(err, ShouldHaveSameTypeAs, &Failure{})
			So(err.(*Failure).Kind, ShouldEqual, Garbled)
			So(err.(*Failure).Sent, ShouldBeTrue)
		}
	})
	Convey("Bytes beyond an answer end its connection, and reach no later request", t, func() {
		s := serve(t, func(number int, in *bufio.Reader, conn net.Conn) {
			for r := receive(in); r != nil; r = receive(in) {
				extra := ""
				if number == 1 {
					extra = "MORE"
				}
				_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"+extra))
			}
		})
		c := New(Config{})
		defer c.Close()
		for _, id := range []string{"1", "2", "3"} {
			body, err := fetch(t, c, s.server(), id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(len(s.opened), ShouldEqual, 2)
	})
	Convey("An interim answer is passed over", t, func() {
		s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := receive(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n"+reply(r.Header.Get("Id"), "Content-Length: 2\r\n", "ok"))
			receive(in)
		})
		body, err := fetch(t, New(Config{}), s.server(), "1")
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}

func TestAnswersThatEndEarly(t *testing.T) {
	cases := map[string]struct {
		head  string
		body  string
		reset bool
		whole bool
	}{
		"by length":                    {"Content-Length: 10\r\n", "short", false, false},
		"in chunks":                    {"Transfer-Encoding: chunked\r\n", "5\r\nshort\r\n", false, false},
		"by the connection, reset":     {"", "short", true, false},
		"by the connection, but whole": {"", "short", false, true},
	}
	for name, c := range cases {
		Convey("An answer that ends "+name, t, func() {
			s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
				r := receive(in)
				_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), c.head, c.body))
				if c.reset {
					_, _ = in.Peek(1)
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			client := New(Config{})
			answer, failure := client.Send(ctx(t), s.server(), request("1", ""))
			So(failure, ShouldBeNil)
			if c.reset {
				_, err := io.ReadFull(answer, make([]byte, len(c.body)))
				So(err, ShouldBeNil)
				_, err = answer.conn.raw.Write([]byte("x"))
				So(err, ShouldBeNil)
			}
			_, err := io.ReadAll(answer)
			So(err == nil, ShouldEqual, c.whole)
			if !c.whole {
				So(err.(*Failure).Kind, ShouldEqual, Cut)
			}
			answer.Close()
		})
	}
	Convey("A connection that ends without an answer is lost, though the server may have got the request", t, func() {
		s := serve(t, func(_ int, in *bufio.Reader, _ net.Conn) { receive(in) })
		_, failure := New(Config{}).Send(ctx(t), s.server(), request("1", "x"))
		So(failure.Kind, ShouldEqual, Lost)
		So(failure.Sent, ShouldBeTrue)
	})
	Convey("A request that is given up closes its connection, so that the server can stop", t, func() {
		stopped := make(chan struct{})
		s := serve(t, func(_ int, in *bufio.Reader, _ net.Conn) {
			receive(in)
			_, _ = in.Peek(1)
			close(stopped)
		})
		giving, cancel := context.WithCancel(ctx(t))
		go func() {
			<-s.opened
			cancel()
		}()
		_, failure := New(Config{}).Send(giving, s.server(), request("1", "x"))
		So(failure.Kind, ShouldEqual, Withdrawn)
		<-stopped
	})
}

// handClock is a clock that moves by hand.
type handClock struct {
	clock.Clock
	now time.Time
}

func (c *handClock) Now() time.Time { return c.now }

func TestRest(t *testing.T) {
	Convey("A connection rests as long as its server said, less a margin, and is not used after", t, func() {
		s := serve(t, echo("Keep-Alive: timeout=2\r\n"))
		clock := &handClock{clock.System(), time.Unix(1000, 0)}
		c := New(Config{Clock: clock})
		defer c.Close()
		for i, pause := range []time.Duration{0, 1600 * time.Millisecond, 1700 * time.Millisecond} {
			clock.now = clock.now.Add(pause)
			_, err := fetch(t, c, s.server(), "1")
			So(err, ShouldBeNil)
			So(len(s.opened), ShouldEqual, []int{1, 1, 2}[i])
		}
	})
	Convey("A server that says it closes is not used again", t, func() {
		s := serve(t, echo("Connection: close\r\n"))
		c := New(Config{})
		for range 2 {
			_, err := fetch(t, c, s.server(), "1")
			So(err, ShouldBeNil)
		}
		So(len(s.opened), ShouldEqual, 2)
	})
	Convey("A connection that its server closed at rest costs no request", t, func() {
		ended := make(chan struct{})
		s := serve(t, func(_ int, in *bufio.Reader, conn net.Conn) {
			r := receive(in)
			_, _ = io.WriteString(conn, reply(r.Header.Get("Id"), "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n", "ok"))
		})
		c := New(Config{})
		_, err := fetch(t, c, s.server(), "1")
		So(err, ShouldBeNil)
		held := <-(*c.endpoints.Load())["s"].idle
		go func() { <-held.gone; close(ended) }()
		<-ended
		(*c.endpoints.Load())["s"].idle <- held
		_, err = fetch(t, c, s.server(), "2")
		So(err, ShouldBeNil)
	})
	Convey("A warmed connection serves the next request; a server under another address gets its own", t, func() {
		one, other := serve(t, echo("")), serve(t, echo(""))
		c := New(Config{})
		defer c.Close()
		So(c.Warm(ctx(t), one.server()), ShouldBeNil)
		_, err := fetch(t, c, one.server(), "1")
		So(err, ShouldBeNil)
		So(len(one.opened), ShouldEqual, 1)
		_, err = fetch(t, c, other.server(), "2")
		So(err, ShouldBeNil)
		So(len(other.opened), ShouldEqual, 1)
	})
}
