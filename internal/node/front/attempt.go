package front

import (
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
)

// newAttempt describes one attempt of the call at the chosen server.
func (c *call) newAttempt(choice route.Choice) *backend.Attempt {
	c.lastServer = choice.Server
	return &backend.Attempt{
		ID:                c.id,
		Server:            choice.Server,
		Address:           choice.Address,
		Deadline:          c.request.Deadline,
		Now:               c.front.clock.Now,
		Allow:             c.checkSend,
		FirstEventTimeout: choice.FirstEventTimeout,
	}
}

// recordRetry excludes the server from further attempts of the call, and reports
// the retry to the log and the metrics.
func (c *call) recordRetry(server string) {
	c.request.TriedServers = append(c.request.TriedServers, server)
	c.front.log.Emit(events.RequestRetried, "request", c.id, "service", c.service, "server", server)
	c.front.metrics.retries.WithLabelValues(c.service).Inc()
}

// serverLostFailure returns the failure of an attempt that ended because health
// checks reported its server as removed or unreachable. Failure is what the
// attempt itself returned.
func serverLostFailure(failure *backend.Failure) *backend.Failure {
	kind := backend.TimedOut
	if failure.NotSent() {
		kind = backend.NotSent
	}
	return &backend.Failure{Kind: kind, Detail: "the server is gone or dark, its watchers say"}
}

// releaseServer ends an attempt that began at a given time: it frees the
// assignment and reports the result to the routing table. FirstEvent is the time
// to the first event, zero without one.
func (c *call) releaseServer(assigned *assignment, failure *backend.Failure, began time.Time, firstEvent time.Duration) {
	outcome := outcomeOf(failure)
	outcome.Service = c.request.Service
	outcome.TimeToFirstEvent = firstEvent
	outcome.Duration = c.front.clock.Now().Sub(began)
	c.front.router.release(assigned, outcome)
}

// outcomeOf converts the result of an attempt to what the routing table learns
// of the server. A cancellation by the caller or by the front is no evidence about
// the server. An incomplete answer, or one of another request, counts like a
// timeout.
func outcomeOf(failure *backend.Failure) route.Outcome {
	if failure == nil {
		return route.Outcome{Result: route.Answered}
	}
	switch failure.Kind {
	case backend.ConnectionRefused:
		return route.Outcome{Result: route.Refused}
	case backend.ServerBusy:
		return route.Outcome{Result: route.Busy}
	case backend.NotSent, backend.TimedOut, backend.ServerFailed, backend.Incomplete, backend.ProtocolViolation, backend.EventsOutOfOrder:
		return route.Outcome{Result: route.TimedOut}
	}
	return route.Outcome{Result: route.Inconclusive}
}
