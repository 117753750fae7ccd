package upstream

import (
	"context"
	"syscall"

	"github.com/pkg/errors"
)

// FailureKind is why an attempt got no complete response. Its values are values of
// metric labels.
type FailureKind string

// Kinds of failures.
const (
	Refused      FailureKind = "refused"   // the connection was refused; nothing was sent
	NotSent      FailureKind = "unsent"    // the connection had ended; nothing was sent
	Cancelled    FailureKind = "withdrawn" // the caller's context ended
	Lost         FailureKind = "lost"      // the connection ended without a response
	Malformed    FailureKind = "garbled"   // what arrived is no response, or another request's
	Truncated    FailureKind = "cut"       // the response's body ended early
	Unresponsive FailureKind = "silent"    // the server's machine acknowledges nothing
)

var (
	errStray           = errors.New("an answer that belongs to no request in flight")
	errNoResponse      = errors.New("the connection ended before an answer")
	errConnectionEnded = errors.New("the connection has ended")
)

// Failure is the error of an attempt without a complete response.
type Failure struct {
	Kind FailureKind
	// Sent reports whether the server may have received a part of the request.
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

// failureAfterSend returns the failure of an attempt of which something was written.
// An ended context and a machine that does not acknowledge take precedence over
// kind.
func failureAfterSend(ctx context.Context, kind FailureKind, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: Cancelled, Sent: true, Cause: ctx.Err()}
	case isUnacknowledged(err):
		kind = Unresponsive
	}
	return &Failure{Kind: kind, Sent: true, Cause: err}
}

// isUnacknowledged reports whether a connection failed since the other machine did
// not acknowledge what was sent, or keep-alive probes.
func isUnacknowledged(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
