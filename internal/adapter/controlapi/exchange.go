package controlapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/events"

	"github.com/pkg/errors"
)

// queueFullRetryAfter is how long a client should wait after a call was rejected
// because too many were in flight.
const queueFullRetryAfter = time.Second

// exchange is one HTTP request, with the results of the checks passed so far.
type exchange struct {
	api                *API
	w                  http.ResponseWriter
	r                  *http.Request
	responseController *http.ResponseController
	call               *Call
	operator           string
	// argument is the one in the call's path or the value of its query parameter.
	argument string
	body     []byte
}

// serve validates the request, cheapest checks first, and runs its handler. It
// returns an error only if the body may be unread; the handler's errors are replies.
func (x *exchange) serve() (reply, *apierror.Error) {
	if x.r.ContentLength != 0 {
		_ = x.responseController.SetReadDeadline(deadlineAfter(x.api.config.BodyTimeout))
	}
	call, argument, apiErr := findCall(x.r.Method, x.r.URL.Path)
	if apiErr != nil {
		if apiErr.Code == apierror.BadMethod {
			x.w.Header().Set("Allow", argument)
		}
		return reply{}, apiErr
	}
	x.call = call
	x.argument = argument
	if apiErr := x.authorize(); apiErr != nil {
		return reply{}, apiErr
	}
	if apiErr := x.parseQuery(); apiErr != nil {
		return reply{}, apiErr
	}
	slots := x.slots()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return reply{}, apierror.Errorf(apierror.QueueFull, "the limit of %d calls in flight is reached", cap(slots)).WithRetryAfter(queueFullRetryAfter)
	}
	if apiErr := x.readBody(); apiErr != nil {
		return reply{}, apiErr
	}
	return call.handle(x), nil
}

// slots returns the semaphore that bounds calls of this kind.
func (x *exchange) slots() chan struct{} {
	if x.call.Body != NoBody {
		return x.api.orderSlots
	}
	return x.api.readSlots
}

// authorize identifies the operator by the request's key. It compares the key with
// those of all operators, in constant time.
func (x *exchange) authorize() *apierror.Error {
	headers := x.r.Header.Values("Authorization")
	key := ""
	isBearer := false
	if len(headers) == 1 {
		key, isBearer = strings.CutPrefix(headers[0], "Bearer ")
	}
	key = strings.TrimSpace(key)
	if !isBearer || key == "" {
		return apierror.Errorf(apierror.MissingKey, "send one Authorization: Bearer OPERATOR-KEY")
	}
	hash := sha256.Sum256([]byte(key))
	for _, operator := range x.api.operators {
		if subtle.ConstantTimeCompare(operator.keyHash[:], hash[:]) == 1 {
			x.operator = operator.name
		}
	}
	if x.operator == "" {
		x.api.log.Emit(events.OperatorRejected, "from", x.r.RemoteAddr, "path", x.call.Path)
		return apierror.Errorf(apierror.OperatorUnknown, "")
	}
	return nil
}

// parseQuery sets the argument from the call's query parameter and rejects all other
// parameters.
func (x *exchange) parseQuery() *apierror.Error {
	for name, values := range x.r.URL.Query() {
		if name != x.call.QueryParameter || len(values) != 1 {
			return apierror.Errorf(apierror.BadField, "query parameter %.40q is unknown or repeated", name)
		}
		x.argument = values[0]
	}
	return nil
}

// readBody reads the body within the call's size limit and the body time-out.
func (x *exchange) readBody() *apierror.Error {
	if x.call.Body == NoBody {
		if x.r.ContentLength != 0 {
			return apierror.Errorf(apierror.BadField, "the call does not accept a body")
		}
		return nil
	}
	maxBytes, tooLarge := x.bodyLimit()
	if x.r.ContentLength > maxBytes {
		return apierror.Errorf(tooLarge, "the body has %d bytes; the limit is %d", x.r.ContentLength, maxBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBytes))
	if err != nil {
		return x.bodyError(err, maxBytes, tooLarge)
	}
	x.body = body
	_ = x.responseController.SetReadDeadline(time.Time{})
	return nil
}

// bodyLimit returns the maximum size of the call's body and the code for a larger
// one.
func (x *exchange) bodyLimit() (maxBytes int64, tooLarge apierror.Code) {
	if x.call.Body == SheetBody {
		return x.api.config.MaxSheetBytes, apierror.SheetTooLarge
	}
	return maxOrderBytes, apierror.BodyTooLarge
}

// bodyError converts an error from reading the body to one with a result code.
func (x *exchange) bodyError(err error, maxBytes int64, tooLarge apierror.Code) *apierror.Error {
	var tooLargeErr *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLargeErr):
		return apierror.Errorf(tooLarge, "the body exceeds the limit of %d bytes", maxBytes)
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive within %s", x.api.config.BodyTimeout)
	}
	return apierror.Errorf(apierror.BadJSON, "the body is incomplete: the connection ended early or the chunked encoding is malformed")
}
