// Package loadgen plays callers and operators. Its HTTP client never sends a
// request twice and keeps connections open, so that what a ledger shows is what
// the fleet did.
package loadgen

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
)

// line is one connection to a front.
type line struct {
	conn net.Conn
	in   *bufio.Reader
	used bool
}

// lines keeps idle connections by address.
type lines struct {
	idle *owner.Owner[map[string][]*line]
	keep int
}

var errUnsent = errors.New("nothing was written")

func newLines(keep int) *lines { return &lines{owner.New(map[string][]*line{}), keep} }

func (l *lines) take(address string) (taken *line, err error) {
	l.idle.Do(func(all *map[string][]*line) {
		if list := (*all)[address]; len(list) > 0 {
			taken = list[len(list)-1]
			(*all)[address] = list[:len(list)-1]
		}
	})
	if taken != nil {
		return taken, nil
	}
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, errors.Wrap(errUnsent, err.Error())
	}
	return &line{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (l *lines) give(address string, back *line) {
	back.used = true
	if !l.idle.Do(func(all *map[string][]*line) {
		if len((*all)[address]) < l.keep {
			(*all)[address] = append((*all)[address], back)
			return
		}
		back.conn.Close()
	}) {
		back.conn.Close()
	}
}

func (l *lines) close() {
	l.idle.Do(func(all *map[string][]*line) {
		for _, list := range *all {
			for _, c := range list {
				c.conn.Close()
			}
		}
	})
	l.idle.Close()
}

// send writes a request and reads the head of its answer by a wall-clock instant.
func (c *line) send(req *http.Request, until time.Time) (*http.Response, error) {
	if err := c.conn.SetDeadline(until); err != nil {
		return nil, err
	}
	if err := req.Write(c.conn); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.in, req)
}

func timedOut(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
