package events

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"stepwick/internal/clock"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
)

func TestCatalogueIsUniqueAndComplete(t *testing.T) {
	Convey("Each event has a unique number and name, a valid level and a help text; each error also has an action", t, func() {
		numbers, names := map[int]bool{}, map[string]bool{}
		for _, e := range Catalogue() {
			So(numbers[e.Number], ShouldBeFalse)
			So(names[e.Name], ShouldBeFalse)
			numbers[e.Number], names[e.Name] = true, true
			So(e.Help, ShouldEndWith, ".")
			_, ok := severities[e.Level]
			So(ok, ShouldBeTrue)
			if e.Level == Error {
				So(e.Action, ShouldNotBeBlank)
			}
		}
	})
}

func TestAsyncLogBoundsEventsAndNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		asyncLog := NewAsyncLog(log.NewLogfmtLogger(&out), clock.System())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- asyncLog.Serve(ctx) }()

		for range 100 {
			asyncLog.Emit(PeerUnresponsive, "peer", "n4")
		}
		asyncLog.Emit(PeerRecovered, "peer", "n4")
		asyncLog.Emit(PeerUnresponsive, "peer", "n5")
		asyncLog.Emit(RequestRejected, "code", 2001)
		<-time.After(1100 * time.Millisecond)
		synctest.Wait()
		firstOutput := out.String()
		for range 100 {
			asyncLog.Emit(PeerUnresponsive, "peer", "n4")
		}
		cancel()
		err := <-done

		Convey("A burst is limited, suppressed events are counted once, and the bucket refills", t, func() {
			So(err, ShouldBeNil)
			So(strings.Count(firstOutput, "event_name=peer_silent"), ShouldEqual, Burst)
			So(firstOutput, ShouldContainSubstring, "event_name=peer_back peer=n4")
			So(firstOutput, ShouldNotContainSubstring, "request_refused")
			So(firstOutput, ShouldContainSubstring, "event_name=events_suppressed of=2012 of_name=peer_silent count=81")
			rest := strings.TrimPrefix(out.String(), firstOutput)
			So(strings.Count(rest, "event_name=peer_silent"), ShouldEqual, RefillPerSecond)
			So(rest, ShouldContainSubstring, "count=95")
		})
	})
	Convey("Emit never blocks, and events dropped because the queue is full are counted", t, func() {
		var out bytes.Buffer
		asyncLog := NewAsyncLog(log.NewLogfmtLogger(&out), clock.System())
		for range queueCapacity + 7 {
			asyncLog.Emit(PeerUnresponsive)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(asyncLog.Serve(ctx), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "of_name=any count=7")
	})
}
