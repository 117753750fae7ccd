package upstream

import (
	"context"
	"net"
	"time"

	"stepwick/internal/clock"
)

const (
	defaultConnectTimeout   = time.Second
	defaultMaxHeaderBytes   = 64 << 10
	defaultMaxIdlePerServer = 64
	defaultIdleTimeout      = 400 * time.Millisecond
)

// Config configures a client. Zero values take the defaults named.
type Config struct {
	// Dial opens connections; a net.Dialer's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout is for a connection to be opened; 1 s.
	ConnectTimeout time.Duration
	// MaxHeaderBytes limits the header of a response; 64 KiB.
	MaxHeaderBytes int64
	// MaxIdlePerServer limits the idle connections that are kept to one server; 64.
	MaxIdlePerServer int
	// IdleTimeout is how long a connection may be idle and be used again where the
	// server does not state it; 400 ms.
	IdleTimeout time.Duration
	// Clock measures the idle time; the system's.
	Clock clock.Clock
	// OnUnacknowledged receives the name of a server whose machine stopped to
	// acknowledge while a connection to it was idle; may be nil.
	OnUnacknowledged func(server string)
}

func (c Config) withDefaults() Config {
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if c.MaxIdlePerServer <= 0 {
		c.MaxIdlePerServer = defaultMaxIdlePerServer
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.Clock == nil {
		c.Clock = clock.System()
	}
	if c.OnUnacknowledged == nil {
		c.OnUnacknowledged = func(string) {}
	}
	return c
}
