package clientapi

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// budgetedBody reads a body and reserves its bytes in the budget for all bodies.
type budgetedBody struct {
	io.Reader
	exchange *exchange
}

// Read reserves bytes as they arrive, instead of the length that the header declares.
func (b budgetedBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if apiErr := b.exchange.reserve(count); apiErr != nil {
		return 0, apiErr
	}
	return count, err
}

// reserve reserves bytes in the budget for all bodies. ServeHTTP releases them when
// the exchange ends.
func (x *exchange) reserve(bytes int) *apierror.Error {
	if !x.api.bodyBudget.TryReserve(int64(bytes)) {
		return x.errBodiesFull()
	}
	x.reservedBytes += int64(bytes)
	return nil
}

func (x *exchange) errBodiesFull() *apierror.Error {
	return apierror.Errorf(apierror.QueueFull, "the request bodies in memory would exceed the limit of %d bytes", x.limits.MaxBufferedBytes).WithRetryAfter(defaultRetryAfter)
}

// readBody reads the complete body of the request within the limits.
func (x *exchange) readBody() ([]byte, *apierror.Error) {
	body, apiErr := x.readLimitedBody()
	x.bodyRead = apiErr == nil
	return body, apiErr
}

func (x *exchange) readLimitedBody() ([]byte, *apierror.Error) {
	source := x.request.Body
	if source == nil || source == http.NoBody {
		return nil, nil
	}
	if x.request.ContentLength > x.limits.MaxBodyBytes {
		return nil, x.errBodyTooLarge()
	}
	if x.request.ContentLength > x.api.bodyBudget.Available() {
		return nil, x.errBodiesFull()
	}
	limited := http.MaxBytesReader(x.writer, source, x.limits.MaxBodyBytes)
	body, err := io.ReadAll(budgetedBody{Reader: limited, exchange: x})
	if err != nil {
		return nil, x.bodyError(err)
	}
	err = http.NewResponseController(x.writer).SetReadDeadline(time.Time{})
	return body, apierror.From(errors.Wrap(err, "clear the read deadline of the connection"))
}

// bodyError converts an error from reading the body to one with a result code.
func (x *exchange) bodyError(err error) *apierror.Error {
	var apiErr *apierror.Error
	var tooLargeErr *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &tooLargeErr):
		return x.errBodyTooLarge()
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive within %s", x.limits.BodyTimeout)
	}
	return apierror.Errorf(apierror.BadJSON, "the body is incomplete: the connection ended early or the chunked encoding is malformed")
}

func (x *exchange) errBodyTooLarge() *apierror.Error {
	return apierror.Errorf(apierror.BodyTooLarge, "the body exceeds the limit of %d bytes", x.limits.MaxBodyBytes)
}
