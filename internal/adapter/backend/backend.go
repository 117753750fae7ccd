// Package backend is the HTTP client for model servers and web servers.
//
// Invariants: a request is sent at most once. Each attempt opens its own connection
// and closes it when the attempt ends. net/http's Transport retries a request
// automatically only on a reused connection, so here it never does, and a response
// to another request cannot be left over on the connection. A Failure reports
// whether the server may have received any part of the request.
//
// The package neither selects servers nor retries requests; the front does both.
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
	// HeaderRequestID carries the request id to the server, which echoes it in the
	// response.
	HeaderRequestID = "Stepwick-Request-Id"
	// HeaderDeadline carries the time remaining until the deadline, in milliseconds.
	HeaderDeadline = "Stepwick-Deadline-Ms"
)

// Config holds the limits of a client. Zero values select the defaults given here.
type Config struct {
	Bind              string        // source IP address of connections; "" for any
	ConnectTimeout    time.Duration // default 1s
	FirstEventTimeout time.Duration // from the start of an attempt to the first event; default 10s
	EventGapTimeout   time.Duration // between two events of a stream; default 5s
	MaxHeaderBytes    int64         // of a response header; default 32 KiB
	MaxBodyBytes      int64         // of a one-shot response body; default 4 MiB
	MaxEventBytes     int           // of one event; default 64 KiB

	// Dial opens a connection; nil selects a TCP dialer that binds to Bind.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (c Config) withDefaults() (Config, error) {
	setDefault(&c.ConnectTimeout, time.Second)
	setDefault(&c.FirstEventTimeout, 10*time.Second)
	setDefault(&c.EventGapTimeout, 5*time.Second)
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxBodyBytes, 4<<20)
	setDefault(&c.MaxEventBytes, 64<<10)
	if c.Dial != nil {
		return c, nil
	}
	dialer := &net.Dialer{Timeout: c.ConnectTimeout}
	if c.Bind != "" {
		source := net.ParseIP(c.Bind)
		if source == nil {
			return c, errors.Errorf("bind address %q is not an IP address", c.Bind)
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
	// Now reads the clock on which Deadline is based.
	Now func() time.Time
	// CheckSend returns nil if the request may still be sent, or the error that forbids
	// it. It is called immediately before the first write, on a different goroutine.
	// A nil Allow permits sending.
	CheckSend func() *apierror.Error
	// FirstEventTimeout overrides Config.FirstEventTimeout if it is shorter; 0 keeps
	// the client's value.
	FirstEventTimeout time.Duration
}

// Client sends requests to servers. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
}

// New returns a client. It fails if Config.Bind is not an IP address.
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
		MaxResponseHeaderBytes: config.MaxHeaderBytes,
		Protocols:              http1Only(),
	}
	return client, nil
}

func http1Only() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// dial opens the connection for the attempt whose sendGuard is in the context.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	guard, ok := ctx.Value(sendGuardKey{}).(*sendGuard)
	if !ok {
		return nil, errors.New("dial context carries no send guard")
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: guard}, nil
}

// requestSpec describes the request to send, apart from the headers that newRequest adds.
type requestSpec struct {
	method string
	target *url.URL
	header http.Header // may be nil
	body   []byte
}

// send sends a request and returns the response once its header has arrived. The
// caller must close the response body.
func (c *Client) send(ctx context.Context, attempt *Attempt, spec requestSpec) (*http.Response, *sendGuard, *Failure) {
	guard := attempt.newSendGuard()
	remaining := attempt.Deadline.Sub(attempt.Now())
	if remaining <= 0 {
		return nil, guard, &Failure{Kind: CancelledBeforeSend, Detail: "deadline passed before the request was sent"}
	}
	guardedCtx := context.WithValue(ctx, sendGuardKey{}, guard)
	response, err := c.transport.RoundTrip(spec.newRequest(guardedCtx, attempt, remaining))
	if err != nil {
		return nil, guard, guard.failure(ctx, err)
	}
	return response, guard, nil
}

func (spec requestSpec) newRequest(ctx context.Context, attempt *Attempt, remaining time.Duration) *http.Request {
	request := &http.Request{
		Method:     spec.method,
		URL:        spec.target,
		Host:       attempt.Address,
		Header:     spec.header.Clone(),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if len(spec.body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(spec.body))
		request.ContentLength = int64(len(spec.body))
	}
	request.Header.Set(HeaderRequestID, attempt.ID)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	if request.Header.Get("User-Agent") == "" {
		// A nil value prevents net/http from adding its default User-Agent.
		request.Header["User-Agent"] = nil
	}
	return request.WithContext(ctx)
}
