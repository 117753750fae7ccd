// Package loadgen generates the load on a fleet: callers send the tenants' requests,
// operators send orders and check their effect. Its HTTP client keeps connections open
// and never retransmits a request by itself, so that every attempt in the recording is
// exactly one request to the fleet.
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

// errUnsent reports that no connection could be opened, so that nothing was written.
var errUnsent = errors.New("request not sent")

// connection is an HTTP connection to a front or server.
type connection struct {
	conn   net.Conn
	in     *bufio.Reader
	reused bool
}

// roundTrip writes a request and reads the header of its answer. The timeout includes
// the reading of the body. The connection can be reused after the body was read to its
// end; a body that was not must not be closed, since closing it reads the rest.
func (c *connection) roundTrip(req *http.Request, timeout time.Duration) (*http.Response, error) {
	if err := c.write(req, timeout); err != nil {
		return nil, err
	}
	return c.readHead(req)
}

// write writes a request and sets the timeout of its round trip.
func (c *connection) write(req *http.Request, timeout time.Duration) error {
	if err := c.conn.SetDeadline(clock.System().Now().Add(timeout)); err != nil {
		return err
	}
	return req.Write(c.conn)
}

// readHead reads the status line and header of the answer to a written request.
func (c *connection) readHead(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(c.in, req)
}

func (c *connection) close() { _ = c.conn.Close() }

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// connectionPool keeps idle connections by address.
type connectionPool struct {
	idle    *owner.Owner[map[string][]*connection]
	maxIdle int // for each address
}

func newConnectionPool(maxIdle int) *connectionPool {
	return &connectionPool{
		idle:    owner.New(map[string][]*connection{}),
		maxIdle: maxIdle,
	}
}

// get returns the most recently used idle connection, or opens a new one.
func (p *connectionPool) get(address string) (*connection, error) {
	var reused *connection
	p.idle.Do(func(idle *map[string][]*connection) {
		list := (*idle)[address]
		if len(list) == 0 {
			return
		}
		last := len(list) - 1
		reused = list[last]
		(*idle)[address] = list[:last]
	})
	if reused != nil {
		return reused, nil
	}
	return dial(address)
}

// dial opens a connection to an address. The error is errUnsent with the cause as text.
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

// put returns a connection to the pool, or closes it if the pool is full.
func (p *connectionPool) put(address string, returned *connection) {
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

func (p *connectionPool) close() {
	p.idle.Do(func(idle *map[string][]*connection) {
		for _, list := range *idle {
			for _, conn := range list {
				conn.close()
			}
		}
	})
	p.idle.Close()
}

// newRequest returns a request to an address. The arguments must be well-formed.
func newRequest(method, address, path string, body io.Reader) *http.Request {
	req, _ := http.NewRequest(method, "http://"+address+path, body)
	return req
}

// exchange sends one request on a new connection and returns the status and the
// complete body of the answer. It closes the connection.
func exchange(req *http.Request, address string, timeout time.Duration) (int, []byte, error) {
	connections := newConnectionPool(0)
	defer connections.close()
	conn, err := connections.get(address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.close()
	resp, err := conn.roundTrip(req, timeout) //nolint:bodyclose // the connection is closed instead
	if err != nil {
		return 0, nil, errors.Wrap(err, "send request and read answer header")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, data, errors.Wrap(err, "read answer body")
}
