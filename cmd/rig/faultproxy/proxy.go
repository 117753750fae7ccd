// Package faultproxy forwards the TCP connections between processes, so that any
// directed link can be blocked, delayed or reset. It identifies the source of a
// connection by the IP address from which it dials.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
)

// chunkSize is the maximum number of bytes that are forwarded, and delayed, at a time.
const chunkSize = 32 << 10

// Proxy forwards connections to one target. While it is stopped, connections are
// refused.
type Proxy struct {
	Name    string // name of the target in links
	Address string // on which the proxy listens
	target  string
	links   *Links
	state   *owner.Owner[state]
}

type state struct {
	listener    net.Listener // nil while stopped
	cancel      context.CancelFunc
	connections *sync.WaitGroup // goroutines of the accept loop and of the open connections
}

// New returns a stopped proxy.
func New(name, address, target string, links *Links) *Proxy {
	return &Proxy{
		Name:    name,
		Address: address,
		target:  target,
		links:   links,
		state:   owner.New(state{}),
	}
}

// Start starts listening. It does nothing if the proxy is already listening.
func (p *Proxy) Start() error {
	var err error
	p.state.Do(func(s *state) {
		if s.listener == nil {
			err = p.listen(s)
		}
	})
	return errors.Wrapf(err, "proxy to %s", p.Name)
}

func (p *Proxy) listen(s *state) error {
	listener, err := net.Listen("tcp4", p.Address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	connections := &sync.WaitGroup{}
	s.listener = listener
	s.cancel = cancel
	s.connections = connections
	connections.Go(func() { p.accept(ctx, listener, connections) })
	return nil
}

// Stop stops listening, so that new connections are refused, resets the open ones and
// waits until they are closed.
func (p *Proxy) Stop() {
	var connections *sync.WaitGroup
	p.state.Do(func(s *state) {
		if s.listener == nil {
			return
		}
		_ = s.listener.Close()
		s.cancel()
		s.listener = nil
		connections = s.connections
	})
	if connections != nil {
		connections.Wait()
	}
}

// Close stops the proxy, which can't be started again.
func (p *Proxy) Close() {
	p.Stop()
	p.state.Close()
}

func (p *Proxy) accept(ctx context.Context, listener net.Listener, connections *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() { p.forward(ctx, conn.(*net.TCPConn)) })
	}
}

// reset closes a connection with RST instead of FIN.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// admit waits until data may pass a link. It returns false if the connection must be
// reset.
func (p *Proxy) admit(ctx context.Context, from, to string) bool {
	for {
		mode, changed := p.links.mode(from, to)
		if mode.Reset {
			return false
		}
		if !mode.Blocked {
			return mode.Delay == 0 || owner.Sleep(ctx, mode.Delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// forward copies the data of one connection until both directions have ended cleanly,
// one has failed or the proxy stops.
func (p *Proxy) forward(proxyContext context.Context, client *net.TCPConn) {
	ctx, cancel := context.WithCancel(proxyContext)
	defer cancel()
	source := p.links.sourceName(client.RemoteAddr())
	server, ok := p.dial(ctx, source)
	if !ok {
		reset(client)
		return
	}
	stop := context.AfterFunc(ctx, func() {
		reset(client)
		reset(server)
	})
	defer stop()
	cleanEnds := make(chan bool, 2)
	go func() { cleanEnds <- p.copyDirection(ctx, client, server, source, p.Name) }()
	go func() { cleanEnds <- p.copyDirection(ctx, server, client, p.Name, source) }()
	// If one direction failed, don't wait for the other: the reset below ends it.
	clean := <-cleanEnds
	if clean {
		clean = <-cleanEnds
	}
	if !clean {
		cancel()
		reset(client)
		reset(server)
		return
	}
	_ = client.Close()
	_ = server.Close()
}

// dial connects to the target once the link from the source admits the connection.
func (p *Proxy) dial(ctx context.Context, source string) (*net.TCPConn, bool) {
	if !p.admit(ctx, source, p.Name) {
		return nil, false
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		return nil, false
	}
	return conn.(*net.TCPConn), true
}

// copyDirection copies data in one direction until EOF or an error, and reports whether
// it ended with EOF. A blocked link also holds back the end or the reset of a connection.
func (p *Proxy) copyDirection(ctx context.Context, in, out *net.TCPConn, from, to string) bool {
	buffer := make([]byte, chunkSize)
	for {
		count, readErr := in.Read(buffer)
		if count > 0 {
			if !p.admit(ctx, from, to) {
				return false
			}
			if _, err := out.Write(buffer[:count]); err != nil {
				p.admit(ctx, to, from) // the reset travels against the data
				return false
			}
		}
		if readErr != nil {
			clean := p.admit(ctx, from, to) && errors.Is(readErr, io.EOF)
			if clean {
				_ = out.CloseWrite()
			}
			return clean
		}
	}
}
