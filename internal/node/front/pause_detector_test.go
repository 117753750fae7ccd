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

func TestConsecutivePausesCountAsOne(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	p := newPauseDetector(clock)
	advance := func(d time.Duration) { clock.now = clock.now.Add(d) }
	p.tick()
	pauseBegan := clock.now

	Convey("The earliest arrival after a pause is its start, even if another pause follows immediately", t, func() {
		advance(5 * time.Second)
		So(p.earliestArrival(), ShouldEqual, pauseBegan)
		p.tick()
		advance(300 * time.Millisecond)
		So(p.earliestArrival(), ShouldEqual, pauseBegan)
		p.tick()
		advance(900 * time.Millisecond)
		So(p.earliestArrival(), ShouldEqual, pauseBegan)
	})
	Convey("One second after a pause the earliest arrival is the current time, and a later pause has its own start", t, func() {
		p.tick()
		for range 30 {
			advance(50 * time.Millisecond)
			p.tick()
		}
		So(p.earliestArrival(), ShouldEqual, clock.now)
		last := clock.now
		advance(time.Second)
		So(p.earliestArrival(), ShouldEqual, last)
	})
}

func TestRequestsReadAfterAPauseCountFromItsStart(t *testing.T) {
	Convey("The deadline of a request that is read after a pause counts from the start of the pause, whether it is read before or after the next tick", t, func() {
		inBubble(t, func(t *testing.T) {
			f := newFixture(t, "web", 8, respondingServer("HTTP/1.1 200 OK\nStepwick-Request-Id: ID\nContent-Length: 2\n\nok"))
			defer f.stop()
			caller := f.connect()
			requestCode := func(id, deadline string) apierror.Code {
				caller.send("GET", "/v1/call/orders/", id, "Stepwick-Deadline-Ms: "+deadline+"\r\n", "")
				return caller.readResponse().code
			}
			f.checkEqual("before", requestCode("r1", "2000"), apierror.OK)
			f.clock.offset.Add(int64(5 * time.Second))
			f.checkEqual("read before the first tick", requestCode("r2", "2000"), apierror.DeadlineExceeded)
			<-time.After(100 * time.Millisecond)
			f.checkEqual("read after the first tick", requestCode("r3", "2000"), apierror.DeadlineExceeded)
			f.checkEqual("with a deadline longer than the pause", requestCode("r4", "9000"), apierror.OK)
			<-time.After(time.Second)
			f.checkEqual("later", requestCode("r5", "2000"), apierror.OK)
			f.checkEqual("runs", []int{f.runs("r2"), f.runs("r3"), f.runs("r4"), f.runs("r5")}, []int{0, 0, 1, 1})
		})
	})
}
