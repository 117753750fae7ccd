package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

const (
	drainPollInterval    = 50 * time.Millisecond
	drainingRetryAfter   = time.Second
	defaultDrainDelayMin = 2500 * time.Millisecond
	defaultDrainDelayMax = 5 * time.Second
	defaultDrainIdleFor  = time.Second
	// minDelayDivisor limits DrainDelay.Min to a part of the grace period, so that most
	// requests accepted until then complete within the rest of it.
	minDelayDivisor = 2
	// cancelledRequestPolls is the number of polls for which a drain waits for the
	// answers to the requests that it has cancelled.
	cancelledRequestPolls = 4
)

// errDrainEnded is the cause with which the context of a request ends when the time of a
// drain is over.
var errDrainEnded = errors.New("the time of the drain is over")

// DrainDelay configures how long a draining gateway continues to serve new requests,
// since clients keep sending them until they have learned of other nodes. Fields that are
// zero take the defaults stated.
type DrainDelay struct {
	// Min is the time in which every request is accepted; 2.5 s by default, and at most
	// half of the grace period. After it, only requests are accepted whose deadline is
	// within the grace period.
	Min     time.Duration
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
	// acceptAllUntil is the end of DrainDelay.Min.
	acceptAllUntil time.Time
	// end is when the requests still in flight are cancelled; zero for never.
	end time.Time
}

// newDrainState returns the state of a drain that begins now and ends with the context.
func (d DrainDelay) newDrainState(ctx context.Context, now time.Time) *drainState {
	drain := &drainState{began: now, acceptAllUntil: now.Add(d.Min)}
	if end, limited := ctx.Deadline(); limited {
		drain.end = end
		drain.acceptAllUntil = now.Add(min(d.Min, end.Sub(now)/minDelayDivisor))
	}
	return drain
}

// accepts reports whether a request may be sent to a server now: always until
// acceptAllUntil, and later only if it is certain to end within the grace period.
func (d *drainState) accepts(now, deadline time.Time) bool {
	return d == nil || d.end.IsZero() || !now.After(d.acceptAllUntil) || !deadline.After(d.end)
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
// delay, as far as they can end before the context's deadline, then rejects them and waits
// until the requests in flight have ended. If the context ends first, it cancels them, so
// that those whose response has not begun are answered, and returns the context's error.
func (g *Gateway) Drain(ctx context.Context) error {
	drain := g.config.DrainDelay.newDrainState(ctx, g.clock.Now())
	g.drain.Store(drain)
	for !g.drainDelayOver(drain) {
		if !g.awaitDrainPoll(ctx) {
			return g.cancelRequests(ctx)
		}
	}
	g.closed.Store(true)
	g.log.Emit(events.DrainClosed, "in_flight", g.InFlight())
	for g.InFlight() > 0 {
		if !g.awaitDrainPoll(ctx) {
			return g.cancelRequests(ctx)
		}
	}
	return nil
}

// cancelRequests rejects new requests, cancels those in flight, waits for their handlers
// and returns the error of the ended context.
func (g *Gateway) cancelRequests(ended context.Context) error {
	g.closed.Store(true)
	remaining := g.InFlight()
	g.endRequests()
	for range cancelledRequestPolls {
		if g.InFlight() == 0 {
			break
		}
		g.awaitDrainPoll(context.Background())
	}
	return errors.Wrapf(ended.Err(), "%d requests were cancelled", remaining)
}

// untilRequestsEnd returns a context that ends with ctx, or with the cause errDrainEnded
// when the time of a drain is over. The caller must call release.
func (g *Gateway) untilRequestsEnd(ctx context.Context) (limited context.Context, release func()) {
	limited, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.requests, func() { cancel(errDrainEnded) })
	return limited, func() {
		stop()
		cancel(nil)
	}
}

// endedByDrain reports whether the request was cancelled at the end of a drain.
func (q *request) endedByDrain() bool {
	return errors.Is(context.Cause(q.http.Context()), errDrainEnded)
}

// clientDisconnected reports whether the client closed the connection.
func (q *request) clientDisconnected() bool {
	return q.http.Context().Err() != nil && !q.endedByDrain()
}

// checkDrain returns an error if the node is draining and the request, which no server has
// received yet, may outlast the drain.
func (q *request) checkDrain() *apierror.Error {
	if q.gateway.drain.Load().accepts(q.gateway.clock.Now(), q.deadline) {
		return nil
	}
	return apierror.Errorf(apierror.FrontDraining, "the node is draining and may end before the request does; send it to another node").
		WithRetryAfter(noAuthorityRetryAfter)
}

func (g *Gateway) drainDelayOver(drain *drainState) bool {
	now := g.clock.Now()
	lastArrival := g.started.Add(time.Duration(g.lastArrival.Load()))
	return g.config.DrainDelay.isOver(now.Sub(drain.began), now.Sub(lastArrival))
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
