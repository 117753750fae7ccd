package gateway

import (
	"io"
	"net/http"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
)

// relayStream relays the events of a stream as they arrive. Only complete events are
// relayed, so that another server can resume the stream after the last of them.
func (r *relay) relayStream(response *upstream.Response, attempt *balance.Attempt) (apiErr *apierror.Error, retry bool) {
	var events eventSplitter
	var chunk [readChunkSize]byte
	controller := http.NewResponseController(r.writer())
	watch := r.request.watchStall(r.ctx, r.request.possibleExecutions, r.lastEventID, true, response.Abort)
	defer func() { r.request.stopStallWatch(watch, retry) }()
	for first := true; ; {
		count, err := response.Read(chunk[:])
		if count > 0 {
			watch.recordProgress()
			if first {
				r.request.gateway.dispatcher.reportResponseStarted(attempt)
				first = false
			}
			if apiErr := r.relayEvents(response, &events, chunk[:count], controller); apiErr != nil {
				return apiErr, false
			}
			watch.recordRelayed(r.lastEventID)
		}
		if err != nil {
			return r.finishStream(response, events.incomplete(), err)
		}
	}
}

// relayEvents appends data to events and relays the events that are now complete.
func (r *relay) relayEvents(
	response *upstream.Response,
	events *eventSplitter,
	data []byte,
	controller *http.ResponseController,
) *apierror.Error {
	complete := events.appendChunk(data)
	if len(complete) == 0 {
		return nil
	}
	r.writeHeader(response)
	if _, err := r.writer().Write(complete); err != nil {
		return r.clientError(err)
	}
	if err := controller.Flush(); err != nil {
		return r.clientError(err)
	}
	if events.lastID != "" {
		r.lastEventID = events.lastID
	}
	return nil
}

// finishStream handles the end of a response body, at which a read returned err. It
// relays the bytes after the last complete event if the response's framing shows that the
// body is complete.
func (r *relay) finishStream(response *upstream.Response, incomplete []byte, err error) (apiErr *apierror.Error, retry bool) {
	switch {
	case err != io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
		return r.responseError(err), true
	case !response.HasFraming() && len(incomplete) > 0:
		return apierror.Errorf(apierror.StreamAborted, "the server closed the stream within an event"), true
	}
	r.writeHeader(response)
	if _, err := r.writer().Write(incomplete); err != nil {
		return r.clientError(err), false
	}
	return nil, false
}
