package faultproxy

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func echo() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l
}

func free() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer l.Close()
	return l.Addr().String()
}

func from(ip, to string) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 5 * time.Second}
	return d.Dial("tcp4", to)
}

func TestRelay(t *testing.T) {
	Convey("A relay between two named machines", t, func() {
		target := echo()
		links := NewLinks()
		links.Names(map[string]string{"127.0.0.2": "a", "127.0.0.3": "b"})
		r := New("c", free(), target.Addr().String(), links)
		So(r.Open(), ShouldBeNil)
		Reset(func() { r.Close(); target.Close() })
		dial := func(ip string) (net.Conn, *bufio.Reader) {
			conn, err := from(ip, r.Address)
			So(err, ShouldBeNil)
			return conn, bufio.NewReader(conn)
		}
		say := func(c net.Conn, in *bufio.Reader) error {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := c.Write([]byte("hello\n")); err != nil {
				return err
			}
			_, err := in.ReadString('\n')
			return err
		}
		Convey("passes data", func() {
			c, in := dial("127.0.0.2")
			So(say(c, in), ShouldBeNil)
		})
		Convey("holds an established connection of a silent link and delivers when it heals, and leaves others alone", func() {
			c, in := dial("127.0.0.2")
			So(say(c, in), ShouldBeNil)
			links.Set(map[[2]string]Mode{{"a", "c"}: {Silent: true}})
			got := make(chan error, 1)
			go func() { got <- say(c, in) }()
			other, otherIn := dial("127.0.0.3")
			for range 20 {
				So(say(other, otherIn), ShouldBeNil)
			}
			So(got, ShouldBeEmpty)
			links.Heal()
			So(<-got, ShouldBeNil)
		})
		Convey("holds answers when only the way back is silent", func() {
			c, in := dial("127.0.0.2")
			links.Set(map[[2]string]Mode{{"c", "a"}: {Silent: true}})
			got := make(chan error, 1)
			go func() { got <- say(c, in) }()
			other, otherIn := dial("127.0.0.3")
			for range 20 {
				So(say(other, otherIn), ShouldBeNil)
			}
			So(got, ShouldBeEmpty)
			links.Heal()
			So(<-got, ShouldBeNil)
		})
		Convey("resets on a reset link", func() {
			links.Set(map[[2]string]Mode{{"a", "c"}: {Reset: true}})
			c, err := from("127.0.0.2", r.Address)
			if err == nil {
				err = say(c, bufio.NewReader(c))
			}
			So(err, ShouldNotBeNil)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeFalse)
		})
		Convey("refuses while it is shut, resets what stood, and opens again", func() {
			c, in := dial("127.0.0.2")
			So(say(c, in), ShouldBeNil)
			r.Shut()
			So(say(c, in), ShouldNotBeNil)
			_, err := from("127.0.0.2", r.Address)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			So(r.Open(), ShouldBeNil)
			again, againIn := dial("127.0.0.2")
			So(say(again, againIn), ShouldBeNil)
		})
	})
}
