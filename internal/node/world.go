package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"stepwick/internal/clock"

	"golang.org/x/sys/unix"
)

// World is what a process touches outside itself.
type World struct {
	Clock  clock.Clock
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Edge   Edge // nil for the process's own listeners

	// DialServer opens connections to the servers of routes; Dial when nil.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
}

func (w World) serverDial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if w.DialServer != nil {
		return w.DialServer
	}
	return w.Dial
}

const (
	// serverSilence is how long the machine of a server may leave bytes or a probe
	// of a resting connection without acknowledgement.
	serverSilence = 1200 * time.Millisecond
	serverProbes  = time.Second // between two probes of a connection that rests
)

// serverDialer dials like another dialer, but finds out soon when the machine
// at the far end is gone without a word.
func serverDialer(base *net.Dialer) *net.Dialer {
	dialer := *base
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: serverProbes, Interval: serverProbes, Count: 1}
	dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(serverSilence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
	return &dialer
}
