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

// Config configures a client. Zero values select the defaults given here.
type Config struct {
	// Dial opens connections; the default is that of a zero net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout limits the time to open a connection; default 1 s.
	ConnectTimeout time.Duration
	// MaxHeaderBytes limits the header of a response; default 64 KiB.
	MaxHeaderBytes int64
	// MaxIdlePerServer limits the idle connections kept per server; default 64.
	MaxIdlePerServer int
	// IdleTimeout is how long a connection may stay idle before reuse if the server
	// sends no Keep-Alive timeout; default 400 ms.
	IdleTimeout time.Duration
	// Clock measures the idle time; default clock.System.
	Clock clock.Clock
	// OnUnacknowledged is called with the name of a server whose machine stopped
	// acknowledging packets while a connection to it was idle; may be nil.
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
