package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

func TestHealth(t *testing.T) {
	send := func(balancer *Table, id string, now time.Time) *Attempt {
		request := newTestRequest(id, 0)
		choice := balancer.Choose(request, now)
		So(choice.Err, ShouldBeNil)
		return balancer.StartAttempt(choice.Server, request, now)
	}
	Convey("A server that refuses a connection is ejected, twice as long each time, until one probing request succeeds", t, func() {
		balancer := newTestTable(newTestView(1, sheet.Service{}), Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeRefused, start)
		So(balancer.Choose(newTestRequest("b", 0), at(999)).Wait, ShouldBeTrue)
		balancer.FinishAttempt(send(balancer, "c", at(1000)), OutcomeRefused, at(1000))
		So(balancer.Choose(newTestRequest("d", 0), at(2900)).Server, ShouldBeEmpty)
		probe := send(balancer, "e", at(3000))
		So(balancer.Choose(newTestRequest("f", 0), at(3000)).Server, ShouldBeEmpty)
		balancer.FinishAttempt(probe, OutcomeSucceeded, at(3010))
		So(balancer.Choose(newTestRequest("g", 0), at(3010)).Server, ShouldEqual, "s0")
	})
	Convey("A server that does not respond is reported as stalled, and avoided", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{})
		first := send(balancer, "a", start)
		So(balancer.StalledServers(at(100)), ShouldBeEmpty)
		So(balancer.StalledServers(at(500))[first.Server()].Level, ShouldEqual, Slow)
		So(balancer.StalledServers(at(700))[first.Server()].Level, ShouldEqual, Stalled)
		So(balancer.StalledServers(at(2000))[first.Server()].Level, ShouldEqual, Unresponsive)
		for i := range 5 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), at(2000)).Server, ShouldNotEqual, first.Server())
		}
		balancer.ResponseStarted(first, at(2001))
		So(balancer.StalledServers(at(4000)), ShouldBeEmpty)
	})
	Convey("A server that responds with errors costs more for a while", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		a := send(balancer, "a", start)
		balancer.FinishAttempt(a, OutcomeServerError, start)
		for i := range 10 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), at(500)).Server, ShouldNotEqual, a.Server())
		}
	})
	Convey("A server whose address another server has gets no more requests, whatever the view says", t, func() {
		view := newTestView(1, sheet.Service{})
		balancer := newTestTable(view, Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeReplaced, start)
		So(balancer.Choose(newTestRequest("b", 0), at(1)).Err.Code, ShouldEqual, apierror.NoServer)
		balancer.Update(view, at(10_000))
		So(balancer.Choose(newTestRequest("c", 0), at(10_000)).Err.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("A server that was tried before is not chosen", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{RetrySlack: 100})
		request := newTestRequest("a", 0)
		request.ExcludedServers = []string{"s0"}
		request.Retry = true
		So(balancer.Choose(request, start).Server, ShouldEqual, "s1")
	})
}
