package front

import (
	"testing"
	"time"

	"stepwick/internal/clock"

	. "github.com/smartystreets/goconvey/convey"
)

type handClock struct {
	clock.Clock
	now time.Time
}

func (c *handClock) Now() time.Time { return c.now }

func TestStandStillsThatFollowClosely(t *testing.T) {
	clock := &handClock{now: time.Unix(1000, 0)}
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
