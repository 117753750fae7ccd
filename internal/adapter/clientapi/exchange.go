package clientapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"stepwick/internal/apierror"
)

// Times that a client should wait before a retry: shortRetryAfter if a retry is likely
// to succeed soon, otherwise defaultRetryAfter.
const (
	shortRetryAfter   = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// exchange is one request and its response. Only the request's goroutine uses it.
type exchange struct {
	api           *API
	limits        *Limits // in force when the request arrived
	writer        http.ResponseWriter
	request       *http.Request
	head          Head
	bodyRead      bool    // the complete body has been read
	reservedBytes int64   // in the budget for all bodies
	skipRejected  bool    // the handler knows the outcome, so Rejected is not called
	stream        *Stream // of a prompt; nil until the handler is called
}

// serve checks the request's header and passes the request to its route.
func (x *exchange) serve() *apierror.Error {
	if size := headerSize(x.request); size > x.limits.MaxHeaderBytes {
		return apierror.Errorf(apierror.HeaderTooLarge, "the header has %d bytes; the limit is %d", size, x.limits.MaxHeaderBytes)
	}
	route, apiErr := findRoute(x.request.Method, x.request.URL.Path)
	if apiErr != nil {
		return apiErr
	}
	if !route.NeedsKey {
		x.skipRejected = true
		return route.serve(x)
	}
	select {
	case x.api.requestSlots <- struct{}{}:
		defer func() { <-x.api.requestSlots }()
	default:
		return apierror.Errorf(apierror.QueueFull, "the limit of %d requests in progress is reached", x.limits.MaxRequests).WithRetryAfter(defaultRetryAfter)
	}
	if apiErr = x.parseHead(); apiErr != nil {
		return apiErr
	}
	if apiErr = x.api.handler.Authenticate(&x.head); apiErr != nil {
		return apiErr
	}
	return route.serve(x)
}

// parseHead sets the deadline and the API key of the request from its header.
func (x *exchange) parseHead() *apierror.Error {
	timeout, given, apiErr := x.limits.headerDeadline(x.request.Header)
	if apiErr != nil {
		return apiErr
	}
	x.head.Deadline = x.head.Arrived.Add(timeout)
	x.head.deadlineGiven = given
	if !x.api.clock.Now().Before(x.head.Deadline) {
		return apierror.Errorf(apierror.DeadlineExceeded, "the deadline passed while the process was paused").WithRetryAfter(shortRetryAfter)
	}
	x.head.Key, apiErr = bearerKey(x.request.Header)
	return apiErr
}

// reject responds with an error, as the last event if a stream has begun.
func (x *exchange) reject(apiErr *apierror.Error) {
	if !x.skipRejected {
		x.api.handler.Rejected(apiErr)
	}
	if x.stream != nil && x.stream.begun {
		x.stream.abort(apiErr)
	}
	// An unread body would be parsed as the connection's next request.
	if !x.bodyRead && x.request.ContentLength != 0 || apiErr.Code == apierror.FrontDraining {
		x.writer.Header().Set("Connection", "close")
	}
	x.writer.Header().Set(HeaderCode, strconv.FormatUint(uint64(apiErr.Code), 10))
	x.setWriteDeadline()
	apierror.WriteError(x.writer, apiErr, x.head.ID)
}

// setWriteDeadline bounds the time in which the client must receive the response.
func (x *exchange) setWriteDeadline() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(deadlineAfter(x.limits.WriteTimeout))
}

// context returns the request's context with a deadline on the API's clock.
func (x *exchange) context(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.request.Context(), deadline.Sub(x.api.clock.Now()))
}

// recoverPanic must be deferred. It responds to a panic with an error. The panic that
// aborts a stream is raised again for net/http, which closes the connection.
func (x *exchange) recoverPanic() {
	panicked := recover()
	if panicked == nil {
		return
	}
	if panicked == http.ErrAbortHandler { //nolint:errorlint // net/http also compares the panic's value by identity
		panic(panicked)
	}
	x.api.handler.Panicked(x.head.ID, panicked)
	x.reject(apierror.Errorf(apierror.Internal, "see the log event of request %s", x.head.ID))
}
