package kernel

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signalled returns a context that ends at the first SIGTERM or SIGINT. A
// second one ends the process at once. SIGHUP ends nothing; see Hangups.
func Signalled() (Context, Cancel) {
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}

// Hangups returns a channel that gets a value at each SIGHUP until the context
// ends. Signals that come before the last was taken are one.
func Hangups(ctx Context) <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	context.AfterFunc(ctx, func() { signal.Stop(hangups) })
	return hangups
}
