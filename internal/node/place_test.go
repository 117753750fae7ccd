package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/wire"
)

// handClock stands where the test puts it.
type handClock struct {
	clock.Clock
	now time.Time
}

func (c *handClock) Now() time.Time { return c.now }

func TestVacantPlaces(t *testing.T) {
	voters := []string{"a", "b", "c", "d", "e"}
	answering := func(names ...string) map[string]*sighting {
		cores := map[string]*sighting{}
		for _, name := range names {
			cores[name] = &sighting{process: &wire.Process{Name: name, Core: true, Voters: voters}, answered: true}
		}
		return cores
	}
	start := time.Unix(1_000, 0)
	newcomer := func(own string) (*candidate, *handClock) {
		clock := &handClock{now: start}
		return &candidate{own: own, goneAfter: time.Second, clock: clock, silent: map[string]time.Time{}}, clock
	}
	Convey("Two of five cores that are gone are replaced by two newcomers, each by another", t, func() {
		taken := map[string]bool{}
		for _, own := range []string{"f", "h"} {
			c, clock := newcomer(own)
			_, found := c.vacant(answering("a", "b", "c"), voters)
			So(found, ShouldBeFalse)
			clock.now = start.Add(time.Second)
			place, found := c.vacant(answering("a", "b", "c"), voters)
			So(found, ShouldBeTrue)
			taken[place] = true
		}
		So(taken, ShouldResemble, map[string]bool{"d": true, "e": true})
	})
	Convey("With three gone nobody takes a place, and a core that answers again is not gone", t, func() {
		c, clock := newcomer("f")
		c.vacant(answering("a", "b"), voters)
		clock.now = start.Add(time.Second)
		_, found := c.vacant(answering("a", "b"), voters)
		So(found, ShouldBeFalse)
		_, found = c.vacant(answering("a", "b", "c", "d", "e"), voters)
		So(found, ShouldBeFalse)
		clock.now = start.Add(1500 * time.Millisecond)
		_, found = c.vacant(answering("a", "b", "c", "d"), voters)
		So(found, ShouldBeFalse)
	})
}
