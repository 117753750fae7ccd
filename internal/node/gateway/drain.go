package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
)

const (
	drainPollInterval    = 50 * time.Millisecond
	drainingRetryAfter   = time.Second
	defaultDrainDelayMin = 3 * time.Second
	defaultDrainDelayMax = 5 * time.Second
	defaultDrainIdleFor  = time.Second
)

// DrainDelay is how long a draining gateway still serves new requests, since
// clients keep sending them until they know of other nodes. Zero values take the
// defaults named.
type DrainDelay struct {
	Min     time.Duration // new requests are served at least so long; 3 s
	Max     time.Duration // and at most so long; 5 s
	IdleFor time.Duration // between the two, the delay ends when none arrived for so long; 1 s
}

func (d *DrainDelay) setDefaults() {
	setDefault(&d.Min, defaultDrainDelayMin)
	setDefault(&d.Max, defaultDrainDelayMax)
	setDefault(&d.IdleFor, defaultDrainIdleFor)
}

// over reports whether the delay is over for a drain that began so long ago, when
// the last request arrived idle ago.
func (d DrainDelay) over(elapsed, idle time.Duration) bool {
	return elapsed >= d.Max || elapsed >= d.Min && idle >= d.IdleFor
}

// Ready returns nil when the node takes requests by routes, else the reason.
func (g *Gateway) Ready() *apierror.Error {
	if g.draining.Load() {
		return apierror.Errorf(apierror.FrontLeaving, "ask another node").WithRetryAfter(drainingRetryAfter)
	}
	return g.checkAuthority()
}

// Drain makes the node not ready, serves new requests for the configured delay,
// and waits until the requests in flight have ended. It returns the context's
// error when the context ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	began := g.clock.Now()
	for !g.drainDelayOver(began) {
		if !g.awaitDrainPoll(ctx) {
			return ctx.Err()
		}
	}
	g.closed.Store(true)
	for g.inFlight.Load() > 0 {
		if !g.awaitDrainPoll(ctx) {
			return ctx.Err()
		}
	}
	return nil
}

func (g *Gateway) drainDelayOver(began time.Time) bool {
	now := g.clock.Now()
	lastArrival := g.started.Add(time.Duration(g.lastArrival.Load()))
	return g.config.DrainDelay.over(now.Sub(began), now.Sub(lastArrival))
}

// awaitDrainPoll waits for the next poll of a drain; it returns false when the
// context has ended.
func (g *Gateway) awaitDrainPoll(ctx context.Context) bool {
	select {
	case <-g.clock.After(drainPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
