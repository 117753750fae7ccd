package backend

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
)

// FailureKind is what became of an attempt that gave no complete answer. Its text
// is shown to operators.
type FailureKind string

// Kinds of failures.
const (
	// Nothing was written, and nothing will be.
	NotSent             FailureKind = "unsent"
	ConnectionRefused   FailureKind = "refused"   // the server refused the connection
	SendForbidden       FailureKind = "barred"    // Attempt.Allow or the deadline forbade it
	CancelledBeforeSend FailureKind = "withdrawn" // by the caller or the front

	// The request was written.
	ServerBusy        FailureKind = "busy"    // the server answered that it did not start
	TimedOut          FailureKind = "dark"    // the server did not respond in time
	ServerFailed      FailureKind = "broken"  // the connection ended early, or the status is an error
	Incomplete        FailureKind = "short"   // the answer's body is not complete
	ProtocolViolation FailureKind = "crossed" // the answer is another request's or breaks the protocol
	EventsOutOfOrder  FailureKind = "amiss"   // an event is missing or repeated, or the count is wrong
	Cancelled         FailureKind = "gone"    // by the caller or the front
)

// Failure is the error of an attempt that gave no complete answer.
type Failure struct {
	Kind   FailureKind
	Detail string
	Cause  *apierror.Error // why sending was forbidden; nil for other kinds
}

// Error returns the kind and the detail.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Detail }

// NotSent reports whether the server has received nothing of the request and never
// will.
func (f *Failure) NotSent() bool {
	switch f.Kind {
	case NotSent, ConnectionRefused, SendForbidden, CancelledBeforeSend:
		return true
	}
	return false
}

// failure converts an error of the transport to a Failure. It first prevents the
// request from being sent, so that what it reports as not sent stays so.
func (g *sendGuard) failure(ctx context.Context, err error) *Failure {
	if !g.prevent() {
		if ctx.Err() != nil {
			return &Failure{Kind: Cancelled, Detail: failureDetail(ctx, err)}
		}
		return &Failure{Kind: ServerFailed, Detail: failureDetail(ctx, err)}
	}
	if apiErr := g.rejection.Load(); apiErr != nil {
		return &Failure{Kind: SendForbidden, Detail: apiErr.Detail, Cause: apiErr}
	}
	if ctx.Err() != nil {
		return &Failure{Kind: CancelledBeforeSend, Detail: failureDetail(ctx, err)}
	}
	if isConnectionRefused(err) {
		return &Failure{Kind: ConnectionRefused, Detail: "the server refused the connection"}
	}
	return &Failure{Kind: NotSent, Detail: failureDetail(ctx, err)}
}

func failureDetail(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed"
	case ctx.Err() != nil:
		return "given up"
	}
	return err.Error()
}

func isConnectionRefused(err error) bool {
	return port.IsConnectionRefused(errors.Cause(err)) || port.IsConnectionRefused(err)
}
