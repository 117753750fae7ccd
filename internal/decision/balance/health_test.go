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
	Convey("A server that refuses connections is ejected for twice as long each time, until a probing request succeeds", t, func() {
		balancer := newTestTable(newTestView(1, sheet.Service{}), Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeRefused, start)
		So(balancer.Choose(newTestRequest("b", 0), msAfterStart(999)).Wait, ShouldBeTrue)
		balancer.FinishAttempt(send(balancer, "c", msAfterStart(1000)), OutcomeRefused, msAfterStart(1000))
		So(balancer.Choose(newTestRequest("d", 0), msAfterStart(2900)).Server, ShouldBeEmpty)
		probe := send(balancer, "e", msAfterStart(3000))
		So(balancer.Choose(newTestRequest("f", 0), msAfterStart(3000)).Server, ShouldBeEmpty)
		balancer.FinishAttempt(probe, OutcomeSucceeded, msAfterStart(3010))
		So(balancer.Choose(newTestRequest("g", 0), msAfterStart(3010)).Server, ShouldEqual, "s0")
	})
	Convey("A server that does not respond is reported as stalled and avoided", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{})
		first := send(balancer, "a", start)
		So(balancer.StalledServers(msAfterStart(100)), ShouldBeEmpty)
		So(balancer.StalledServers(msAfterStart(500))[first.Server()].Level, ShouldEqual, Slow)
		So(balancer.StalledServers(msAfterStart(700))[first.Server()].Level, ShouldEqual, Stalled)
		So(balancer.StalledServers(msAfterStart(2000))[first.Server()].Level, ShouldEqual, Unresponsive)
		for i := range 5 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), msAfterStart(2000)).Server, ShouldNotEqual, first.Server())
		}
		balancer.ResponseStarted(first, msAfterStart(2001))
		So(balancer.StalledServers(msAfterStart(4000)), ShouldBeEmpty)
	})
	Convey("A server that responded with a server error is avoided temporarily", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		a := send(balancer, "a", start)
		balancer.FinishAttempt(a, OutcomeServerError, start)
		for i := range 10 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), msAfterStart(500)).Server, ShouldNotEqual, a.Server())
		}
	})
	Convey("A server whose address was taken over by another server gets no more requests, even if the view lists it as ready", t, func() {
		view := newTestView(1, sheet.Service{})
		balancer := newTestTable(view, Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeReplaced, start)
		So(balancer.Choose(newTestRequest("b", 0), msAfterStart(1)).Err.Code, ShouldEqual, apierror.NoServer)
		balancer.Update(view, msAfterStart(10_000))
		So(balancer.Choose(newTestRequest("c", 0), msAfterStart(10_000)).Err.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("A retry is not sent to a server on which the request was already tried", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{RetrySlack: 100})
		request := newTestRequest("a", 0)
		request.ExcludedServers = []string{"s0"}
		request.Retry = true
		So(balancer.Choose(request, start).Server, ShouldEqual, "s1")
	})
}
