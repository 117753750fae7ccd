package gateway

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEventSplitter(t *testing.T) {
	Convey("Complete events are returned however the bytes are chunked", t, func() {
		text := "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda"
		for size := 1; size <= len(text); size++ {
			var s eventSplitter
			out := ""
			for at := 0; at < len(text); at += size {
				out += string(s.add([]byte(text[at:min(at+size, len(text))])))
			}
			So(out, ShouldEqual, strings.TrimSuffix(text, "id: 3\nda"))
			So(s.lastID, ShouldEqual, "2")
			So(string(s.incomplete()), ShouldEqual, "id: 3\nda")
		}
	})
}
