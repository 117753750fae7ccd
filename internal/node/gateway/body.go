package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// bodyBudgetRetryAfter is the Retry-After of a request whose body exceeds the budget of
// buffered bodies.
const bodyBudgetRetryAfter = time.Second

// readBody reads the request's body into memory.
func (q *request) readBody() *apierror.Error {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := q.maxBodyBytes()
	if q.http.ContentLength > limit {
		return apierror.Errorf(apierror.BodyTooLarge, "the request body has %d bytes; the limit is %d bytes", q.http.ContentLength, limit)
	}
	controller := http.NewResponseController(q.writer)
	_ = controller.SetReadDeadline(q.gateway.clock.Now().Add(q.gateway.config.BodyTimeout))
	body, apiErr := q.readLimitedBody(limit)
	if apiErr != nil {
		return apiErr
	}
	_ = controller.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// maxBodyBytes returns the limit of the configuration in force or, if it has none, the
// gateway's.
func (q *request) maxBodyBytes() int64 {
	if limits := q.index.Sheet().Limits; limits != nil && limits.BodyBytes > 0 {
		return int64(limits.BodyBytes)
	}
	return q.gateway.config.MaxBodyBytes
}

// readLimitedBody reads a body of at most limit bytes and reserves them in the gateway's
// budget of buffered bodies.
func (q *request) readLimitedBody(limit int64) ([]byte, *apierror.Error) {
	if q.http.ContentLength > 0 {
		return q.readBodyOfKnownLength()
	}
	// As for a body of known length, the request is rejected before its body is read if
	// the budget is exhausted.
	if !q.reserveBuffer(0) {
		return nil, bodyBudgetExhausted()
	}
	var body []byte
	var chunk [readChunkSize]byte
	for {
		count, err := q.http.Body.Read(chunk[:])
		body = append(body, chunk[:count]...)
		switch {
		case int64(len(body)) > limit:
			return nil, apierror.Errorf(apierror.BodyTooLarge, "the request body exceeds the limit of %d bytes", limit)
		case !q.reserveBuffer(int64(count)):
			return nil, bodyBudgetExhausted()
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, q.bodyError(err)
		}
	}
}

func (q *request) readBodyOfKnownLength() ([]byte, *apierror.Error) {
	if !q.reserveBuffer(q.http.ContentLength) {
		return nil, bodyBudgetExhausted()
	}
	body := make([]byte, q.http.ContentLength)
	if _, err := io.ReadFull(q.http.Body, body); err != nil {
		return nil, q.bodyError(err)
	}
	return body, nil
}

// reserveBuffer reserves bytes in the gateway's budget until the request ends. It returns
// false if the budget is exhausted.
func (q *request) reserveBuffer(bytes int64) bool {
	if !q.gateway.bodyBudget.TryReserve(bytes) {
		return false
	}
	q.bufferedBytes += bytes
	return true
}

func bodyBudgetExhausted() *apierror.Error {
	return apierror.Errorf(apierror.QueueFull, "the request bodies buffered by the node have reached their limit").WithRetryAfter(bodyBudgetRetryAfter)
}

// bodyError returns the error for a body that could not be read.
func (q *request) bodyError(err error) *apierror.Error {
	if q.clientDisconnected() {
		return apierror.Errorf(apierror.CallerDisconnected, "%v", err)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return apierror.Errorf(apierror.SlowBody, "the request body did not arrive within %v", q.gateway.config.BodyTimeout)
	}
	return apierror.Errorf(apierror.BadField, "read the request body: %v", err)
}
