package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func sendSelf(t *testing.T, sent syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sent); err != nil {
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
		for _, further := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM} {
			sendSelf(t, further)
			So(<-repeated, ShouldEqual, further)
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
		awaitRemoval(t, hangups)
		sendSelf(t, syscall.SIGHUP)
	})
}

// maxRemovalChecks bounds how often awaitRemoval looks for a channel that is still served.
const maxRemovalChecks = 1000

// awaitRemoval waits until SIGHUP is not delivered to hangups any more, and leaves no
// channel registered for it.
func awaitRemoval(t *testing.T, hangups <-chan os.Signal) {
	t.Helper()
	observer := make(chan os.Signal, 1)
	defer signal.Stop(observer)
	for range maxRemovalChecks {
		signal.Notify(observer, syscall.SIGHUP)
		sendSelf(t, syscall.SIGHUP)
		<-observer
		// Notify waits for the delivery in progress, which may not have reached hangups.
		signal.Notify(observer, syscall.SIGHUP)
		select {
		case <-hangups:
		default:
			return
		}
	}
	t.Fatal("SIGHUP is still delivered after the context has ended")
}
