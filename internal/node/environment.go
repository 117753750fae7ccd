package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stepwick/internal/clock"
)

// Environment is what a process uses outside itself. Tests replace it to run fleets
// in virtual time and without a network.
type Environment struct {
	Clock clock.Clock
	// Listen opens a listener at an address (ip:port).
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection, as net.Dialer's DialContext does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Platform is nil for a process with its own listeners for clients.
	Platform PlatformAdapter
	// DialServer opens connections to the servers of routes; Dial when nil.
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
	// unacknowledgedTimeout is how long the machine of a server may leave bytes or a
	// keep-alive probe unacknowledged before the connection fails.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// keepAliveInterval is the time between two probes of an idle connection.
	keepAliveInterval = time.Second
)

// serverDialer returns a dialer like another one, whose connections fail soon after
// the remote machine stopped without closing them.
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
