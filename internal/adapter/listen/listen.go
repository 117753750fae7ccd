// Package listen holds what the listeners for clients share.
package listen

import (
	"net"
	"sync"
)

// LimitConnections returns a listener that accepts at most so many simultaneous
// connections; further ones wait in the operating system's backlog. Close also ends
// an Accept that waits for a connection to end.
func LimitConnections(listener net.Listener, connections int) net.Listener {
	return &limitListener{
		Listener: listener,
		slots:    make(chan struct{}, connections),
		closed:   make(chan struct{}),
	}
}

// limitListener holds a slot for each open connection.
type limitListener struct {
	net.Listener
	slots     chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for a free slot and then for a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: conn, slots: l.slots}, nil
}

// Close closes the listener. Connections stay open.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn releases its slot when it is closed first.
type limitConn struct {
	net.Conn
	slots       chan struct{}
	releaseOnce sync.Once
}

// Close closes the connection.
func (c *limitConn) Close() error {
	c.releaseOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}
