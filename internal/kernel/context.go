package kernel

import "context"

type (
	// Context is the standard library's context.
	Context = context.Context
	// Cancel ends a context.
	Cancel = context.CancelFunc
)

// Background returns the root context.
func Background() Context { return context.Background() }

// WithCancel returns a context that ends when cancel is called.
func WithCancel(ctx Context) (Context, Cancel) { return context.WithCancel(ctx) }

// WithTimeout returns a context that ends after d.
func WithTimeout(ctx Context, d Duration) (Context, Cancel) { return context.WithTimeout(ctx, d) }

// WithDeadline returns a context that ends at t.
func WithDeadline(ctx Context, t Time) (Context, Cancel) { return context.WithDeadline(ctx, t) }

// WithValue returns a context that carries a value.
func WithValue(ctx Context, key, value any) Context { return context.WithValue(ctx, key, value) }

// AfterFunc runs f once the context has ended; stop undoes it.
func AfterFunc(ctx Context, f func()) (stop func() bool) { return context.AfterFunc(ctx, f) }

// Errors that an ended context gives.
var (
	Canceled         = context.Canceled
	DeadlineExceeded = context.DeadlineExceeded
)
