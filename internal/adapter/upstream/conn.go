package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readerSize = 4 << 10
	// maxUnmatchedResponses is how many complete responses to earlier requests are
	// skipped while waiting for the response to the current one.
	maxUnmatchedResponses = 2
	// maxUnmatchedBytes limits the body of a skipped response.
	maxUnmatchedBytes = 1 << 20
	unlimited         = math.MaxInt64
)

// conn is one connection. Its reader goroutine owns the read side until it has
// delivered the header of a response. The user of the response then reads the body and
// returns the read side to the goroutine through exchange.reuse. Bytes or an end of
// stream that arrive while no request is in flight are detected immediately and close
// the connection.
type conn struct {
	raw            net.Conn
	limited        *io.LimitedReader
	reader         *bufio.Reader
	maxHeaderBytes int64
	exchanges      chan *exchange
	readerEnded    chan struct{} // closed when the reader goroutine has ended
	// onUnacknowledged is called when the peer machine stopped acknowledging packets
	// while the connection was idle.
	onUnacknowledged func()
	closeOnce        sync.Once
	idleUntil        time.Time // end of the time in which the idle connection may be reused
}

// exchange is one request on a connection and its response.
type exchange struct {
	method  string
	matches func(status int, header http.Header) bool
	result  chan result
	// reuse receives, once the response has been closed, whether the connection may
	// carry another request.
	reuse chan bool
}

// result is a response whose header has arrived, or a failure.
type result struct {
	response *http.Response
	failure  *Failure
}

func newExchange(request *Request) *exchange {
	return &exchange{
		method:  request.Method,
		matches: request.Matches,
		result:  make(chan result, 1),
		reuse:   make(chan bool, 1),
	}
}

func newConn(raw net.Conn, maxHeaderBytes int64, onUnacknowledged func()) *conn {
	limited := &io.LimitedReader{R: raw, N: maxHeaderBytes}
	connection := &conn{
		raw:              raw,
		limited:          limited,
		reader:           bufio.NewReaderSize(limited, readerSize),
		maxHeaderBytes:   maxHeaderBytes,
		onUnacknowledged: onUnacknowledged,
		exchanges:        make(chan *exchange, 1),
		readerEnded:      make(chan struct{}),
	}
	go connection.readLoop()
	return connection
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.raw.Close() }) }

// ended reports whether the reader goroutine has ended, after which the connection
// cannot carry another request.
func (c *conn) ended() bool {
	select {
	case <-c.readerEnded:
		return true
	default:
		return false
	}
}

// readLoop delivers each response to the exchange that waits for it, until the
// connection ends or may not be reused.
func (c *conn) readLoop() {
	defer close(c.readerEnded)
	defer c.close()
	for {
		c.limited.N = c.maxHeaderBytes
		_, err := c.reader.Peek(1)
		select {
		case current := <-c.exchanges:
			if !c.deliverResponse(current, err) {
				return
			}
		default:
			if isUnacknowledged(err) {
				c.onUnacknowledged()
			}
			return
		}
	}
}

// deliverResponse reads the header of the response to an exchange, delivers the
// result and waits until the response has been closed. The argument err is the error
// from waiting for the first byte. It reports whether the connection can carry another
// request.
func (c *conn) deliverResponse(current *exchange, err error) (reuse bool) {
	if err != nil {
		kind := Lost
		if isUnacknowledged(err) {
			kind = Unresponsive
		}
		current.result <- result{failure: &Failure{Kind: kind, Sent: true, Cause: errNoResponse}}
		return false
	}
	response, failure := c.readHeader(current) //nolint:bodyclose // Response.Close ends the connection or keeps it
	if failure != nil {
		current.result <- result{failure: failure}
		return false
	}
	c.limited.N = unlimited
	current.result <- result{response: response}
	return <-current.reuse
}

// readHeader reads the header of the response that matches the request. It skips
// interim responses, and complete responses to earlier, cancelled requests.
func (c *conn) readHeader(current *exchange) (*http.Response, *Failure) {
	for unmatched := 0; ; {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: current.method})
		if err != nil {
			return nil, &Failure{Kind: Malformed, Sent: true, Cause: err}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if current.matches == nil || current.matches(response.StatusCode, response.Header) {
			return response, nil
		}
		unmatched++
		if unmatched > maxUnmatchedResponses || !c.discard(response) {
			return nil, &Failure{Kind: Malformed, Sent: true, Cause: errUnmatchedResponse}
		}
	}
}

// discard reads an unmatched response to its end. It returns false if the end cannot
// be determined.
func (c *conn) discard(unmatched *http.Response) bool {
	if unmatched.Close {
		return false
	}
	c.limited.N = maxUnmatchedBytes
	_, err := io.Copy(io.Discard, unmatched.Body)
	_ = unmatched.Body.Close()
	c.limited.N = c.maxHeaderBytes
	return err == nil
}

// awaitResponse waits for the header of the response to an exchange. An ended context
// takes precedence over another failure.
func (c *conn) awaitResponse(ctx context.Context, current *exchange) (*http.Response, *Failure) {
	received := c.awaitResult(current)
	if received.failure != nil && ctx.Err() != nil {
		return nil, failureAfterSend(ctx, Cancelled, ctx.Err())
	}
	return received.response, received.failure
}

func (c *conn) awaitResult(current *exchange) result {
	select {
	case received := <-current.result:
		return received
	case <-c.readerEnded:
	}
	// The reader goroutine may have delivered the result just before it ended.
	select {
	case received := <-current.result:
		return received
	default:
		return result{failure: &Failure{Kind: Lost, Sent: true, Cause: errNoResponse}}
	}
}
