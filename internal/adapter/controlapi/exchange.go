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

// queueFullRetryAfter is when a call that finds no free slot should be retried.
const queueFullRetryAfter = time.Second

// exchange is one HTTP request and what is known of it so far.
type exchange struct {
	api      *API
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	call     *Call
	operator string
	// argument is the name in the call's path or the value of its query.
	argument string
	body     []byte
}

// serve checks the request, cheapest checks first, and runs its handler. An
// error is returned only where the body may be unread.
func (x *exchange) serve() (reply, *apierror.Error) {
	if x.r.ContentLength != 0 {
		_ = x.control.SetReadDeadline(deadlineIn(x.api.config.BodyTimeout))
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
		return reply{}, apierror.Errorf(apierror.QueueFull, "%d calls are under way", cap(slots)).WithRetryAfter(queueFullRetryAfter)
	}
	if apiErr := x.readBody(); apiErr != nil {
		return reply{}, apiErr
	}
	return call.handle(x), nil
}

func (x *exchange) slots() chan struct{} {
	if x.call.Body != NoBody {
		return x.api.orderSlots
	}
	return x.api.readSlots
}

// authorize finds the operator by the request's key. The key is compared with
// every operator's, in constant time.
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

// parseQuery takes the call's parameter from the query, which may have no
// others.
func (x *exchange) parseQuery() *apierror.Error {
	for name, values := range x.r.URL.Query() {
		if name != x.call.Query || len(values) != 1 {
			return apierror.Errorf(apierror.BadField, "the query's %.40q is unknown or given twice", name)
		}
		x.argument = values[0]
	}
	return nil
}

// readBody reads the body, within the call's bounds on size and time.
func (x *exchange) readBody() *apierror.Error {
	if x.call.Body == NoBody {
		if x.r.ContentLength != 0 {
			return apierror.Errorf(apierror.BadField, "the call takes no body")
		}
		return nil
	}
	maxBytes, tooLarge := x.bodyLimit()
	if x.r.ContentLength > maxBytes {
		return apierror.Errorf(tooLarge, "%d bytes; the bound is %d", x.r.ContentLength, maxBytes)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, maxBytes))
	if err != nil {
		return x.bodyError(err, maxBytes, tooLarge)
	}
	x.body = body
	_ = x.control.SetReadDeadline(time.Time{})
	return nil
}

// bodyLimit returns the most bytes of the call's body and the code for more.
func (x *exchange) bodyLimit() (maxBytes int64, tooLarge apierror.Code) {
	if x.call.Body == SheetBody {
		return x.api.config.MaxSheetBytes, apierror.SheetTooLarge
	}
	return maxOrderBytes, apierror.BodyTooLarge
}

// bodyError returns the error for a body that couldn't be read.
func (x *exchange) bodyError(err error, maxBytes int64, tooLarge apierror.Code) *apierror.Error {
	var exceeded *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &exceeded):
		return apierror.Errorf(tooLarge, "the bound is %d bytes", maxBytes)
	case errors.As(err, &network) && network.Timeout():
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive within %s", x.api.config.BodyTimeout)
	}
	return apierror.Errorf(apierror.BadJSON, "the body is not whole")
}
