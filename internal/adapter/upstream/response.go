package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is how long before the server's stated idle timeout a connection is no
// longer reused. Without it a request could be sent while the server closes the
// connection.
const idleMargin = 300 * time.Millisecond

// Response is a response whose header has arrived and whose body is read from it. It
// must be closed.
type Response struct {
	Status int
	Header http.Header

	received *http.Response
	conn     *conn
	exchange *exchange
	pool     *pool
	client   *Client
	ctx      context.Context
	stop     func() bool // unregisters the close of conn at the end of ctx; false if ctx has ended
	complete bool        // the body was read to its end
	closed   bool
}

// Length returns the length of the body in bytes, or -1 if the header does not state
// it.
func (r *Response) Length() int64 { return r.received.ContentLength }

// HasFraming reports whether the end of the body is marked by a Content-Length or by
// chunked encoding; otherwise the body is delimited by the end of the connection.
func (r *Response) HasFraming() bool {
	return r.received.ContentLength >= 0 || len(r.received.TransferEncoding) > 0
}

// Read reads the body. io.EOF means that the body is complete; any other error is a
// *Failure of kind Truncated, Cancelled or Unresponsive.
func (r *Response) Read(buffer []byte) (int, error) {
	count, err := r.received.Body.Read(buffer)
	switch {
	case err == nil:
		return count, nil
	case err == io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
		r.complete = true
		return count, io.EOF
	}
	return count, failureAfterSend(r.ctx, Truncated, err)
}

// Abort closes the connection while the body is being read; a concurrent Read fails
// with a *Failure.
func (r *Response) Abort() { r.conn.close() }

// Close ends the attempt. If the body was read to its end and the server permits
// reuse, the connection is returned to the pool. Otherwise it is closed, which cancels
// the request at the server.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	contextEnded := !r.stop()
	if contextEnded || !r.complete || r.received.Close || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		r.exchange.reuse <- false
		return
	}
	r.conn.idleUntil = r.client.config.Clock.Now().Add(r.client.idleTimeout(r.Header))
	r.exchange.reuse <- true
	r.pool.put(r.conn)
}

// idleTimeout returns how long a connection may stay idle after a response with the
// given header.
func (c *Client) idleTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return c.config.IdleTimeout
}
