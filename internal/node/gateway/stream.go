package gateway

import (
	"io"
	"net/http"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
)

// relayStream relays events as they arrive. Only complete events are relayed, so
// that another server can resume the stream after the last of them.
func (p *relay) relayStream(response *upstream.Response, attempt *balance.Attempt) (apiErr *apierror.Error, retry bool) {
	var events eventSplitter
	var chunk [readChunkSize]byte
	controller := http.NewResponseController(p.writer())
	stall := p.request.startStallTimer(p.request.executions, response.Abort)
	defer stall.Stop()
	for first := true; ; {
		count, err := response.Read(chunk[:])
		if count > 0 {
			stall.Reset(p.request.stallTimeout(p.request.executions))
			if first {
				p.request.gateway.dispatcher.responseStarted(attempt)
				first = false
			}
			if apiErr := p.relayEvents(response, &events, chunk[:count], controller); apiErr != nil {
				return apiErr, false
			}
		}
		if err != nil {
			return p.endStream(response, events.incomplete(), err)
		}
	}
}

func (p *relay) relayEvents(response *upstream.Response, events *eventSplitter, data []byte, controller *http.ResponseController) *apierror.Error {
	complete := events.add(data)
	if len(complete) == 0 {
		return nil
	}
	p.writeHeader(response)
	if _, err := p.writer().Write(complete); err != nil {
		return p.clientError(err)
	}
	if err := controller.Flush(); err != nil {
		return p.clientError(err)
	}
	if events.lastID != "" {
		p.lastEventID = events.lastID
	}
	return nil
}

// endStream decides on a stream whose body ended with err. Bytes after the last
// complete event are relayed where the response's framing shows that its body is
// complete.
func (p *relay) endStream(response *upstream.Response, incomplete []byte, err error) (apiErr *apierror.Error, retry bool) {
	switch {
	case err != io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
		return p.responseError(err), true
	case !response.HasFraming() && len(incomplete) > 0:
		return apierror.Errorf(apierror.StreamCut, "the stream ended inside an event"), true
	}
	p.writeHeader(response)
	if _, err := p.writer().Write(incomplete); err != nil {
		return p.clientError(err), false
	}
	return nil, false
}
