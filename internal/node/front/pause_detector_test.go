package front

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

type manualClock struct {
	clock.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func TestPausesShortlyAfterOneAnotherAreOne(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	p := newPauseDetector(clock)
	pass := func(d time.Duration) { clock.now = clock.now.Add(d) }
	p.tick()
	frozen := clock.now

	Convey("What is read after a freeze came at its beginning at the earliest, also when the process stands still again at once", t, func() {
		pass(5 * time.Second)
		So(p.earliestArrival(), ShouldEqual, frozen)
		p.tick()
		pass(300 * time.Millisecond)
		So(p.earliestArrival(), ShouldEqual, frozen)
		p.tick()
		pass(900 * time.Millisecond)
		So(p.earliestArrival(), ShouldEqual, frozen)
	})
	Convey("A process that has run for a second counts from now, and a later stand-still from its own beginning", t, func() {
		p.tick()
		for range 30 {
			pass(50 * time.Millisecond)
			p.tick()
		}
		So(p.earliestArrival(), ShouldEqual, clock.now)
		last := clock.now
		pass(time.Second)
		So(p.earliestArrival(), ShouldEqual, last)
	})
}

func TestRequestsReadAfterAPauseCountFromItsStart(t *testing.T) {
	Convey("A request that is read after the process stood still counts from before, whichever wakes first", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "web", 8, respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: ID\nContent-Length: 2\n\nok"))
			defer f.stop()
			caller := f.connect()
			ask := func(id, deadline string) apierror.Code {
				caller.send("GET", "/v1/call/orders/", id, "Stepwick-Deadline-Ms: "+deadline+"\r\n", "")
				return caller.readResponse().code
			}
			f.checkEqual("before", ask("r1", "2000"), apierror.OK)
			f.clock.offset.Add(int64(5 * time.Second))
			f.checkEqual("read before the first beat", ask("r2", "2000"), apierror.DeadlinePassed)
			<-time.After(100 * time.Millisecond)
			f.checkEqual("read after it", ask("r3", "2000"), apierror.DeadlinePassed)
			f.checkEqual("with time left all the same", ask("r4", "9000"), apierror.OK)
			<-time.After(time.Second)
			f.checkEqual("later", ask("r5", "2000"), apierror.OK)
			f.checkEqual("runs", []int{f.runs("r2"), f.runs("r3"), f.runs("r4"), f.runs("r5")}, []int{0, 0, 1, 1})
		})
	})
}
