package compat

import (
	"context"
	"io"
	"time"

	"github.com/go-kit/log"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
)

// logEvents logs one event once and another more often than its rate limit allows.
// It must run in a synctest bubble.
func logEvents(out io.Writer) {
	stream := events.NewAsyncLog(log.NewLogfmtLogger(out), clock.System())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = stream.Serve(ctx)
	}()
	stream.Emit(events.OrderChosen, "order", "first", "epoch", 7, "code", apierror.BaseConflict, "took", 1500*time.Millisecond, "text", `two "words"`)
	for range 30 {
		stream.Emit(events.PeerUnresponsive, "peer", "n2")
	}
	<-time.After(5 * time.Second)
	cancel()
	<-done
}
