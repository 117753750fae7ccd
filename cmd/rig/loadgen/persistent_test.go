package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/history"
)

func TestRunPersistent(t *testing.T) {
	Convey("A persistent caller keeps sending after errors and reconnects only when its connection is closed", t, func() {
		s := newHarness()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var requests atomic.Int64
		front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch requests.Add(1) {
			case 3:
				panic(http.ErrAbortHandler)
			case 5:
				cancel()
			}
			w.Header().Set("Stepwick-Code", "2007")
			w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"code":2007,"retry":"later"}`)
		}))
		Reset(front.Close)
		s.callers.Fleet.Nodes[0].CallerAddress = strings.TrimPrefix(front.URL, "http://")
		s.callers.RunPersistent(ctx, 1, time.Microsecond)
		attempts := s.recorder.Snapshot().Attempts
		So(attempts, ShouldHaveLength, 5)
		for i, want := range []struct {
			outcome history.Outcome
			reused  bool
		}{
			{history.Rejected, false},
			{history.Rejected, true},
			{history.ConnectionBroken, true},
			{history.Rejected, false},
			{history.Rejected, true},
		} {
			So(attempts[i].Outcome, ShouldEqual, want.outcome)
			So(attempts[i].Reused, ShouldEqual, want.reused)
		}
	})
}
