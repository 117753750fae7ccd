package listen_test

import (
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/listen"
)

// pipeListener accepts connections to nobody.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func (pipeListener) Close() error { return nil }

func TestLimitConnections(t *testing.T) {
	Convey("A connection beyond the limit is accepted when another is closed, and Close ends an Accept that waits", t, func() {
		listener := listen.LimitConnections(pipeListener{}, 1)
		first, err := listener.Accept()
		So(err, ShouldBeNil)
		accepted := make(chan error)
		accept := func() {
			_, err := listener.Accept()
			accepted <- err
		}
		go accept()
		So(first.Close(), ShouldBeNil)
		So(<-accepted, ShouldBeNil)
		So(first.Close(), ShouldBeNil)
		go accept()
		So(listener.Close(), ShouldBeNil)
		So(errors.Is(<-accepted, net.ErrClosed), ShouldBeTrue)
	})
}
