package front

import (
	"stepwick/internal/adapter/backend"
	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

// resultEvents maps result codes to log events. Any other code is logged as
// RequestRejected.
var resultEvents = map[apierror.Code]events.Event{
	apierror.OutcomeUnknown:     events.OutcomeUnknown,
	apierror.StreamAborted:      events.StreamAborted,
	apierror.KeyRevoked:         events.StreamKeyRevoked,
	apierror.QueueFull:          events.QueueFull,
	apierror.DeadlineExceeded:   events.DeadlineExceeded,
	apierror.CallerDisconnected: events.CallerDisconnected,
}

// logResult logs the result of a call that failed.
func (c *call) logResult(apiErr *apierror.Error) {
	if apiErr == nil {
		return
	}
	event, ok := resultEvents[apiErr.Code]
	if !ok {
		event = events.RequestRejected
	}
	c.front.log.Emit(event, "request", c.id, "service", c.service, "tenant", c.tenant, "server", c.lastServer,
		"code", uint32(apiErr.Code), "detail", apiErr.Detail)
}

// failureEvents maps failures that violate the protocol to log events.
var failureEvents = map[backend.FailureKind]events.Event{
	backend.ProtocolViolation: events.ResponseMismatched,
	backend.EventsOutOfOrder:  events.EventOutOfOrder,
	backend.Incomplete:        events.ResponseIncomplete,
}

// logFailure logs a failure if the server violated the protocol.
func (c *call) logFailure(failure *backend.Failure) {
	if failure == nil {
		return
	}
	if event, ok := failureEvents[failure.Kind]; ok {
		c.front.log.Emit(event, "request", c.id, "service", c.service, "server", c.lastServer, "detail", failure.Detail)
	}
}
