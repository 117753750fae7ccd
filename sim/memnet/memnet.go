// Package memnet is an in-memory network for complete nodes in virtual time. A link
// is a directed pair of hosts. A partitioned link drops what is sent; a host that is
// down refuses connections. One goroutine owns the state; connections read the
// partitions through atomic flags.
package memnet

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"stepwick/internal/clock"

	"github.com/pkg/errors"
)

const dialTimeout = 2 * time.Second

// Network connects hosts named by their IP numbers.
type Network struct {
	calls chan func(*state)
	ended <-chan struct{}
}

type state struct {
	listeners map[string]*listener
	cut       map[[2]string]*atomic.Bool // by link
	conns     map[*conn]struct{}
}

// New returns a network; it lives until the context ends.
func New(ctx context.Context) *Network {
	n := &Network{calls: make(chan func(*state)), ended: ctx.Done()}
	go func() {
		s := &state{listeners: map[string]*listener{}, cut: map[[2]string]*atomic.Bool{}, conns: map[*conn]struct{}{}}
		for {
			select {
			case <-ctx.Done():
				return
			case call := <-n.calls:
				call(s)
			}
		}
	}()
	return n
}

// do runs a call on the state and waits for it; it does nothing once the network ended.
func (n *Network) do(call func(*state)) {
	done := make(chan struct{})
	select {
	case n.calls <- func(s *state) { call(s); close(done) }:
		<-done
	case <-n.ended:
	}
}

// flag returns whether a link is partitioned.
func (s *state) flag(from, to string) *atomic.Bool {
	key := [2]string{from, to}
	f, ok := s.cut[key]
	if !ok {
		f = &atomic.Bool{}
		s.cut[key] = f
	}
	return f
}

// Cut partitions two hosts in both directions, or heals the partition. Connections
// that existed during a partition stay silent.
func (n *Network) Cut(a, b string, cut bool) {
	n.do(func(s *state) {
		s.flag(a, b).Store(cut)
		s.flag(b, a).Store(cut)
		if !cut {
			return
		}
		for c := range s.conns {
			if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
				c.dead.Store(true)
				c.other.dead.Store(true)
			}
		}
	})
}

// Down closes a host's listeners and resets its connections, as a killed
// process does.
func (n *Network) Down(host string) {
	n.do(func(s *state) {
		for address, l := range s.listeners {
			if hostOf(address) == host {
				l.shut()
				delete(s.listeners, address)
			}
		}
		for c := range s.conns {
			if c.from == host || c.to == host {
				_ = c.Conn.Close()
				delete(s.conns, c)
			}
		}
	})
}

// Close resets every connection and closes every listener.
func (n *Network) Close() {
	n.do(func(s *state) {
		for address, l := range s.listeners {
			l.shut()
			delete(s.listeners, address)
		}
		for c := range s.conns {
			_ = c.Conn.Close()
			delete(s.conns, c)
		}
	})
}

// Listen opens a listener at an address, ip:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	l := &listener{network: n, address: address, accepted: make(chan net.Conn, 128), closed: make(chan struct{})}
	var taken bool
	n.do(func(s *state) {
		if _, taken = s.listeners[address]; !taken {
			s.listeners[address] = l
		}
	})
	if taken {
		return nil, errors.Errorf("address %s is taken", address)
	}
	return l, nil
}

// Dialer returns a dial function for a host's connections.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d := &dial{network: n, from: host, to: hostOf(address), address: address, ended: true}
		n.do(d.connect)
		switch {
		case d.ended:
			return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
		case d.partitioned:
			return nil, n.unanswered(ctx, network)
		case d.listener == nil:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		select {
		case d.listener.accepted <- d.far:
			return d.near, nil
		case <-d.listener.closed:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

// dial is one attempt to connect, and what the network's state made of it.
type dial struct {
	network           *Network
	from, to, address string
	ended             bool // the network has ended
	partitioned       bool
	listener          *listener // nil if nobody listens
	near, far         *conn
}

// connect creates both ends of the connection, if the address can be reached.
func (d *dial) connect(s *state) {
	d.ended = false
	d.partitioned = s.flag(d.from, d.to).Load()
	d.listener = s.listeners[d.address]
	if d.listener == nil || d.partitioned {
		return
	}
	near, far := net.Pipe()
	local := d.from + ":0"
	d.near = &conn{Conn: near, network: d.network, from: d.from, to: d.to, local: local, remote: d.address}
	d.far = &conn{Conn: far, network: d.network, from: d.to, to: d.from, local: d.address, remote: local}
	d.near.other, d.far.other = d.far, d.near
	s.conns[d.near], s.conns[d.far] = struct{}{}, struct{}{}
}

// unanswered waits until a dial to an unreachable host times out.
func (n *Network) unanswered(ctx context.Context, network string) error {
	wait, stop := clock.NewTimer(dialTimeout)
	defer stop()
	select {
	case <-ctx.Done():
	case <-wait:
	case <-n.ended:
	}
	return &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	shutOnce atomic.Bool
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shut() {
	if l.shutOnce.CompareAndSwap(false, true) {
		close(l.closed)
	}
}

func (l *listener) Close() error {
	l.network.do(func(s *state) {
		if s.listeners[l.address] == l {
			delete(s.listeners, l.address)
		}
	})
	l.shut()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// conn is one end of a connection. It drops what is written once its link has been
// partitioned.
type conn struct {
	net.Conn
	network       *Network
	from, to      string
	local, remote string
	other         *conn
	dead          atomic.Bool // its link has been partitioned
}

func (c *conn) Write(p []byte) (int, error) {
	if c.dead.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.network.do(func(s *state) { delete(s.conns, c) })
	if c.dead.Load() {
		_ = c.Conn.SetDeadline(time.UnixMilli(1))
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local) }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
