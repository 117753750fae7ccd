// Package upstream sends requests to HTTP/1.1 servers over connections that are
// kept alive, and proves of every answer that it belongs to its request.
//
// net/http's Transport is not used: it sends a request again by itself when a
// kept connection dies, asks for compression, and takes whatever comes on a
// connection as the next answer. Here each connection has one reader, which
// finds what comes unasked; messages are written and parsed with net/http.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"stepwick/internal/clock"

	"github.com/pkg/errors"
)

// Config holds a client's bounds. Zero values take the defaults named.
type Config struct {
	Dial           func(ctx context.Context, network, address string) (net.Conn, error)
	ConnectTimeout time.Duration // default 1s
	HeaderMax      int64         // bytes of an answer's header; default 64 KiB
	IdleMost       int           // connections kept idle for one server; default 64
	// IdleFor is how long a connection may rest and be used again where the
	// server did not say; default 400ms.
	IdleFor time.Duration
	Clock   clock.Clock // default the machine's
	// Silent is told the name of a server whose machine stopped to acknowledge
	// while a connection to it rested; may be nil.
	Silent func(server string)
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = time.Second
	}
	if c.HeaderMax <= 0 {
		c.HeaderMax = 64 << 10
	}
	if c.IdleMost <= 0 {
		c.IdleMost = 64
	}
	if c.IdleFor <= 0 {
		c.IdleFor = 400 * time.Millisecond
	}
	if c.Clock == nil {
		c.Clock = clock.System()
	}
	return c
}

// Kind tells what became of an attempt that got no answer, or whose answer is
// not whole.
type Kind string

// Kinds of failures.
const (
	Refused   Kind = "refused"   // the connection was refused; nothing was sent
	Unsent    Kind = "unsent"    // no connection came up; nothing was sent
	Withdrawn Kind = "withdrawn" // the caller gave the attempt up
	Lost      Kind = "lost"      // the connection ended without an answer
	Garbled   Kind = "garbled"   // what came is no answer, or another request's
	Cut       Kind = "cut"       // the answer's body ended early
	Silent    Kind = "silent"    // the server's machine acknowledges nothing
)

// Failure is what became of an attempt without a whole answer. Sent tells
// whether the server may have got something of the request.
type Failure struct {
	Kind  Kind
	Sent  bool
	Cause error
}

func (f *Failure) Error() string {
	if f.Cause == nil {
		return string(f.Kind)
	}
	return string(f.Kind) + ": " + f.Cause.Error()
}

// Server names a server and its address, ip:port.
type Server struct{ Name, Address string }

// Request is what is sent to a server. Header holds neither the host nor the
// length of the body, which are written from Host and Body. Matches tells of an
// answer's header whether it belongs to the request.
type Request struct {
	Method  string
	Target  string // path and query as they were received
	Host    string
	Header  http.Header
	Body    []byte
	Matches func(status int, header http.Header) bool
}

// Client keeps the connections to servers. Any number of goroutines may use it.
type Client struct {
	config    Config
	endpoints atomic.Pointer[map[string]*endpoint] // by server name; replaced as a whole
}

// endpoint holds the connections to one server that rest.
type endpoint struct {
	server Server
	idle   chan *conn
}

// New returns a client without connections.
func New(config Config) *Client {
	c := &Client{config: config.withDefaults()}
	c.endpoints.Store(&map[string]*endpoint{})
	return c
}

// Send sends a request to a server and returns its answer once the header is
// there. The context bounds the attempt until the answer is closed.
func (c *Client) Send(ctx context.Context, server Server, request *Request) (*Answer, *Failure) {
	place := c.endpoint(server)
	for {
		held := place.rested(c.config.Clock.Now())
		if held == nil {
			break
		}
		answer, failure := c.attempt(ctx, place, held, request)
		if failure != nil && failure.Kind == Unsent {
			continue
		}
		return answer, failure
	}
	fresh, failure := c.connect(ctx, server)
	if failure != nil {
		return nil, failure
	}
	return c.attempt(ctx, place, fresh, request)
}

