package cli

import "stepwick/internal/apierror"

// Exit codes of the program. They follow the retry advice of the result codes.
const (
	ExitInternal   = 1 // a fault of the program, or the outcome is unknown and must be looked up
	ExitUsage      = 2 // invalid command line or setting
	ExitRejected   = 3 // rejected; the same request will get the same result
	ExitRetryLater = 4 // temporary error; the request may be sent again later
	ExitRetrySame  = 5 // the order must be sent again with the same id
	ExitConflict   = 6 // another order with the same base was accepted first
)

// ExitCode returns the exit code for a result code, 0 for apierror.OK.
func ExitCode(code apierror.Code) int {
	switch code {
	case apierror.OK:
		return 0
	case apierror.BadSetting:
		return ExitUsage
	case apierror.BaseConflict:
		return ExitConflict
	}
	switch code.Info().Retry {
	case apierror.RetryNo:
		return ExitRejected
	case apierror.RetryLater:
		return ExitRetryLater
	case apierror.RetrySame:
		return ExitRetrySame
	}
	return ExitInternal
}
