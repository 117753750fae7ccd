package clientapi

import (
	"time"

	"stepwick/internal/clock"
)

// Limits bounds the resources that clients can use. Values of zero or below mean the
// default.
type Limits struct {
	MaxBodyBytes     int64         // bytes; default 1 MiB
	MaxBufferedBytes int64         // bytes of all bodies in memory at once; default 64 MiB or four times MaxBodyBytes, whichever is larger
	MaxHeaderBytes   int           // bytes of all header fields together; default 16 KiB
	BodyTimeout      time.Duration // for receiving a complete body; default 5s
	HeaderTimeout    time.Duration // for receiving a complete header; default 5s
	IdleTimeout      time.Duration // of a kept-alive connection; default 60s
	WriteTimeout     time.Duration // for a client to receive one event or one response; default 5s
	MaxDeadline      time.Duration // maximum that a client may request; default 120s
	DefaultDeadline  time.Duration // of a request without one; default 30s
	MaxConnections   int           // open at once; default 4096
	MaxRequests      int           // with an API key, served at once; default 1024
	MaxPromptTokens  float64       // of one prompt; default 1,000,000
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBodyBytes, 1<<20)
	setDefault(&l.MaxBufferedBytes, max(64<<20, 4*l.MaxBodyBytes))
	setDefault(&l.MaxHeaderBytes, 16<<10)
	setDefault(&l.BodyTimeout, 5*time.Second)
	setDefault(&l.HeaderTimeout, 5*time.Second)
	setDefault(&l.IdleTimeout, time.Minute)
	setDefault(&l.WriteTimeout, 5*time.Second)
	setDefault(&l.MaxDeadline, 120*time.Second)
	setDefault(&l.DefaultDeadline, 30*time.Second)
	setDefault(&l.MaxConnections, 4096)
	setDefault(&l.MaxRequests, 1024)
	setDefault(&l.MaxPromptTokens, 1e6)
	return l
}

func setDefault[T int | int64 | float64 | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// deadlineAfter returns a deadline for a connection. It uses the system clock, as
// connections do even if the node's clock is stepped.
func deadlineAfter(timeout time.Duration) time.Time { return clock.System().Now().Add(timeout) }
