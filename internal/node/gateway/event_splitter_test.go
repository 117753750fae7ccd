package gateway

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestEventSplitter(t *testing.T) {
	Convey("The same complete events are returned for every chunk size", t, func() {
		text := "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda"
		for size := 1; size <= len(text); size++ {
			var splitter eventSplitter
			relayed := ""
			for offset := 0; offset < len(text); offset += size {
				relayed += string(splitter.appendChunk([]byte(text[offset:min(offset+size, len(text))])))
			}
			So(relayed, ShouldEqual, strings.TrimSuffix(text, "id: 3\nda"))
			So(splitter.lastID, ShouldEqual, "2")
			So(string(splitter.incomplete()), ShouldEqual, "id: 3\nda")
		}
	})
}
