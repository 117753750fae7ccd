package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
)

// bodiesFullRetryAfter is the Retry-After of a request for whose body there is no
// memory.
const bodiesFullRetryAfter = time.Second

// readBody reads the request's body into memory.
func (q *request) readBody() *apierror.Error {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := q.maxBodyBytes()
	if q.http.ContentLength > limit {
		return apierror.Errorf(apierror.BodyTooLarge, "%d bytes of at most %d", q.http.ContentLength, limit)
	}
	controller := http.NewResponseController(q.writer)
	_ = controller.SetReadDeadline(q.gateway.clock.Now().Add(q.gateway.config.BodyTimeout))
	body, apiErr := q.readWithin(limit)
	if apiErr != nil {
		return apiErr
	}
	_ = controller.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// maxBodyBytes returns the limit of the configuration in force, else the gateway's.
func (q *request) maxBodyBytes() int64 {
	if limits := q.index.Sheet().Limits; limits != nil && limits.BodyBytes > 0 {
		return int64(limits.BodyBytes)
	}
	return q.gateway.config.MaxBodyBytes
}

// readWithin reads a body of at most limit bytes and takes them from the gateway's
// budget of buffered bodies.
func (q *request) readWithin(limit int64) ([]byte, *apierror.Error) {
	if q.http.ContentLength > 0 {
		return q.readKnownLength()
	}
	// As at a body of known length, a full budget refuses the request unread.
	if !q.reserveBuffer(0) {
		return nil, bodiesFull()
	}
	var body []byte
	var chunk [readChunkSize]byte
	for {
		count, err := q.http.Body.Read(chunk[:])
		body = append(body, chunk[:count]...)
		switch {
		case int64(len(body)) > limit:
			return nil, apierror.Errorf(apierror.BodyTooLarge, "more than %d bytes", limit)
		case !q.reserveBuffer(int64(count)):
			return nil, bodiesFull()
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, q.bodyError(err)
		}
	}
}

func (q *request) readKnownLength() ([]byte, *apierror.Error) {
	if !q.reserveBuffer(q.http.ContentLength) {
		return nil, bodiesFull()
	}
	body := make([]byte, q.http.ContentLength)
	if _, err := io.ReadFull(q.http.Body, body); err != nil {
		return nil, q.bodyError(err)
	}
	return body, nil
}

// reserveBuffer takes bytes from the gateway's budget until the request ends; it
// returns false when the budget is exhausted.
func (q *request) reserveBuffer(bytes int64) bool {
	if !q.gateway.bodies.TryReserve(bytes) {
		return false
	}
	q.bufferedBytes += bytes
	return true
}

func bodiesFull() *apierror.Error {
	return apierror.Errorf(apierror.QueueFull, "the bodies that the node holds are at their bound").WithRetryAfter(bodiesFullRetryAfter)
}

// bodyError returns the error for a body that could not be read.
func (q *request) bodyError(err error) *apierror.Error {
	if q.http.Context().Err() != nil {
		return apierror.Errorf(apierror.CallerGone, "%v", err)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive in time")
	}
	return apierror.Errorf(apierror.BadField, "the body is malformed")
}
