package front

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/node/follower"
	"stepwick/internal/wire"
)

func TestQueuedRequestsAndSlots(t *testing.T) {
	Convey("A queued request is rejected at its deadline, and a caller that disconnects frees its slot immediately", t, func() {
		inBubble(t, func(t *testing.T) {
			long := streamingServer(1000, time.Second)
			f := newFixture(t, "model", 1, long)
			f.servers["s0"] = long
			f.views.publish(func(v *follower.View) {
				v.Plan = &wire.Plan{Term: 1, Number: 8, Shares: v.Plan.Shares, Caps: []*wire.Cap{{Server: "s0", InFlight: 1}}}
			})
			defer f.stop()
			holders := []*client{}
			for i := 0; f.inFlight("s0") < f.cap("s0"); i++ {
				holder := f.connect()
				holder.prompt(fmt.Sprint("h", i), 100*time.Second)
				holder.readEvent()
				holders = append(holders, holder)
			}
			queued, began := f.connect(), time.Now()
			queued.prompt("w1", 2*time.Second)
			got := queued.readResponse()
			f.checkEqual("answer", []any{got.code, time.Since(began), f.runs("w1")}, []any{apierror.DeadlineExceeded, 2 * time.Second, 0})
			queued.prompt("w2", 50*time.Second)
			synctest.Wait()
			f.checkEqual("runs before a slot is free", f.runs("w2"), 0)
			began = time.Now()
			_ = holders[0].conn.Close()
			queued.readEvent()
			f.checkEqual("wait after the slot was freed", time.Since(began), time.Duration(0))
			f.checkEqual("runs", f.runs("w2"), 1)
		})
	})
	Convey("A server that fails every request is ejected; deadlines that are too short do not eject a server", t, func() {
		inBubble(t, func(t *testing.T) {
			bad, good := respondingServer(""), streamingServer(1, 0)
			f := newFixture(t, "model", 8, bad, bad, bad, good)
			defer f.stop()
			caller, badServerRuns := f.connect(), 0
			for i := range 20 {
				id := fmt.Sprint("r", i)
				caller.prompt(id, time.Minute)
				caller.readResponse()
				badServerRuns += bad.runs(id)
				<-time.After(500 * time.Millisecond)
			}
			f.checkEqual("between 3 and 20 runs at the failing servers", badServerRuns >= 3 && badServerRuns <= 20, true)
			hurried := newFixture(t, "model", 8, streamingServer(1, time.Hour))
			defer hurried.stop()
			caller = hurried.connect()
			for i := range 20 {
				caller.prompt(fmt.Sprint("r", i), time.Millisecond)
				caller.readResponse()
			}
			synctest.Wait()
			f.checkEqual("ejected", hurried.front.router.table.Servers()[0].Ejected, false)
		})
	})
	Convey("A panic while a request is served ends only that request and frees its slot", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 1, streamingServer(50, 0))
			defer f.stop()
			f.admitter.decide = func(string, float64, quota.Allowance) quota.Decision { panic("injected by the test") }
			caller := f.connect()
			caller.prompt("r1", time.Minute)
			f.checkEqual("code", caller.readResponse().code, apierror.Internal)
			f.admitter.decide = nil
			caller.prompt("r2", time.Minute)
			f.checkEqual("answer", caller.readResponse().status, 200)
			f.checkEqual("in flight", f.inFlight("s0"), 0)
			caller.prompt("r3", time.Minute)
			caller.readEvent()
			f.views.panicOnce.Store(true)
			got := ""
			for !strings.Contains(got, "5099") && !strings.Contains(got, "final") {
				got = caller.readEvent()
			}
			f.checkEqual("internal error event", strings.Contains(got, "5099"), true)
			f.checkEqual("in flight", f.inFlight("s0"), 0)
		})
	})
}
