// Package signals translates the operating system's signals into contexts and
// channels.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// NotifyContext returns a context that ends at the first SIGTERM or SIGINT. A
// second one ends the process at once. SIGHUP ends nothing; see Hangups.
func NotifyContext() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	// Once the context has ended the default action of the signals is restored,
	// so that a second signal terminates the process.
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// Hangups returns a channel that receives a value at each SIGHUP until the
// context ends. Signals that arrive before the last one was taken are merged.
func Hangups(ctx context.Context) <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	context.AfterFunc(ctx, func() { signal.Stop(hangups) })
	return hangups
}
