package gateway

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/clock"
)

type told struct {
	server    string
	reachable bool
	at        time.Duration
}

func TestSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A silent server is told of at once and probed until it is back, which is told too", t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			begun := time.Now()
			back := begun.Add(1700 * time.Millisecond)
			client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				if time.Now().Before(back) {
					return nil, errors.New("no answer")
				}
				near, far := net.Pipe()
				context.AfterFunc(ctx, func() { _ = far.Close() })
				return near, nil
			}})
			words := make(chan told, 100)
			s := newSuspects(func(_ context.Context, server string, reachable bool) {
				words <- told{server, reachable, time.Since(begun)}
			}, clock.System(), client)
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(ctx) }()
			s.note(upstream.Server{Name: "s0", Address: "a"}, false)
			So(<-words, ShouldResemble, told{"s0", false, 0})
			for _, after := range []time.Duration{500, 1000, 1500} {
				So(<-words, ShouldResemble, told{"s0", false, after * time.Millisecond})
			}
			So(<-words, ShouldResemble, told{"s0", true, 2 * time.Second})
			<-clock.System().After(3 * time.Second)
			So(len(words), ShouldEqual, 0)
			cancel()
			<-ended
			client.Close()
		})
	})
}

func TestDoubtedServers(t *testing.T) {
	type fixture struct {
		suspects *suspects
		words    chan told
		end      func()
	}
	start := func(answers func() bool) fixture {
		ctx, cancel := context.WithCancel(context.Background())
		begun := time.Now()
		client := upstream.New(upstream.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			if !answers() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			near, far := net.Pipe()
			context.AfterFunc(ctx, func() { _ = far.Close() })
			return near, nil
		}})
		words := make(chan told, 100)
		s := newSuspects(func(_ context.Context, server string, reachable bool) {
			words <- told{server, reachable, time.Since(begun)}
		}, clock.System(), client)
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx) }()
		return fixture{s, words, func() {
			cancel()
			<-ended
			client.Close()
		}}
	}
	server := upstream.Server{Name: "s0", Address: "a"}
	synctest.Test(t, func(t *testing.T) {
		Convey("A server that is slower than expected and takes connections is not told of, nor that it answers again", t, func() {
			f := start(func() bool { return true })
			f.suspects.doubt(server)
			<-clock.System().After(time.Second)
			f.suspects.back(server)
			<-clock.System().After(time.Second)
			So(len(f.words), ShouldEqual, 0)
			f.end()
		})
		Convey("One that takes no connection is told of as soon as that shows, and that it is back as soon as that does", t, func() {
			begun := time.Now()
			f := start(func() bool { return time.Since(begun) >= time.Second })
			f.suspects.doubt(server)
			So(<-f.words, ShouldResemble, told{"s0", false, probeTimeout})
			So(<-f.words, ShouldResemble, told{"s0", false, 500*time.Millisecond + probeTimeout})
			So(<-f.words, ShouldResemble, told{"s0", true, time.Second})
			f.end()
		})
		Convey("What a server that was told of answers to this node is told", t, func() {
			f := start(func() bool { return true })
			f.suspects.note(server, false)
			So(<-f.words, ShouldResemble, told{"s0", false, 0})
			f.suspects.back(server)
			So(<-f.words, ShouldResemble, told{"s0", true, 0})
			f.end()
		})
	})
}
