package front

import (
	"stepwick/internal/adapter/backend"
	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

// resultEvents are the log events of results. Any other error is logged as
// RequestRefused.
var resultEvents = map[apierror.Code]events.Event{
	apierror.OutcomeUnknown: events.OutcomeUnknown,
	apierror.StreamCut:      events.StreamAborted,
	apierror.KeyRevoked:     events.StreamKeyRevoked,
	apierror.QueueFull:      events.QueueFull,
	apierror.DeadlinePassed: events.DeadlineExceeded,
	apierror.CallerGone:     events.CallerDisconnected,
}

// logResult logs the result of a call that failed.
func (c *call) logResult(apiErr *apierror.Error) {
	if apiErr == nil {
		return
	}
	event, found := resultEvents[apiErr.Code]
	if !found {
		event = events.RequestRejected
	}
	c.front.log.Emit(event, "request", c.id, "service", c.service, "tenant", c.tenant, "server", c.lastServer,
		"code", uint32(apiErr.Code), "detail", apiErr.Detail)
}

// failureEvents are the log events of answers that break the protocol.
var failureEvents = map[backend.FailureKind]events.Event{
	backend.ProtocolViolation: events.ResponseMismatched,
	backend.EventsOutOfOrder:  events.EventOutOfOrder,
	backend.Incomplete:        events.ResponseIncomplete,
}

// logFailure logs a failure that is the server's fault.
func (c *call) logFailure(failure *backend.Failure) {
	if failure == nil {
		return
	}
	if event, found := failureEvents[failure.Kind]; found {
		c.front.log.Emit(event, "request", c.id, "service", c.service, "server", c.lastServer, "detail", failure.Detail)
	}
}
