package apierror

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a result code. RetryAfter is how long the client
// should wait before it retries; zero where the code's advice is not to.
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

// Errorf returns an error with a code and a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets how long the client should wait and returns the error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// From returns the Error in err's chain. Any other error becomes Internal; nil
// stays nil.
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
