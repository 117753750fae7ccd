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
	// maxStrays is how many complete responses to earlier requests are skipped where
	// a response is due.
	maxStrays = 2
	// maxStrayBytes limits the body of a response that is skipped.
	maxStrayBytes = 1 << 20
	unlimited     = math.MaxInt64
)

// conn is one connection. Its reader goroutine owns the reading until it has
// delivered a response's header; then the user of the response reads the body, and
// returns the reading to the goroutine through the exchange. Bytes, or the end of the
// connection, that arrive while no request is in flight are detected at once and end
// the connection.
type conn struct {
	raw            net.Conn
	limited        *io.LimitedReader
	reader         *bufio.Reader
	maxHeaderBytes int64
	exchanges      chan *exchange
	readerEnded    chan struct{} // closed when the reader goroutine has ended
	// onUnacknowledged is called when the other machine stopped to acknowledge while
	// the connection was idle.
	onUnacknowledged func()
	closeOnce        sync.Once
	idleUntil        time.Time // may not be used again after
}

// exchange is one request on a connection and its response.
type exchange struct {
	method  string
	matches func(status int, header http.Header) bool
	result  chan result
	// reuse receives, when the response was read, whether the connection may carry
	// another request.
	reuse chan bool
}

// result is a response whose header has arrived, or the failure.
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
	go connection.read()
	return connection
}

func (c *conn) close() { c.closeOnce.Do(func() { _ = c.raw.Close() }) }

// ended reports whether the connection can carry no more requests.
func (c *conn) ended() bool {
	select {
	case <-c.readerEnded:
		return true
	default:
		return false
	}
}

// read delivers each response to the exchange that waits for it.
func (c *conn) read() {
	defer close(c.readerEnded)
	defer c.close()
	for {
		c.limited.N = c.maxHeaderBytes
		_, err := c.reader.Peek(1)
		select {
		case current := <-c.exchanges:
			if !c.serve(current, err) {
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

// serve reads the header of the response to an exchange and waits until its body was
// read. err is the error of waiting for the first byte. It reports whether the
// connection can carry another request.
func (c *conn) serve(current *exchange, err error) (reuse bool) {
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

// readHeader reads up to the header of the response that matches the request. It
// skips interim responses and complete responses to cancelled requests.
func (c *conn) readHeader(current *exchange) (*http.Response, *Failure) {
	for strays := 0; ; {
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
		strays++
		if strays > maxStrays || !c.skip(response) {
			return nil, &Failure{Kind: Malformed, Sent: true, Cause: errStray}
		}
	}
}

// skip reads a stray response to its end. It returns false where the end cannot be
// determined.
func (c *conn) skip(stray *http.Response) bool {
	if stray.Close {
		return false
	}
	c.limited.N = maxStrayBytes
	_, err := io.Copy(io.Discard, stray.Body)
	_ = stray.Body.Close()
	c.limited.N = c.maxHeaderBytes
	return err == nil
}

// await waits for the header of the response to an exchange.
func (c *conn) await(ctx context.Context, current *exchange) (*http.Response, *Failure) {
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
	// The reader may have delivered the result just before it ended.
	select {
	case received := <-current.result:
		return received
	default:
		return result{failure: &Failure{Kind: Lost, Sent: true, Cause: errNoResponse}}
	}
}
