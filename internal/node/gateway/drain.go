package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

const (
	drainPollInterval    = 50 * time.Millisecond
	drainingRetryAfter   = time.Second
	defaultDrainDelayMin = 3 * time.Second
	defaultDrainDelayMax = 5 * time.Second
	defaultDrainIdleFor  = time.Second
)

// DrainDelay configures how long a draining gateway continues to serve new requests,
// since clients keep sending them until they have learned of other nodes. Fields that are
// zero take the defaults stated.
type DrainDelay struct {
	Min     time.Duration // minimum delay; 3 s by default
	Max     time.Duration // maximum delay; 5 s by default
	IdleFor time.Duration // ends the delay after Min if no request arrived for this long; 1 s by default
}

func (d *DrainDelay) setDefaults() {
	setDefault(&d.Min, defaultDrainDelayMin)
	setDefault(&d.Max, defaultDrainDelayMax)
	setDefault(&d.IdleFor, defaultDrainIdleFor)
}

// isOver reports whether the delay has ended, given the time since the drain began and
// the time since the last request arrived.
func (d DrainDelay) isOver(elapsed, idle time.Duration) bool {
	return elapsed >= d.Max || elapsed >= d.Min && idle >= d.IdleFor
}

// drainState describes a drain in progress. It is immutable.
type drainState struct {
	began time.Time
}

// draining reports whether Drain was called.
func (g *Gateway) draining() bool { return g.drain.Load() != nil }

// InFlight returns the number of requests that the gateway is serving.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Ready returns nil if the node accepts requests for routes, and the reason otherwise.
func (g *Gateway) Ready() *apierror.Error {
	if g.draining() {
		return apierror.Errorf(apierror.FrontDraining, "the node is draining; send the request to another node").WithRetryAfter(drainingRetryAfter)
	}
	return g.checkAuthority()
}

// Drain marks the node as not ready, continues to serve new requests for the configured
// delay, then rejects them and waits until the requests in flight have ended. It returns
// the context's error if the context ends first.
func (g *Gateway) Drain(ctx context.Context) error {
	began := g.clock.Now()
	g.drain.Store(&drainState{began: began})
	for !g.drainDelayOver(began) {
		if !g.awaitDrainPoll(ctx) {
			return ctx.Err()
		}
	}
	g.closed.Store(true)
	g.log.Emit(events.DrainClosed, "in_flight", g.InFlight())
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
	return g.config.DrainDelay.isOver(now.Sub(began), now.Sub(lastArrival))
}

// awaitDrainPoll waits for drainPollInterval. It returns false if the context ends first.
func (g *Gateway) awaitDrainPoll(ctx context.Context) bool {
	select {
	case <-g.clock.After(drainPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}
