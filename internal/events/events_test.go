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

func TestCatalogue(t *testing.T) {
	Convey("Every event has its own number and name, a level and a help; alarms say what they ask", t, func() {
		numbers, names := map[int]bool{}, map[string]bool{}
		for _, e := range Catalogue() {
			So(numbers[e.Number], ShouldBeFalse)
			So(names[e.Name], ShouldBeFalse)
			numbers[e.Number], names[e.Name] = true, true
			So(e.Help, ShouldEndWith, ".")
			_, ok := ranks[e.Level]
			So(ok, ShouldBeTrue)
			if e.Level == Error {
				So(e.Ask, ShouldNotBeBlank)
			}
		}
	})
}

func TestStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		stream := New(log.NewLogfmtLogger(&out), clock.System())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- stream.Serve(ctx) }()

		for range 100 {
			stream.Emit(PeerSilent, "peer", "n4")
		}
		stream.Emit(PeerBack, "peer", "n4")
		stream.Emit(PeerSilent, "peer", "n5")
		stream.Emit(RequestRefused, "code", 2001)
		<-time.After(1100 * time.Millisecond)
		synctest.Wait()
		atOnce := out.String()
		for range 100 {
			stream.Emit(PeerSilent, "peer", "n4")
		}
		cancel()
		err := <-done

		Convey("A burst is bounded, what is left out is counted once, and the bound refills", t, func() {
			So(err, ShouldBeNil)
			So(strings.Count(atOnce, "event_name=peer_silent"), ShouldEqual, Burst)
			So(atOnce, ShouldContainSubstring, "event_name=peer_back peer=n4")
			So(atOnce, ShouldNotContainSubstring, "request_refused")
			So(atOnce, ShouldContainSubstring, "event_name=events_suppressed of=2012 of_name=peer_silent count=81")
			rest := strings.TrimPrefix(out.String(), atOnce)
			So(strings.Count(rest, "event_name=peer_silent"), ShouldEqual, PerSec)
			So(rest, ShouldContainSubstring, "count=95")
		})
	})
	Convey("Emit never blocks, and what found no room is counted", t, func() {
		var out bytes.Buffer
		stream := New(log.NewLogfmtLogger(&out), clock.System())
		for range backlog + 7 {
			stream.Emit(PeerSilent)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(stream.Serve(ctx), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "of_name=any count=7")
	})
}
