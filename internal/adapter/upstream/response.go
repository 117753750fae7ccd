package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// idleMargin is how long before the server closes an idle connection it is not used
// any more, since a request may otherwise cross the close.
const idleMargin = 300 * time.Millisecond

// Response is a server's response, whose body is still to be read. It must be
// closed.
type Response struct {
	Status int
	Header http.Header

	received *http.Response
	conn     *conn
	exchange *exchange
	pool     *pool
	client   *Client
	ctx      context.Context
	stop     func() bool // ends the watch of ctx; false when ctx has ended
	complete bool        // the body was read to its end
	closed   bool
}

// Length returns the length of the body in bytes, or -1 where it is not known before
// the end.
func (r *Response) Length() int64 { return r.received.ContentLength }

// HasFraming reports whether the response states where its body ends, by a length or
// by chunks; else it ends with its connection.
func (r *Response) HasFraming() bool {
	return r.received.ContentLength >= 0 || len(r.received.TransferEncoding) > 0
}

// Read reads the body. io.EOF means that the body is complete; any other error is a
// *Failure.
func (r *Response) Read(into []byte) (int, error) {
	count, err := r.received.Body.Read(into)
	switch {
	case err == nil:
		return count, nil
	case err == io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
		r.complete = true
		return count, io.EOF
	}
	return count, failureAfterSend(r.ctx, Truncated, err)
}

// Abort closes the connection while the body is being read: the reader gets a
// Failure.
func (r *Response) Abort() { r.conn.close() }

// Close ends the attempt. A connection whose response was read to its end is kept for
// later requests where the server allows that; any other is closed, which cancels the
// request at the server.
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

// idleTimeout returns how long a connection may be idle after a response.
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
