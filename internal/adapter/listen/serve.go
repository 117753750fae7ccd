package listen

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Serve serves the connections of a listener until the context ends. It then closes the
// listener and the idle connections, waits up to timeout for the responses in progress to
// be written, closes the remaining connections and returns the context's error. If the
// server fails earlier, Serve returns its error.
func Serve(ctx context.Context, server *http.Server, listener net.Listener, timeout time.Duration) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		_ = server.Close()
	})
	err := server.Serve(listener)
	if !stop() {
		<-closed
		return ctx.Err()
	}
	return err
}
