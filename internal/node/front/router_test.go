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
	Convey("A request that waits for a slot gets its answer at its deadline, and a caller who goes away frees the slot at once", t, func() {
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
			waits, began := f.connect(), time.Now()
			waits.prompt("w1", 2*time.Second)
			got := waits.readResponse()
			f.checkEqual("answer", []any{got.code, time.Since(began), f.runs("w1")}, []any{apierror.DeadlinePassed, 2 * time.Second, 0})
			waits.prompt("w2", 50*time.Second)
			synctest.Wait()
			f.checkEqual("runs before a slot is free", f.runs("w2"), 0)
			began = time.Now()
			_ = holders[0].conn.Close()
			waits.readEvent()
			f.checkEqual("wait after the slot was freed", time.Since(began), time.Duration(0))
			f.checkEqual("runs", f.runs("w2"), 1)
		})
	})
	Convey("A server that breaks each answer is left alone for a while; callers in too great a hurry don't bring that about", t, func() {
		inBubble(t, func(t *testing.T) {
			bad, good := respondingServer(""), streamingServer(1, 0)
			f := newFixture(t, "model", 8, bad, bad, bad, good)
			defer f.stop()
			caller, asked := f.connect(), 0
			for i := range 20 {
				id := fmt.Sprint("r", i)
				caller.prompt(id, time.Minute)
				caller.readResponse()
				asked += bad.runs(id)
				<-time.After(500 * time.Millisecond)
			}
			f.checkEqual("asked of the bad ones", asked >= 3 && asked <= 20, true)
			hurry := newFixture(t, "model", 8, streamingServer(1, time.Hour))
			defer hurry.stop()
			caller = hurry.connect()
			for i := range 20 {
				caller.prompt(fmt.Sprint("r", i), time.Millisecond)
				caller.readResponse()
			}
			synctest.Wait()
			f.checkEqual("ejected", hurry.front.router.table.Servers()[0].Ejected, false)
		})
	})
	Convey("A panic while one request is served ends that request alone and keeps no slot", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "model", 1, streamingServer(50, 0))
			defer f.stop()
			f.admitter.decide = func(string, float64, quota.Allowance) quota.Decision { panic("oh") }
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
			f.checkEqual("trapped", strings.Contains(got, "5099"), true)
			f.checkEqual("in flight", f.inFlight("s0"), 0)
		})
	})
}
