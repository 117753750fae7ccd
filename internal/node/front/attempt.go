package front

import (
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/decision/route"
	"stepwick/internal/events"
)

// newAttempt returns the parameters of an attempt of the call at the chosen server.
func (c *call) newAttempt(choice route.Choice) *backend.Attempt {
	c.lastServer = choice.Server
	return &backend.Attempt{
		ID:                c.id,
		Server:            choice.Server,
		Address:           choice.Address,
		Deadline:          c.request.Deadline,
		Now:               c.front.clock.Now,
		CheckSend:         c.checkSend,
		FirstEventTimeout: choice.FirstEventTimeout,
	}
}

// recordRetry excludes the server from further attempts of the call and records
// the retry in the log and the metrics.
func (c *call) recordRetry(server string) {
	c.request.TriedServers = append(c.request.TriedServers, server)
	c.front.log.Emit(events.RequestRetried, "request", c.id, "service", c.service, "server", server)
	c.front.metrics.retries.WithLabelValues(c.service).Inc()
}

// serverLostFailure returns the failure of an attempt that was cancelled because
// its server was removed or reported as unreachable. The argument is the failure
// that the attempt itself returned.
func serverLostFailure(failure *backend.Failure) *backend.Failure {
	kind := backend.TimedOut
	if failure.NotSent() {
		kind = backend.NotSent
	}
	return &backend.Failure{Kind: kind, Detail: "the server was removed or health checks report it as unreachable"}
}

// releaseServer frees the assignment of an attempt that has ended and reports its
// outcome to the routing table. The argument firstEvent is the time from the start
// of the attempt to the first event, zero without one.
func (c *call) releaseServer(assigned *assignment, failure *backend.Failure, startedAt time.Time, firstEvent time.Duration) {
	outcome := outcomeOf(failure)
	outcome.Service = c.request.Service
	outcome.TimeToFirstEvent = firstEvent
	outcome.Duration = c.front.clock.Now().Sub(startedAt)
	c.front.router.release(assigned, outcome)
}

// outcomeOf converts the failure of an attempt, nil for success, to an outcome for
// the routing table. A cancellation by the caller or by the front says nothing
// about the server's health. An incomplete answer, or one to another request,
// counts as a timeout.
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
