// Package listen limits the connections of the listeners for clients.
package listen

import (
	"net"
	"sync"
)

// LimitConnections returns a listener with at most limit open connections; further ones
// wait in the operating system's backlog. Close also unblocks an Accept that waits for a
// connection to close.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitListener{
		Listener: listener,
		slots:    make(chan struct{}, limit),
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

// Close closes the listener. Accepted connections stay open.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn releases its slot on the first Close.
type limitConn struct {
	net.Conn
	slots       chan struct{}
	releaseOnce sync.Once
}

// Close closes the connection and releases its slot.
func (c *limitConn) Close() error {
	c.releaseOnce.Do(func() { <-c.slots })
	return c.Conn.Close()
}
