package gateway

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/kernel"
)

type told struct {
	server    string
	reachable bool
	at        time.Duration
}

func TestSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A silent server is told of at once and probed until it is back, which is told too", t, func() {
			ctx, cancel := kernel.WithCancel(kernel.Background())
			begun := time.Now()
			back := begun.Add(1700 * time.Millisecond)
			client := upstream.New(upstream.Config{Dial: func(ctx kernel.Context, _, _ string) (net.Conn, error) {
				if time.Now().Before(back) {
					return nil, errors.New("no answer")
				}
				near, far := net.Pipe()
				kernel.AfterFunc(ctx, func() { _ = far.Close() })
				return near, nil
			}})
			words := make(chan told, 100)
			s := newSuspects(func(_ kernel.Context, server string, reachable bool) {
				words <- told{server, reachable, time.Since(begun)}
			}, kernel.System(), client)
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			s.note(upstream.Server{Name: "s0", Address: "a"}, false)
			So(<-words, ShouldResemble, told{"s0", false, 0})
			for _, after := range []time.Duration{500, 1000, 1500} {
				So(<-words, ShouldResemble, told{"s0", false, after * time.Millisecond})
			}
			So(<-words, ShouldResemble, told{"s0", true, 2 * time.Second})
			<-kernel.System().After(3 * kernel.Second)
			So(len(words), ShouldEqual, 0)
			cancel()
			<-ended
			client.Close()
		})
	})
}
