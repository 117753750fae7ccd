// Package backend is the client of model servers and web servers.
//
// Each attempt has a connection of its own, which is closed when the attempt
// ends. net/http's Transport sends a request again by itself only on a
// connection that was kept alive, so here it never does, and no answer can be
// another request's leftover.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
)

// HeaderRequestID carries the request's id to a server, which echoes it.
const HeaderRequestID = "Stepwick-Request-Id"

// HeaderDeadline carries what is left of the deadline, in milliseconds.
const HeaderDeadline = "Stepwick-Deadline-Ms"

// Config holds a client's bounds. Zero values take the defaults named.
type Config struct {
	Bind           string        // source address of dials; "" for any
	ConnectTimeout time.Duration // default 1s
	FirstEvent     time.Duration // until a stream's first event; default 10s
	EventGap       time.Duration // between two events; default 5s
	HeaderMax      int64         // bytes; default 32 KiB
	BodyMax        int64         // bytes of a whole answer; default 4 MiB
	EventMax       int           // bytes of one event; default 64 KiB

	Dial func(ctx context.Context, network, address string) (net.Conn, error) // nil dials from Bind
}

func (c Config) withDefaults() (Config, error) {
	or(&c.ConnectTimeout, time.Second)
	or(&c.FirstEvent, 10*time.Second)
	or(&c.EventGap, 5*time.Second)
	or(&c.HeaderMax, 32<<10)
	or(&c.BodyMax, 4<<20)
	or(&c.EventMax, 64<<10)
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

func or[T int | int64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// Kind tells what became of an attempt that gave no whole answer.
type Kind string

// Kinds of failures.
const (
	Unsent    Kind = "unsent"    // nothing was written and nothing will be
	Refused   Kind = "refused"   // unsent, because the server refused the connection
	Barred    Kind = "barred"    // unsent, because the request may no longer be sent
	Withdrawn Kind = "withdrawn" // unsent, because the caller or the front gave the request up
	Busy      Kind = "busy"      // the server said that it did not start
	Dark      Kind = "dark"      // written; the server was silent for too long
	Broken    Kind = "broken"    // written; the connection ended early
	Short     Kind = "short"     // written; the answer's body is not whole
	Crossed   Kind = "crossed"   // the answer is another request's or breaks the protocol
	Amiss     Kind = "amiss"     // an event is missing or came twice, or the count is wrong
	Gone      Kind = "gone"      // written; the caller or the front gave the request up
)

// Failure is what became of an attempt that gave no whole answer.
type Failure struct {
	Kind   Kind
	Detail string
	Cause  *apierror.Error // why the request was barred or given up, where known
}

func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Detail }

// Unsent tells that the server has got nothing of the request and never will.
func (f *Failure) Unsent() bool {
	return f.Kind == Unsent || f.Kind == Refused || f.Kind == Barred || f.Kind == Withdrawn
}

// Attempt is one request sent to one server.
type Attempt struct {
	ID       string
	Server   string
	Address  string // ip:port
	Deadline time.Time
	Now      func() time.Time
	Allow    func() *apierror.Error // asked at the moment of the first write; may be nil

	FirstEvent time.Duration // until a stream's first event, where shorter than the client's bound; 0 for that
}

// Client speaks to servers.
type Client struct {
	config    Config
	transport *http.Transport
}

// New returns a client.
func New(config Config) (*Client, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Client{config: config}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: config.HeaderMax,
		Protocols:              http1(),
	}
	return c, nil
}

func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	record, ok := ctx.Value(ledgerKey{}).(*ledger)
	if !ok {
		return nil, errors.New("a dial without an attempt")
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.ConnectTimeout)
	defer cancel()
	conn, err := c.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: conn, ledger: record}, nil
}

type ledgerKey struct{}

const (
	open uint32 = iota
	written
	sealed
)

// ledger knows whether anything of an attempt's request was handed to its
// connection. Once sealed, nothing ever will be, however late a dial ends or
// a writer wakes.
type ledger struct {
	state  atomic.Uint32
	allow  func() *apierror.Error
	barred atomic.Pointer[apierror.Error]
}

func (l *ledger) mayWrite() bool {
	if state := l.state.Load(); state != open {
		return state == written
	}
	if apiErr := l.asked(); apiErr != nil {
		l.barred.Store(apiErr)
		l.state.CompareAndSwap(open, sealed)
		return false
	}
	return l.state.CompareAndSwap(open, written)
}

// asked runs on a goroutine of the transport's, where a panic would end the
// process.
func (l *ledger) asked() (apiErr *apierror.Error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			apiErr = apierror.Errorf(apierror.Internal, "a panic before the request was sent: %v", panicked)
		}
	}()
	return l.allow()
}

func (l *ledger) seal() (unsent bool) {
	l.state.CompareAndSwap(open, sealed)
	return l.state.Load() == sealed
}

type recordedConn struct {
	net.Conn
	ledger *ledger
}

var errBarred = errors.New("the request may no longer be sent")

func (c *recordedConn) Write(data []byte) (int, error) {
	if !c.ledger.mayWrite() {
		return 0, errBarred
	}
	return c.Conn.Write(data)
}

func (a *Attempt) ledger() *ledger {
	return &ledger{allow: func() *apierror.Error {
		if !a.Now().Before(a.Deadline) {
			return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed before the request was sent")
		}
		if a.Allow != nil {
			return a.Allow()
		}
		return nil
	}}
}

func (l *ledger) failure(ctx context.Context, err error) *Failure {
	if l.seal() {
		if apiErr := l.barred.Load(); apiErr != nil {
			return &Failure{Kind: Barred, Detail: apiErr.Detail, Cause: apiErr}
		}
		if ctx.Err() != nil {
			return &Failure{Kind: Withdrawn, Detail: cause(ctx, err)}
		}
		if refused(err) {
			return &Failure{Kind: Refused, Detail: "the server refused the connection"}
		}
		return &Failure{Kind: Unsent, Detail: cause(ctx, err)}
	}
	if ctx.Err() != nil {
		return &Failure{Kind: Gone, Detail: cause(ctx, err)}
	}
	return &Failure{Kind: Broken, Detail: cause(ctx, err)}
}

func cause(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed"
	case ctx.Err() != nil:
		return "given up"
	}
	return err.Error()
}
