// Package backend is the client of model servers and web servers.
//
// Invariants: a request is sent at most once. Each attempt has a connection of its
// own, which is closed when the attempt ends: net/http's Transport sends a request
// again by itself only on a connection that was kept alive, so here it never does,
// and no answer can be left over from another request. A Failure reports whether
// the server may have received anything of the request.
//
// The package chooses no server and retries nothing; that is the front's concern.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

const (
	// HeaderRequestID carries the request's id to a server, which echoes it.
	HeaderRequestID = "Stepwick-Request-Id"
	// HeaderDeadline carries the remaining time to the deadline, in milliseconds.
	HeaderDeadline = "Stepwick-Deadline-Ms"
)

// Config holds a client's limits. Zero values take the defaults named.
type Config struct {
	Bind              string        // source address of connections; "" for any
	ConnectTimeout    time.Duration // default 1s
	FirstEventTimeout time.Duration // from the send of a prompt to its first event; default 10s
	EventGapTimeout   time.Duration // between two events; default 5s
	HeaderMax         int64         // bytes; default 32 KiB
	BodyMax           int64         // bytes of a complete answer; default 4 MiB
	EventMax          int           // bytes of one event; default 64 KiB

	// Dial opens a connection; nil dials TCP from Bind.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ConnectTimeout, time.Second)
	setDefault(&c.FirstEventTimeout, 10*time.Second)
	setDefault(&c.EventGapTimeout, 5*time.Second)
	setDefault(&c.HeaderMax, 32<<10)
	setDefault(&c.BodyMax, 4<<20)
	setDefault(&c.EventMax, 64<<10)
	if c.Dial != nil {
		return c, nil
	}
	dialer := &net.Dialer{Timeout: c.ConnectTimeout}
	if c.Bind != "" {
		source := net.ParseIP(c.Bind)
		if source == nil {
			return c, errors.Errorf("bind address %q is no IP address", c.Bind)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	c.Dial = dialer.DialContext
	return c, nil
}

func setDefault[T int | int64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Attempt is one request sent to one server.
type Attempt struct {
	ID       string // request id
	Server   string
	Address  string // ip:port
	Deadline time.Time
	// Now returns the time by the clock that Deadline is by.
	Now func() time.Time
	// Allow returns nil if the request may be sent, or why not. It is called just
	// before the first write, on another goroutine; may be nil.
	Allow func() *apierror.Error
	// FirstEventTimeout replaces the client's where it is shorter; 0 for the
	// client's.
	FirstEventTimeout time.Duration
}

// Client sends requests to servers.
type Client struct {
	config    Config
	transport *http.Transport
}

// New returns a client. The error is that of a malformed bind address.
func New(config Config) (*Client, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	client := &Client{config: config}
	client.transport = &http.Transport{
		DialContext:            client.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: config.HeaderMax,
		Protocols:              http1(),
	}
	return client, nil
}

func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// dial opens the connection of the attempt whose guard the context carries.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	guard, ok := ctx.Value(sendGuardKey{}).(*sendGuard)
	if !ok {
		return nil, errors.New("a dial without an attempt")
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: guard}, nil
}

// outgoing is the content of a request to a server.
type outgoing struct {
	method string
	target *url.URL
	header http.Header // may be nil
	body   []byte
}

// send sends a request and returns the response once its header has arrived. The
// caller closes its body.
func (c *Client) send(ctx context.Context, attempt *Attempt, content outgoing) (*http.Response, *sendGuard, *Failure) {
	guard := attempt.newSendGuard()
	remaining := attempt.Deadline.Sub(attempt.Now())
	if remaining <= 0 {
		return nil, guard, &Failure{Kind: CancelledBeforeSend, Detail: "the deadline passed"}
	}
	guardedCtx := context.WithValue(ctx, sendGuardKey{}, guard)
	response, err := c.transport.RoundTrip(content.request(guardedCtx, attempt, remaining))
	if err != nil {
		return nil, guard, guard.failure(ctx, err)
	}
	return response, guard, nil
}

func (o outgoing) request(ctx context.Context, attempt *Attempt, remaining time.Duration) *http.Request {
	request := &http.Request{
		Method:     o.method,
		URL:        o.target,
		Host:       attempt.Address,
		Header:     o.header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if len(o.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(o.body))
		request.ContentLength = int64(len(o.body))
	}
	request.Header.Set(HeaderRequestID, attempt.ID)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if request.Header.Get("User-Agent") == "" {
		// A nil value keeps net/http from adding its own.
		request.Header["User-Agent"] = nil
	}
	return request.WithContext(ctx)
}
