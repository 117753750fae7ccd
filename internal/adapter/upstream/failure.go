package upstream

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// FailureKind classifies an attempt that did not yield a complete response. Its
// values are used as metric labels.
type FailureKind string

// Kinds of failures.
const (
	Refused      FailureKind = "refused"   // the connection was refused; nothing was sent
	NotSent      FailureKind = "unsent"    // the pooled connection had ended; nothing was sent
	Cancelled    FailureKind = "withdrawn" // the caller's context ended
	Lost         FailureKind = "lost"      // the connection ended without a response
	Malformed    FailureKind = "garbled"   // the received bytes are not a response, or one to another request
	Truncated    FailureKind = "cut"       // the response body ended early
	Unresponsive FailureKind = "silent"    // the server's machine acknowledges no packets, or the dial failed other than by refusal
)

var (
	errUnmatchedResponse = errors.New("response does not belong to the request in flight")
	errNoResponse        = errors.New("connection ended before a response arrived")
	errConnectionEnded   = errors.New("idle connection had ended before the request was written")
)

// Failure is the error of an attempt that did not yield a complete response.
type Failure struct {
	Kind FailureKind
	// Sent is true if the server may have received any part of the request.
	Sent  bool
	Cause error
}

// Error returns the kind and the cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return string(f.Kind)
	}
	return string(f.Kind) + ": " + f.Cause.Error()
}

// failureAfterSend returns the failure of an attempt whose request was at least partly
// written. An ended context and a machine that does not acknowledge packets take
// precedence over kind.
func failureAfterSend(ctx context.Context, kind FailureKind, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: Cancelled, Sent: true, Cause: ctx.Err()}
	case isUnacknowledged(err):
		kind = Unresponsive
	}
	return &Failure{Kind: kind, Sent: true, Cause: err}
}

// isUnacknowledged reports whether a connection failed because the peer machine
// acknowledged neither the data sent nor keep-alive probes.
func isUnacknowledged(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
