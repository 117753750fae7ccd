package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
)

const (
	// maxBufferedResponse is the number of bytes of a response other than a stream that
	// are read before any of them is relayed, so that an attempt that fails before then
	// can be retried.
	maxBufferedResponse = 1 << 20
	readChunkSize       = 8 << 10
	copyChunkSize       = 16 << 10
)

// relay relays the response to the client. A stream may be continued by responses of
// other servers.
type relay struct {
	request *request
	// ctx ends when the client disconnects or the deadline passes.
	ctx                context.Context
	started            bool   // whether a part of the response was written to the client
	lastEventID        string // id of the last event that was relayed
	clientDisconnected bool
}

// relay relays a server's response. retry reports whether the request can be sent to
// another server if its route allows that.
func (r *relay) relay(response *upstream.Response, attempt *balance.Attempt) (apiErr *apierror.Error, retry bool) {
	succeeded := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	if r.request.route.Kind == sheet.RouteStream && succeeded {
		return r.relayStream(response, attempt)
	}
	if r.started {
		return apierror.Errorf(apierror.StreamAborted, "the server responded with status %d to a request to resume the stream", response.Status), true
	}
	return r.relaySingle(response, attempt)
}

// relaySingle relays a response that is not a stream. A response shorter than
// maxBufferedResponse is relayed only once it is complete.
func (r *relay) relaySingle(response *upstream.Response, attempt *balance.Attempt) (apiErr *apierror.Error, retry bool) {
	body := make([]byte, 0, max(min(response.Length(), maxBufferedResponse), 0))
	body, err := readUpTo(response, body, maxBufferedResponse)
	r.request.gateway.dispatcher.reportResponseStarted(attempt)
	switch {
	case err == io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
		return r.writeCompleteResponse(response, body), false
	case err != nil:
		return r.responseError(err), true
	}
	r.writeHeader(response)
	if _, err := r.writer().Write(body); err != nil {
		return r.clientError(err), false
	}
	if err := r.copyRemainder(response); err != nil {
		return r.responseError(err), false
	}
	return nil, false
}

func (r *relay) writeCompleteResponse(response *upstream.Response, body []byte) *apierror.Error {
	r.copyHeader(response)
	r.writer().Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.writer().WriteHeader(response.Status)
	r.started = true
	if _, err := r.writer().Write(body); err != nil {
		return r.clientError(err)
	}
	return nil
}

// readUpTo appends the reader's bytes to body until body has at least limit bytes or a
// read fails. At the end of the reader it returns io.EOF.
func readUpTo(reader io.Reader, body []byte, limit int) ([]byte, error) {
	var chunk [readChunkSize]byte
	for len(body) < limit {
		count, err := reader.Read(chunk[:])
		body = append(body, chunk[:count]...)
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

func (r *relay) copyRemainder(response *upstream.Response) error {
	var chunk [copyChunkSize]byte
	for {
		count, err := response.Read(chunk[:])
		if count > 0 {
			if _, writeErr := r.writer().Write(chunk[:count]); writeErr != nil {
				return r.clientError(writeErr)
			}
		}
		switch {
		case err == io.EOF: //nolint:errorlint // an io.Reader returns io.EOF itself
			return nil
		case err != nil:
			return err
		}
	}
}

// writeHeader writes the status and header of a response, unless one was started already:
// a resumed stream keeps the header of the first server.
func (r *relay) writeHeader(response *upstream.Response) {
	if r.started {
		return
	}
	r.started = true
	r.copyHeader(response)
	r.writer().WriteHeader(response.Status)
}

func (r *relay) copyHeader(response *upstream.Response) {
	header := r.writer().Header()
	for name, values := range response.Header {
		header[name] = values
	}
	dropHopHeaders(header)
	if r.request.gateway.draining() {
		header.Set("Connection", "close")
	}
	// A nil value prevents net/http from adding a header that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := response.Header[name]; !present {
			header[name] = nil
		}
	}
}

func (r *relay) writer() http.ResponseWriter { return r.request.writer }

// clientError returns the error for a failed write to the client.
func (r *relay) clientError(err error) *apierror.Error {
	r.clientDisconnected = true
	return apierror.Errorf(apierror.CallerDisconnected, "write the response to the client: %s", err)
}

// responseError returns the error for a response that could not be relayed completely.
func (r *relay) responseError(err error) *apierror.Error {
	var apiErr *apierror.Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return r.request.contextError(r.ctx, apierror.Errorf(apierror.BadResponse, "%s", err))
}
