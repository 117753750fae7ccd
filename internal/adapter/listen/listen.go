// Package listen holds what the listeners for clients share.
package listen

import (
	"net"
	"sync"
)

// Bounded returns a listener with no more connections open at once than a
// number; further ones wait to be accepted.
func Bounded(listener net.Listener, connections int) net.Listener {
	return &boundedListener{Listener: listener, free: make(chan struct{}, connections), closed: make(chan struct{})}
}

type boundedListener struct {
	net.Listener
	free   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &boundedConn{Conn: conn, free: l.free}, nil
}

func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}
