package signals

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func sendSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// TestSecondSignalDoesNotEndAShutdown guards against the default action of a repeated SIGTERM, which would end this test.
func TestSecondSignalDoesNotEndAShutdown(t *testing.T) {
	Convey("The first SIGTERM ends the context, and further signals are only delivered", t, func() {
		ctx, cancel := NotifyContext()
		repeated := Repeated()
		sendSelf(t, syscall.SIGTERM)
		<-ctx.Done()
		So(<-repeated, ShouldEqual, syscall.SIGTERM)
		cancel() // the context's own handler is removed now, not at some later time
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
			sendSelf(t, signal)
			So(<-repeated, ShouldEqual, signal)
		}
	})
}

// TestHangupAfterItsReadersContextEnds guards against the default action of SIGHUP during a shutdown, which would end this test.
func TestHangupAfterItsReadersContextEnds(t *testing.T) {
	Convey("A SIGHUP has no effect after the context of Hangups has ended", t, func() {
		_, cancel := NotifyContext()
		defer cancel()
		ctx, stop := context.WithCancel(context.Background())
		hangups := Hangups(ctx)
		sendSelf(t, syscall.SIGHUP)
		So(<-hangups, ShouldEqual, syscall.SIGHUP)
		stop()
		for range 20 {
			sendSelf(t, syscall.SIGHUP)
			time.Sleep(time.Millisecond)
		}
	})
}
