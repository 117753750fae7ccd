package listen_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/adapter/listen"
)

// oneConnListener accepts one connection.
type oneConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l oneConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l oneConnListener) Close() error {
	close(l.closed)
	return nil
}

func (oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestServeEndsOnlyAfterAResponseIsWritten guards against a close between a handler's return and the last byte of its response.
func TestServeEndsOnlyAfterAResponseIsWritten(t *testing.T) {
	Convey("A response that is still buffered when the context ends reaches the client", t, func() {
		listener := oneConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		client, accepted := net.Pipe()
		listener.conns <- accepted
		returned := make(chan struct{})
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
			close(returned)
		})}
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- listen.Serve(ctx, server, listener, time.Minute) }()
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		<-returned
		cancel()
		<-listener.closed
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		So(string(body), ShouldEqual, "whole")
		So(errors.Is(<-served, context.Canceled), ShouldBeTrue)
	})
}
