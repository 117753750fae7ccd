// Package loadgen generates the load on a fleet: callers, who send the tenants'
// requests, and operators, who send orders and check their effect. Its HTTP client
// never sends a request twice and keeps connections open, so that what it records
// is what the fleet did.
package loadgen

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

const (
	dialTimeout    = time.Second
	maxAnswerBytes = 64 << 20
)

// errUnsent is the cause when no connection could be opened: nothing was written.
var errUnsent = errors.New("nothing was written")

// connection is one connection to a front.
type connection struct {
	conn   net.Conn
	in     *bufio.Reader
	reused bool
}

// roundTrip writes a request and reads the head of its answer within a time-out,
// which holds for the reading of the body as well. The connection can be used
// again once the body is read; a body that isn't read to its end must not be
// closed, as that would read the rest.
func (c *connection) roundTrip(req *http.Request, timeout time.Duration) (*http.Response, error) {
	if err := c.write(req, timeout); err != nil {
		return nil, err
	}
	return c.readHead(req)
}

// write writes a request and sets the time-out of its round trip.
func (c *connection) write(req *http.Request, timeout time.Duration) error {
	if err := c.conn.SetDeadline(clock.System().Now().Add(timeout)); err != nil {
		return err
	}
	return req.Write(c.conn)
}

// readHead reads the head of the answer to a request that was written.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(c.in, req)
}

func (c *connection) close() { _ = c.conn.Close() }

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// pool keeps idle connections by address.
type pool struct {
	idle    *owner.Owner[map[string][]*connection]
	maxIdle int // for each address
}

func newPool(maxIdle int) *pool {
	return &pool{
		idle:    owner.New(map[string][]*connection{}),
		maxIdle: maxIdle,
	}
}

// take returns an idle connection, the last one used first, or opens one.
func (p *pool) take(address string) (*connection, error) {
	var taken *connection
	p.idle.Do(func(idle *map[string][]*connection) {
		list := (*idle)[address]
		if len(list) == 0 {
			return
		}
		last := len(list) - 1
		taken = list[last]
		(*idle)[address] = list[:last]
	})
	if taken != nil {
		return taken, nil
	}
	return dial(address)
}

// dial opens a connection.
func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp4", address, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(errUnsent, err.Error())
	}
	return &connection{
		conn: conn,
		in:   bufio.NewReader(conn),
	}, nil
}

// put keeps a connection for the next request, or closes it if there are enough.
func (p *pool) put(address string, returned *connection) {
	returned.reused = true
	kept := false
	p.idle.Do(func(idle *map[string][]*connection) {
		if len((*idle)[address]) < p.maxIdle {
			(*idle)[address] = append((*idle)[address], returned)
			kept = true
		}
	})
	if !kept {
		returned.close()
	}
}

func (p *pool) close() {
	p.idle.Do(func(idle *map[string][]*connection) {
		for _, list := range *idle {
			for _, conn := range list {
				conn.close()
			}
		}
	})
	p.idle.Close()
}

// newRequest returns a request to an address. Its parts are always well-formed.
func newRequest(method, address, path string, body io.Reader) *http.Request {
	req, _ := http.NewRequest(method, "http://"+address+path, body)
	return req
}

// exchange sends one request on a connection of its own and returns the status
// and the complete body of the answer.
func exchange(req *http.Request, address string, timeout time.Duration) (int, []byte, error) {
	connections := newPool(0)
	defer connections.close()
	conn, err := connections.take(address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.close()
	resp, err := conn.roundTrip(req, timeout) //nolint:bodyclose // the connection is closed instead
	if err != nil {
		return 0, nil, errors.Wrap(err, "read answer")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, data, errors.Wrap(err, "read body")
}
