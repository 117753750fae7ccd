package simnode

import (
	"net"
	"sync/atomic"
)

// traffic counts the payload bytes of connections in both directions.
type traffic struct{ bytes atomic.Int64 }

// countedConn is a connection whose payload is counted.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.traffic.bytes.Add(int64(count))
	return count, err
}

func (c countedConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.traffic.bytes.Add(int64(count))
	return count, err
}

// countedListener counts the payload of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.traffic}, nil
}