// Forget closes the resting connections of all servers but those named.
func (c *Client) Forget(keep func(server string) bool) {
	old := c.endpoints.Load()
	next := make(map[string]*endpoint, len(*old))
	var dropped []*endpoint
	for name, place := range *old {
		if keep(name) {
			next[name] = place
			continue
		}
		dropped = append(dropped, place)
	}
	if len(dropped) == 0 || !c.endpoints.CompareAndSwap(old, &next) {
		return
	}
	for _, place := range dropped {
		place.closeIdle()
	}
}

// Close closes all resting connections.
func (c *Client) Close() { c.Forget(func(string) bool { return false }) }

func (c *Client) endpoint(server Server) *endpoint {
	for {
		old := c.endpoints.Load()
		if place := (*old)[server.Name]; place != nil && place.server == server {
			return place
		}
		next := make(map[string]*endpoint, len(*old)+1)
		for name, place := range *old {
			next[name] = place
		}
		place := &endpoint{server: server, idle: make(chan *conn, c.config.IdleMost)}
		next[server.Name] = place
		if c.endpoints.CompareAndSwap(old, &next) {
			return place
		}
	}
}

// rested returns a connection that may be used again, or nil.
func (e *endpoint) rested(now time.Time) *conn {
	for {
		select {
		case held := <-e.idle:
			if held.ended() || !now.Before(held.restsUntil) {
				held.close()
				continue
			}
			return held
		default:
			return nil
		}
	}
}

func (e *endpoint) rest(held *conn) {
	select {
	case e.idle <- held:
	default:
		held.close()
	}
}

func (e *endpoint) closeIdle() {
	for {
		select {
		case held := <-e.idle:
			held.close()
		default:
			return
		}
	}
}

func (c *Client) connect(ctx context.Context, server Server) (*conn, *Failure) {
	bound, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	raw, err := c.config.Dial(bound, "tcp", server.Address)
	switch {
	case err == nil:
		return newConn(raw, c.config.HeaderMax, func() { c.silent(server.Name) }), nil
	case ctx.Err() != nil:
		return nil, &Failure{Kind: Withdrawn, Cause: ctx.Err()}
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, &Failure{Kind: Refused, Cause: err}
	}
	return nil, &Failure{Kind: Silent, Cause: err}
}

func (c *Client) silent(server string) {
	if c.config.Silent != nil {
		c.config.Silent(server)
	}
}

// Warm opens a connection to a server and keeps it for a request to come.
func (c *Client) Warm(ctx context.Context, server Server) *Failure {
	fresh, failure := c.connect(ctx, server)
	if failure != nil {
		return failure
	}
	fresh.restsUntil = c.config.Clock.Now().Add(c.config.IdleFor)
	c.endpoint(server).rest(fresh)
	return nil
}

// attempt sends a request over a connection. Unsent means that the connection
// had ended before anything was written.
func (c *Client) attempt(ctx context.Context, place *endpoint, held *conn, request *Request) (*Answer, *Failure) {
	if ctx.Err() != nil {
		held.close()
		return nil, &Failure{Kind: Withdrawn, Cause: ctx.Err()}
	}
	ex := newExchange(request)
	held.asks <- ex
	if held.ended() {
		held.close()
		return nil, &Failure{Kind: Unsent, Cause: errors.New("the connection has ended")}
	}
	stop := context.AfterFunc(ctx, held.close)
	if err := held.write(request); err != nil {
		stop()
		held.close()
		return nil, sent(ctx, Lost, err)
	}
	got, failure := held.await(ctx, ex)
	if failure != nil {
		stop()
		held.close()
		return nil, failure
	}
	return &Answer{Status: got.StatusCode, Header: got.Header, response: got, conn: held, exchange: ex,
		place: place, client: c, ctx: ctx, stop: stop}, nil
}

// sent returns the failure of an attempt of which something was written.
func sent(ctx context.Context, kind Kind, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: Withdrawn, Sent: true, Cause: ctx.Err()}
	case errors.Is(err, syscall.ETIMEDOUT):
		kind = Silent
	}
	return &Failure{Kind: kind, Sent: true, Cause: err}
}
