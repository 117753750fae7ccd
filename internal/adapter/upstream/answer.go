package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// restMargin is kept free before the instant at which a server closes a
// connection that rests.
const restMargin = 300 * time.Millisecond

// Answer is a server's answer, whose body is still to be read. It must be
// closed.
type Answer struct {
	Status int
	Header http.Header

	response *http.Response
	conn     *conn
	exchange *exchange
	place    *endpoint
	client   *Client
	ctx      context.Context
	stop     func() bool
	whole    bool
	closed   bool
}

// Length returns the length of the body in bytes, or -1 where it is not known
// before its end.
func (a *Answer) Length() int64 { return a.response.ContentLength }

// Framed tells whether the answer itself says where its body ends, by a length
// or by chunks; else it ends with its connection.
func (a *Answer) Framed() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Read reads the body. io.EOF means that the body is whole; any other error is
// a *Failure.
func (a *Answer) Read(into []byte) (int, error) {
	n, err := a.response.Body.Read(into)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF:
		a.whole = true
		return n, io.EOF
	}
	return n, sent(a.ctx, Cut, err)
}

// Abort breaks the answer off while it is being read: the reader gets a Failure.
func (a *Answer) Abort() { a.conn.close() }

// Close ends the attempt. A connection whose answer was read to its end is
// kept for later requests where the server allows that; any other is closed,
// which tells the server to stop.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	held := a.conn
	ctxEnded := !a.stop()
	if ctxEnded || !a.whole || a.response.Close || held.reader.Buffered() > 0 {
		held.close()
		a.exchange.next <- false
		return
	}
	held.restsUntil = a.client.config.Clock.Now().Add(a.client.rests(a.Header))
	a.exchange.next <- true
	a.place.rest(held)
}

// rests returns how long a connection may rest after an answer.
func (c *Client) rests(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n > 0 {
			return time.Duration(n)*time.Second - restMargin
		}
	}
	return c.config.IdleFor
}
