package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/port"
)

const goodEntry = `{"name":"m1","address":"127.0.0.1:9001","kind":"model","services":["digest","chat","chat"],"region":"lagos","zone":"a","state":"ready","leave_at_ms":0}`

func TestParseList(t *testing.T) {
	cases := []struct{ name, body string }{
		{"one valid entry", `{"servers":[` + goodEntry + `]}`},
		{"no servers", `{"servers":[]}`},
		{"an unknown field", `{"servers":[{"name":"w1","address":"[::1]:80","kind":"web","services":[],"region":"lagos","zone":"","state":"cold","rack":7}],"page":1}`},
		{"invalid entries beside a valid one", `{"servers":[` + goodEntry + `,
			{"name":"m2","address":"nowhere","kind":"model","services":["chat"],"region":"lagos","zone":"a","state":"ready"},
			{"name":"m3","address":"127.0.0.1:1","kind":"gpu","services":["chat"],"region":"lagos","zone":"a","state":"ready"},
			{"name":"m4","address":"127.0.0.1:1","kind":"model","services":["chat"],"region":"lagos","zone":"a","state":"gone"},
			{"name":"m5","address":"127.0.0.1:1","kind":"model","services":["chat"],"region":"","zone":"a","state":"ready"},
			{"name":"m6","address":"127.0.0.1:1","kind":"model","services":[""],"region":"lagos","zone":"a","state":"ready"},
			{"name":"m7","address":"127.0.0.1:1","kind":"model","services":[],"region":"lagos","zone":"a","state":"leaving","leave_at_ms":-1}]}`},
		{"a server listed twice", `{"servers":[` + goodEntry + `,` + goodEntry + `]}`},
		{"an entry without a name", `{"servers":[{"address":"127.0.0.1:1"}]}`},
		{"missing servers field", `{}`},
		{"null", `null`},
		{"truncated JSON", `{"servers":[` + goodEntry},
		{"two JSON values", `{"servers":[]}{"servers":[]}`},
		{"a number as name", `{"servers":[{"name":7}]}`},
	}
	var log strings.Builder
	for _, testCase := range cases {
		listing, err := ParseList([]byte(testCase.body))
		fmt.Fprintf(&log, "%s: error %v\n", testCase.name, err)
		for _, server := range listing.Servers {
			fmt.Fprintf(&log, "  %s %s %s %v %s/%s %s\n", server.Name, server.Address, server.Kind, server.Services, server.Region, server.Zone, server.State)
		}
		for _, name := range []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7"} {
			if reason := listing.Malformed[name]; reason != "" {
				fmt.Fprintf(&log, "  bad %s: %s\n", name, reason)
			}
		}
	}
	goldie.New(t).Assert(t, "lists", []byte(log.String()))
}

func TestPollStatus(t *testing.T) {
	Convey("A server's status", t, func() {
		body := ""
		code := http.StatusOK
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(code)
			_, _ = w.Write([]byte(body))
		}))
		defer server.Close()
		address := server.Listener.Addr().String()
		client := New(Config{
			URL:         server.URL,
			StatusLimit: 512,
			ListLimit:   512,
			Bind:        "127.0.0.1",
		})
		ctx := context.Background()
		good := `{"server":"m1","incarnation":1790000000000000000,"state":"cold","slots":16,"running":3,"queued":1,"tokens_per_second":900.5,"prefill_per_second":4000,"kv_used":0.25,"answered":12}`
		Convey("is parsed in full", func() {
			body = good
			status, outcome, err := client.Status(ctx, "m1", address)
			So(err, ShouldBeNil)
			So(outcome, ShouldEqual, port.PollAnswered)
			So(status.Incarnation, ShouldEqual, uint64(1790000000000000000))
			So(status.Slots, ShouldEqual, 16)
			So(status.KvUsed, ShouldEqual, 0.25)
			So(status.Reachable, ShouldBeTrue)
		})
		Convey("is rejected if it is incomplete, from another server or out of bounds", func() {
			for _, bad := range []string{"", good[:50], good + good, strings.Replace(good, "m1", "m2", 1), strings.Replace(good, "0.25", "1.5", 1),
				strings.Replace(good, `"running":3`, `"running":-3`, 1), strings.Replace(good, "cold", "warm", 1), good + strings.Repeat(" ", 600)} {
				body = bad
				status, outcome, err := client.Status(ctx, "m1", address)
				So(err, ShouldNotBeNil)
				So(status, ShouldBeNil)
				So(outcome, ShouldEqual, port.PollMalformed)
			}
		})
		Convey("may be unsupported: the server counts as answering, without figures", func() {
			code = http.StatusNotFound
			status, outcome, err := client.Status(ctx, "m1", address)
			So(err, ShouldBeNil)
			So(outcome, ShouldEqual, port.PollAnswered)
			So(status.Slots, ShouldEqual, 0)
			code = http.StatusInternalServerError
			_, outcome, _ = client.Status(ctx, "m1", address)
			So(outcome, ShouldEqual, port.PollMalformed)
		})
		Convey("distinguishes a refused connection from a missing response", func() {
			closedListener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			So(closedListener.Close(), ShouldBeNil)
			_, outcome, _ := client.Status(ctx, "m1", closedListener.Addr().String())
			So(outcome, ShouldEqual, port.PollRefused)
			silentListener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = silentListener.Close() }()
			shortTimeoutClient := New(Config{URL: server.URL, Timeout: 50 * time.Millisecond})
			_, outcome, err = shortTimeoutClient.Status(ctx, "m1", silentListener.Addr().String())
			So(outcome, ShouldEqual, port.PollUnanswered)
			So(err, ShouldNotBeNil)
		})
		Convey("and the list are limited in size, and an unexpected HTTP status is an error", func() {
			body = `{"servers":[` + goodEntry + `]}`
			listing, err := client.List(ctx)
			So(err, ShouldBeNil)
			So(len(listing.Servers), ShouldEqual, 1)
			body += strings.Repeat(" ", 600)
			_, err = client.List(ctx)
			So(err, ShouldNotBeNil)
			code = http.StatusFound
			_, err = client.List(ctx)
			So(err, ShouldNotBeNil)
		})
	})
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	Convey("A list with an entity tag is transferred again only if it changed or the last one was invalid", t, func() {
		body := `{"servers":[]}`
		tag := `"1"`
		listsSent := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("If-None-Match") == tag {
				w.WriteHeader(http.StatusNotModified)
				return
			}
			listsSent++
			w.Header().Set("ETag", tag)
			_, _ = w.Write([]byte(body))
		}))
		defer server.Close()
		client := New(Config{URL: server.URL})
		read := func() (int, error) {
			listing, err := client.List(context.Background())
			return len(listing.Servers), err
		}
		for range 3 {
			count, err := read()
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 0)
		}
		So(listsSent, ShouldEqual, 1)

		body = `{"servers":[{"name":"m1","address":"127.0.0.1:80","kind":"model","services":["chat"],"region":"r","zone":"z","state":"ready"}]}`
		tag = `"2"`
		for range 2 {
			count, err := read()
			So(err, ShouldBeNil)
			So(count, ShouldEqual, 1)
		}
		So(listsSent, ShouldEqual, 2)

		body = `{"servers":`
		tag = `"3"`
		for range 2 {
			_, err := read()
			So(err, ShouldNotBeNil)
		}
		So(listsSent, ShouldEqual, 4)
	})
}
