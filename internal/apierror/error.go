package apierror

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a result code. RetryAfter is the time that the client
// should wait before a retry, or zero if none is given.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
}

func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Errorf returns an error with the code and a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter on the error itself and returns it.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From returns the first Error in err's chain, or nil if err is nil. An error
// without one is converted to an Error with the code Internal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return &Error{Code: Internal, Detail: err.Error()}
}
