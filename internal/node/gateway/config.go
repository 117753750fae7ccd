package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
)

// Config configures a gateway. Fields that are zero take the defaults stated.
type Config struct {
	Balance  balance.Config
	Upstream upstream.Config
	// MaxBodyBytes limits the body of a request if the configuration in force has no
	// limit. The default is 4 MiB.
	MaxBodyBytes int64
	// MaxBufferedBytes limits the total size of the buffered bodies of all requests in
	// flight. The default is 64 MiB.
	MaxBufferedBytes int64
	// MaxHeaderBytes limits the header of a request. The default is 16 KiB.
	MaxHeaderBytes int
	// HeaderTimeout limits the time in which the header of a request must arrive. The
	// default is 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time in which the body of a request must arrive. The
	// default is 5 s.
	BodyTimeout time.Duration
	// IdleTimeout limits how long a client's connection may wait for its next request.
	// The default is 60 s.
	IdleTimeout time.Duration
	// DefaultTokens is the number of tokens charged for a request that declares none, if
	// its tenant has no default either. The default is 50.
	DefaultTokens float64
	// MaxDeadline limits the time from a request's arrival to its deadline. The default
	// is 120 s.
	MaxDeadline time.Duration
	Quota       QuotaPolicy
	DrainDelay  DrainDelay
	// Observe is called with a server's reachability as observed by requests and
	// probes. It may be nil.
	Observe func(ctx context.Context, server string, reachable bool)
	// MaxConnections limits the number of client connections. The default is 4096.
	MaxConnections int
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBodyBytes, 4<<20)
	setDefault(&c.MaxBufferedBytes, 64<<20)
	setDefault(&c.MaxHeaderBytes, 16<<10)
	setDefault(&c.HeaderTimeout, 5*time.Second)
	setDefault(&c.BodyTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, time.Minute)
	setDefault(&c.DefaultTokens, 50)
	setDefault(&c.MaxDeadline, 120*time.Second)
	setDefault(&c.Quota.Fraction, 1)
	setDefault(&c.MaxConnections, 4096)
	c.DrainDelay.setDefaults()
	return c
}

func setDefault[T int | int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
