// Package memnet is an in-memory network for simulations of complete nodes in virtual
// time. A link is a directed pair of hosts. A partitioned link drops all data; an
// address without a listener refuses connections. One goroutine owns the state;
// connections read the partitions through atomic flags.
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

// Network connects hosts that are identified by their IP addresses.
type Network struct {
	calls chan func(*state)
	ended <-chan struct{}
}

type state struct {
	listeners   map[string]*listener
	partitioned map[[2]string]*atomic.Bool // by link
	conns       map[*conn]struct{}
}

// New returns a network that works until the context ends.
func New(ctx context.Context) *Network {
	n := &Network{calls: make(chan func(*state)), ended: ctx.Done()}
	go func() {
		s := &state{listeners: map[string]*listener{}, partitioned: map[[2]string]*atomic.Bool{}, conns: map[*conn]struct{}{}}
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

// do runs a call on the state and waits until it returns. It does nothing once the
// network has ended.
func (n *Network) do(call func(*state)) {
	done := make(chan struct{})
	select {
	case n.calls <- func(s *state) { call(s); close(done) }:
		<-done
	case <-n.ended:
	}
}

// partitionFlag returns the flag that is set while a link is partitioned.
func (s *state) partitionFlag(from, to string) *atomic.Bool {
	key := [2]string{from, to}
	f, ok := s.partitioned[key]
	if !ok {
		f = &atomic.Bool{}
		s.partitioned[key] = f
	}
	return f
}

// SetPartitioned partitions two hosts in both directions, or heals the partition. Connections
// that existed when the partition began drop all data from then on, also after it
// has healed.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.do(func(s *state) {
		s.partitionFlag(a, b).Store(partitioned)
		s.partitionFlag(b, a).Store(partitioned)
		if !partitioned {
			return
		}
		for c := range s.conns {
			if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
				c.blackholed.Store(true)
				c.peer.blackholed.Store(true)
			}
		}
	})
}

// ResetHost closes a host's listeners and resets its connections, as a killed
// process does.
func (n *Network) ResetHost(host string) {
	n.do(func(s *state) {
		for address, l := range s.listeners {
			if hostOf(address) == host {
				l.shutDown()
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
			l.shutDown()
			delete(s.listeners, address)
		}
		for c := range s.conns {
			_ = c.Conn.Close()
			delete(s.conns, c)
		}
	})
}

// Listen opens a listener at an address in the form ip:port. It returns an error if
// the address is in use.
func (n *Network) Listen(address string) (net.Listener, error) {
	l := &listener{network: n, address: address, backlog: make(chan net.Conn, 128), closed: make(chan struct{})}
	var inUse bool
	n.do(func(s *state) {
		if _, inUse = s.listeners[address]; !inUse {
			s.listeners[address] = l
		}
	})
	if inUse {
		return nil, errors.Errorf("listen on %s: address already in use", address)
	}
	return l, nil
}

// Dialer returns a dial function whose connections originate from a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		d := &dialAttempt{network: n, from: host, to: hostOf(address), address: address, networkEnded: true}
		n.do(d.connect)
		switch {
		case d.networkEnded:
			return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
		case d.partitioned:
			return nil, n.awaitDialTimeout(ctx, network)
		case d.listener == nil:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		}
		select {
		case d.listener.backlog <- d.serverEnd:
			return d.clientEnd, nil
		case <-d.listener.closed:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
}

// dialAttempt is one attempt to connect, and its result.
type dialAttempt struct {
	network              *Network
	from, to, address    string
	networkEnded         bool
	partitioned          bool
	listener             *listener // nil if the address has no listener
	clientEnd, serverEnd *conn
}

// connect creates both ends of the connection if the address is reachable.
func (d *dialAttempt) connect(s *state) {
	d.networkEnded = false
	d.partitioned = s.partitionFlag(d.from, d.to).Load()
	d.listener = s.listeners[d.address]
	if d.listener == nil || d.partitioned {
		return
	}
	near, far := net.Pipe()
	local := d.from + ":0"
	d.clientEnd = &conn{Conn: near, network: d.network, from: d.from, to: d.to, local: local, remote: d.address}
	d.serverEnd = &conn{Conn: far, network: d.network, from: d.to, to: d.from, local: d.address, remote: local}
	d.clientEnd.peer, d.serverEnd.peer = d.serverEnd, d.clientEnd
	s.conns[d.clientEnd], s.conns[d.serverEnd] = struct{}{}, struct{}{}
}

// awaitDialTimeout waits for the dial timeout, or until the context or the network
// ends, and returns a deadline error.
func (n *Network) awaitDialTimeout(ctx context.Context, network string) error {
	timeout, stop := clock.NewTimer(dialTimeout)
	defer stop()
	select {
	case <-ctx.Done():
	case <-timeout:
	case <-n.ended:
	}
	return &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
}

type listener struct {
	network      *Network
	address      string
	backlog      chan net.Conn
	closed       chan struct{}
	shutDownOnce atomic.Bool
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) shutDown() {
	if l.shutDownOnce.CompareAndSwap(false, true) {
		close(l.closed)
	}
}

func (l *listener) Close() error {
	l.network.do(func(s *state) {
		if s.listeners[l.address] == l {
			delete(s.listeners, l.address)
		}
	})
	l.shutDown()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// conn is one end of a connection. Once its link has been partitioned, it drops all
// data written to it.
type conn struct {
	net.Conn
	network       *Network
	from, to      string
	local, remote string
	peer          *conn
	blackholed    atomic.Bool // its link has been partitioned
}

func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.network.do(func(s *state) { delete(s.conns, c) })
	if c.blackholed.Load() {
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
