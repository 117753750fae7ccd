package cli

import "stepwick/internal/apierror"

// Exit codes. They follow the advice on retries in the table of codes.
const (
	ExitInternal = 1 // a fault of the program, or an outcome that must be looked up
	ExitUsage    = 2 // a wrong command line or setting
	ExitNo       = 3 // refused; the same again gets the same
	ExitLater    = 4 // not now; try again later
	ExitSame     = 5 // send the same order id again
	ExitMoved    = 6 // another order on the same base won
)

// Exit returns the exit code of a result code.
func Exit(code apierror.Code) int {
	switch code {
	case apierror.OK:
		return 0
	case apierror.BadSetting:
		return ExitUsage
	case apierror.BaseMoved:
		return ExitMoved
	}
	switch code.Info().Retry {
	case apierror.RetryNo:
		return ExitNo
	case apierror.RetryLater:
		return ExitLater
	case apierror.RetrySame:
		return ExitSame
	}
	return ExitInternal
}
