package balance

import (
	"maps"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

// isAvailable reports whether the table has the server and does not exclude it.
func isAvailable(t *Table, name string) bool {
	s := t.servers[name]
	return s != nil && s.exclusion == ""
}

func TestUpdate(t *testing.T) {
	Convey("A server that was temporarily missing from the view returns to its pool even if its status is unchanged", t, func() {
		view := newTestView(3, sheet.Service{})
		balancer := newTestTable(view, Config{})
		attempt := balancer.StartAttempt("s0", newTestRequest("a", 0), start)
		without := view
		without.Servers = maps.Clone(view.Servers)
		delete(without.Servers, "s0")
		balancer.Update(without, msAfterStart(1))
		So(isAvailable(balancer, "s0"), ShouldBeFalse)
		balancer.Update(view, msAfterStart(2))
		So(isAvailable(balancer, "s0"), ShouldBeTrue)
		balancer.FinishAttempt(attempt, OutcomeSucceeded, msAfterStart(3))
		So(balancer.pools["pool"], ShouldHaveLength, 3)
	})
	Convey("A draining server leaves its pool, and other status changes do not remove a server", t, func() {
		view := newTestView(3, sheet.Service{})
		balancer := newTestTable(view, Config{})
		next := view
		next.Servers = maps.Clone(view.Servers)
		for name, state := range map[string]wire.ServerState{"s0": wire.ServerState_SERVER_STATE_DRAINING, "s1": wire.ServerState_SERVER_STATE_READY} {
			status := proto.Clone(view.Servers[name]).(*wire.ServerStatus)
			status.State, status.Answered = state, 7
			next.Servers[name] = status
		}
		balancer.Update(next, msAfterStart(1))
		So(balancer.pools["pool"], ShouldHaveLength, 2)
		So(balancer.servers["s1"].status.Answered, ShouldEqual, 7)
	})
	Convey("An update without changes allocates nothing per server", t, func() {
		few, many := newTestView(10, sheet.Service{}), newTestView(240, sheet.Service{})
		cost := func(view View) float64 {
			balancer := newTestTable(view, Config{})
			return testing.AllocsPerRun(20, func() { balancer.Update(view, msAfterStart(1)) })
		}
		So(cost(many), ShouldEqual, cost(few))
	})
}
