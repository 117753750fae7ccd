// Package signals translates operating system signals into contexts and channels.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// NotifyContext returns a context that is cancelled by the first SIGTERM or SIGINT. A
// second one terminates the process immediately. SIGHUP is ignored; see Hangups.
func NotifyContext() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// After the first signal, restore the default action, so that a second signal
	// terminates the process.
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// Hangups returns a channel that delivers a value for each SIGHUP until the context
// ends. Signals that arrive while one is pending on the channel are merged with it.
func Hangups(ctx context.Context) <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	context.AfterFunc(ctx, func() { signal.Stop(hangups) })
	return hangups
}
