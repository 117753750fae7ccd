package listen_test

import (
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/listen"
)

// pipeListener accepts connections that have no reachable peer.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	conn, _ := net.Pipe()
	return conn, nil
}

func (pipeListener) Close() error { return nil }

func TestLimitConnections(t *testing.T) {
	Convey("A connection over the limit is accepted after another is closed, and Close unblocks a waiting Accept", t, func() {
		listener := listen.LimitConnections(pipeListener{}, 1)
		first, err := listener.Accept()
		So(err, ShouldBeNil)
		accepted := make(chan error)
		acceptOne := func() {
			_, err := listener.Accept()
			accepted <- err
		}
		go acceptOne()
		So(first.Close(), ShouldBeNil)
		So(<-accepted, ShouldBeNil)
		So(first.Close(), ShouldBeNil)
		go acceptOne()
		So(listener.Close(), ShouldBeNil)
		So(errors.Is(<-accepted, net.ErrClosed), ShouldBeTrue)
	})
}
