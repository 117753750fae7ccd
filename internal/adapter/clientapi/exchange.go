package clientapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"stepwick/internal/apierror"
)

// shortRetryAfter is the time after which a caller may retry where a retry may
// succeed soon, and defaultRetryAfter elsewhere.
const (
	shortRetryAfter   = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)

// exchange is one request and its answer. It belongs to the request's goroutine.
type exchange struct {
	api           *API
	limits        *Limits // as they were when the request arrived
	writer        http.ResponseWriter
	request       *http.Request
	head          Head
	bodyRead      bool    // the complete body has been read
	reservedBytes int64   // of the budget of all bodies
	accepted      bool    // the handler counts the request, so the API does not
	stream        *Stream // of a prompt; nil until the handler has it
}

// serve checks the request's header and then serves it by its route.
func (x *exchange) serve() *apierror.Error {
	if size := headerSize(x.request); size > x.limits.HeaderMax {
		return apierror.Errorf(apierror.HeaderTooLarge, "the header has %d bytes of at most %d", size, x.limits.HeaderMax)
	}
	route, apiErr := findRoute(x.request.Method, x.request.URL.Path)
	if apiErr != nil {
		return apiErr
	}
	if !route.NeedsKey {
		x.accepted = true
		return route.serve(x)
	}
	select {
	case x.api.requestSlots <- struct{}{}:
		defer func() { <-x.api.requestSlots }()
	default:
		return apierror.Errorf(apierror.QueueFull, "the node serves %d requests", x.limits.Requests).WithRetryAfter(defaultRetryAfter)
	}
	if apiErr = x.parseHead(); apiErr != nil {
		return apiErr
	}
	if apiErr = x.api.handler.Authenticate(&x.head); apiErr != nil {
		return apiErr
	}
	return route.serve(x)
}

// parseHead sets the deadline and the API key of the request.
func (x *exchange) parseHead() *apierror.Error {
	timeout, given, apiErr := x.limits.headerDeadline(x.request.Header)
	if apiErr != nil {
		return apiErr
	}
	x.head.Deadline = x.head.Arrived.Add(timeout)
	x.head.deadlineGiven = given
	if !x.api.clock.Now().Before(x.head.Deadline) {
		return apierror.Errorf(apierror.DeadlinePassed, "the deadline passed while the node stood still").WithRetryAfter(shortRetryAfter)
	}
	x.head.Key, apiErr = bearerKey(x.request.Header)
	return apiErr
}

// reject answers with an error, as the last event of a stream that has begun.
func (x *exchange) reject(apiErr *apierror.Error) {
	if !x.accepted {
		x.api.handler.Rejected(apiErr)
	}
	if x.stream != nil && x.stream.begun {
		x.stream.abort(apiErr)
	}
	// An unread body would be taken for the next request of the connection.
	if !x.bodyRead && x.request.ContentLength != 0 || apiErr.Code == apierror.FrontLeaving {
		x.writer.Header().Set("Connection", "close")
	}
	x.writer.Header().Set(HeaderCode, strconv.FormatUint(uint64(apiErr.Code), 10))
	x.limitWrite()
	apierror.WriteError(x.writer, apiErr, x.head.ID)
}

// limitWrite bounds the time in which the caller must receive the answer.
func (x *exchange) limitWrite() {
	_ = http.NewResponseController(x.writer).SetWriteDeadline(deadlineAfter(x.limits.WriteTimeout))
}

// context returns the request's context with a deadline by the node's clock.
func (x *exchange) context(deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.request.Context(), deadline.Sub(x.api.clock.Now()))
}

// recoverPanic is to be deferred. It answers a panic with an error; the panic that
// aborts a stream is passed on to net/http, which closes the connection.
func (x *exchange) recoverPanic() {
	panicked := recover()
	if panicked == nil {
		return
	}
	if panicked == http.ErrAbortHandler { //nolint:errorlint // net/http compares the value of the panic by identity, too
		panic(panicked)
	}
	x.api.handler.Panicked(x.head.ID, panicked)
	x.reject(apierror.Errorf(apierror.Internal, "see the log event of request %s", x.head.ID))
}
