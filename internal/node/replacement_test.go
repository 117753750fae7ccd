package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/wire"
)

// manualClock is a clock whose time the test sets.
type manualClock struct {
	clock.Clock
	now time.Time
}

func (c *manualClock) Now() time.Time { return c.now }

func TestFailedVotersAreReplaced(t *testing.T) {
	voters := []string{"a", "b", "c", "d", "e"}
	answering := func(names ...string) map[string]*discoveredCore {
		cores := map[string]*discoveredCore{}
		for _, name := range names {
			cores[name] = &discoveredCore{process: &wire.Process{Name: name, Core: true, Voters: voters}, answered: true}
		}
		return cores
	}
	start := time.Unix(1_000, 0)
	newSearch := func(self string) (*replacementSearch, *manualClock) {
		clock := &manualClock{now: start}
		return &replacementSearch{
			self:            self,
			failedAfter:     time.Second,
			clock:           clock,
			unansweredSince: map[string]time.Time{},
		}, clock
	}
	Convey("When two of five voting cores have failed, two searching cores take over different names", t, func() {
		taken := map[string]bool{}
		for _, self := range []string{"f", "h"} {
			search, clock := newSearch(self)
			_, found := search.failedVoter(answering("a", "b", "c"), voters)
			So(found, ShouldBeFalse)
			clock.now = start.Add(time.Second)
			name, found := search.failedVoter(answering("a", "b", "c"), voters)
			So(found, ShouldBeTrue)
			taken[name] = true
		}
		So(taken, ShouldResemble, map[string]bool{"d": true, "e": true})
	})
	Convey("When three of five have failed, none is replaced; a core that answers again is no longer failed", t, func() {
		search, clock := newSearch("f")
		search.failedVoter(answering("a", "b"), voters)
		clock.now = start.Add(time.Second)
		_, found := search.failedVoter(answering("a", "b"), voters)
		So(found, ShouldBeFalse)
		_, found = search.failedVoter(answering("a", "b", "c", "d", "e"), voters)
		So(found, ShouldBeFalse)
		clock.now = start.Add(1500 * time.Millisecond)
		_, found = search.failedVoter(answering("a", "b", "c", "d"), voters)
		So(found, ShouldBeFalse)
	})
}
