package gateway

import (
	"context"
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
)

// Config configures a gateway. Zero values take the defaults named.
type Config struct {
	Balance  balance.Config
	Upstream upstream.Config
	// MaxBodyBytes limits a request's body where the configuration in force has no
	// limit; 4 MiB.
	MaxBodyBytes int64
	// MaxBufferedBytes limits the bodies of all requests in flight together; 64 MiB.
	MaxBufferedBytes int64
	// MaxHeaderBytes limits a request's header; 16 KiB.
	MaxHeaderBytes int
	// HeaderTimeout is for a request's header to arrive; 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout is for a request's body to arrive; 5 s.
	BodyTimeout time.Duration
	// IdleTimeout is for the next request on a client's connection; 60 s.
	IdleTimeout time.Duration
	// DefaultTokens is the size at which a request is charged that states none,
	// where its tenant has no such size; 50.
	DefaultTokens float64
	// MaxDeadline limits the time from a request's arrival to its deadline; 120 s.
	MaxDeadline time.Duration
	Quota       QuotaPolicy
	DrainDelay  DrainDelay
	// Observe receives what requests and probes show of a server's reachability;
	// may be nil.
	Observe func(ctx context.Context, server string, reachable bool)
	// MaxConnections limits the connections of clients; 4096.
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
