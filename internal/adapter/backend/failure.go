package backend

import (
	"context"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
)

// FailureKind classifies an attempt that did not yield a complete response. Its
// text is shown to operators.
type FailureKind string

// Kinds of failures.
const (
	// No part of the request has been or will be written.
	NotSent             FailureKind = "unsent"
	ConnectionRefused   FailureKind = "refused"   // the server refused the connection
	SendForbidden       FailureKind = "barred"    // by Attempt.Allow or because the deadline had passed
	CancelledBeforeSend FailureKind = "withdrawn" // by the caller or the front

	// The request was at least partly written.
	ServerBusy        FailureKind = "busy"    // the server reported that it did not start the request
	TimedOut          FailureKind = "dark"    // the server did not send data within its timeout
	ServerFailed      FailureKind = "broken"  // the connection ended early, or the status reports an error
	Incomplete        FailureKind = "short"   // the response body is incomplete
	ProtocolViolation FailureKind = "crossed" // the response belongs to another request or violates the protocol
	EventsOutOfOrder  FailureKind = "amiss"   // an event is missing or repeated, or the final count is wrong
	Cancelled         FailureKind = "gone"    // by the caller or the front
)

// Failure is the error of an attempt that did not yield a complete response.
type Failure struct {
	Kind   FailureKind
	Detail string
	Cause  *apierror.Error // the error that forbade sending; nil unless Kind is SendForbidden
}

// Error returns the kind and the detail.
func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Detail }

// NotSent reports whether no part of the request has reached or will reach the
// server.
func (f *Failure) NotSent() bool {
	switch f.Kind {
	case NotSent, ConnectionRefused, SendForbidden, CancelledBeforeSend:
		return true
	}
	return false
}

// failure converts a transport error to a Failure. It first prevents any later
// write, so that a request reported as not sent stays unsent.
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
		return &Failure{Kind: ConnectionRefused, Detail: "server refused the connection"}
	}
	return &Failure{Kind: NotSent, Detail: failureDetail(ctx, err)}
}

func failureDetail(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline passed"
	case ctx.Err() != nil:
		return "request cancelled"
	}
	return err.Error()
}

func isConnectionRefused(err error) bool {
	return port.IsConnectionRefused(errors.Cause(err)) || port.IsConnectionRefused(err)
}
