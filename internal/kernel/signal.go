package kernel

import (
	"context"
	"os/signal"
	"syscall"
)

// Signalled returns a context that ends at the first SIGTERM or SIGINT. A
// second one ends the process at once.
func Signalled() (Context, Cancel) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, cancel)
	return ctx, cancel
}
