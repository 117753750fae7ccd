// Package signals translates operating system signals into contexts and channels.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// NotifyContext returns a context that is cancelled by the first SIGTERM or SIGINT. A
// second one terminates the process immediately, unless Repeated was called. SIGHUP is
// ignored; see Hangups.
func NotifyContext() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// After the first signal, restore the default action, so that a second signal
	// terminates the process.
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// Repeated keeps SIGTERM and SIGINT from terminating the process from now on, so that a
// second signal does not cut short a shutdown that the first one began. It returns a
// channel that delivers each signal; signals that arrive while one is pending on the
// channel are merged with it.
func Repeated() <-chan os.Signal {
	repeated := make(chan os.Signal, 1)
	signal.Notify(repeated, syscall.SIGTERM, syscall.SIGINT)
	return repeated
}

// Hangups returns a channel that delivers a value for each SIGHUP until the context
// ends. Signals that arrive while one is pending on the channel are merged with it.
func Hangups(ctx context.Context) <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	context.AfterFunc(ctx, func() { signal.Stop(hangups) })
	return hangups
}
