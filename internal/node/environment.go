package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stepwick/internal/clock"
)

// Environment provides the clock, the network and the platform of a process. Tests
// replace it to run fleets in virtual time and without a network.
type Environment struct {
	Clock clock.Clock
	// Listen opens a listener at an address (ip:port).
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection, as net.Dialer's DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Platform is nil for a process that serves its own client API.
	Platform PlatformAdapter
	// DialServer opens connections to the servers of routes. Default Dial.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
}

// serverDial returns the function that opens connections to the servers of routes.
func (e Environment) serverDial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if e.DialServer != nil {
		return e.DialServer
	}
	return e.Dial
}

const (
	// unacknowledgedTimeout is how long transmitted data or a keep-alive probe may
	// remain unacknowledged by a server's machine before the connection fails.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// keepAliveInterval is the interval of TCP keep-alive probes on idle connections.
	keepAliveInterval = time.Second
)

// serverDialer returns a copy of a dialer whose connections fail soon after the remote
// machine has stopped without closing them.
func serverDialer(base *net.Dialer) *net.Dialer {
	dialer := *base
	dialer.KeepAliveConfig = net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveInterval,
		Interval: keepAliveInterval,
		Count:    1,
	}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			timeout := int(unacknowledgedTimeout.Milliseconds())
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	return &dialer
}
