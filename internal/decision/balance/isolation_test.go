package balance

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
)

func TestIsolation(t *testing.T) {
	newDigestRequest := func(id string, shared uint64) *Request {
		request := newTestRequest(id, shared)
		request.Route = "digest"
		request.MaxEventGap = 400 * time.Millisecond
		request.UnsharedTokens = 9000
		request.OutputTokens = 60
		return request
	}
	newReplyRequest := func(id string) *Request {
		request := newTestRequest(id, 0)
		request.Route = "reply"
		request.MaxEventGap = 400 * time.Millisecond
		request.UnsharedTokens = 2000
		request.OutputTokens = 300
		return request
	}
	serve := func(balancer *Table, request *Request, now time.Time) string {
		choice := balancer.Choose(request, now)
		attempt := balancer.StartAttempt(choice.Server, request, now)
		balancer.ResponseStarted(attempt, now)
		balancer.FinishAttempt(attempt, OutcomeSucceeded, now)
		return choice.Server
	}
	newTrainedTable := func(disabled Disabled, name string) *Table {
		balancer := newTestTable(newTestView(60, sheet.Service{}), Config{Self: name, Disabled: disabled})
		for i := range 10 {
			serve(balancer, newDigestRequest(fmt.Sprint(i), uint64(i+1)), msAfterStart(i*100))
			serve(balancer, newReplyRequest(fmt.Sprint(i)), msAfterStart(i*100))
		}
		return balancer
	}
	Convey("All nodes isolate the same servers of each region; decode-heavy routes use them and long prompts avoid them", t, func() {
		first, second := newTrainedTable(nil, "f0"), newTrainedTable(nil, "f1")
		first.recomputeIsolation(msAfterStart(1100))
		second.recomputeIsolation(msAfterStart(1100))
		So(first.isolation.servers, ShouldNotBeEmpty)
		So(first.isolation.servers, ShouldResemble, second.isolation.servers)
		regions := map[string]int{}
		for name := range first.isolation.servers {
			regions[first.servers[name].status.Region]++
		}
		So(regions, ShouldResemble, map[string]int{"north": 3, "south": 3})
		for i := range 50 {
			So(first.isolation.servers[serve(first, newReplyRequest(fmt.Sprint("r", i)), msAfterStart(1200))], ShouldBeTrue)
			So(first.isolation.servers[serve(second, newDigestRequest(fmt.Sprint("d", i), uint64(i+50)), msAfterStart(1200))], ShouldBeFalse)
		}
	})
	Convey("When isolated servers become unreachable, other servers are isolated and serve the decode-heavy routes", t, func() {
		balancer := newTrainedTable(nil, "f0")
		balancer.recomputeIsolation(msAfterStart(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].Reachable = false
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, msAfterStart(1200))
		choice := balancer.Choose(newReplyRequest("a"), msAfterStart(1200))
		So(before[choice.Server], ShouldBeFalse)
		So(balancer.isolation.servers[choice.Server], ShouldBeTrue)
	})
	Convey("After an isolated server was overloaded, decode-heavy routes may use any server, and long prompts still avoid isolated ones", t, func() {
		for name, overload := range map[string]func(*Table, *Attempt){
			"rejects": func(balancer *Table, a *Attempt) { balancer.FinishAttempt(a, OutcomeRejected, msAfterStart(1300)) },
			"is slow": func(balancer *Table, a *Attempt) { balancer.ResponseStarted(a, msAfterStart(2600)) },
		} {
			balancer := newTrainedTable(nil, "f0")
			balancer.recomputeIsolation(msAfterStart(1100))
			first := newReplyRequest("first")
			attempt := balancer.StartAttempt(balancer.Choose(first, msAfterStart(1200)).Server, first, msAfterStart(1200))
			overload(balancer, attempt)
			requestsByIsolated := map[bool]int{}
			for i := range 60 {
				request := newReplyRequest(fmt.Sprint(name, i))
				choice := balancer.Choose(request, msAfterStart(2700))
				balancer.StartAttempt(choice.Server, request, msAfterStart(2700))
				requestsByIsolated[balancer.isolation.servers[choice.Server]]++
			}
			So(requestsByIsolated[false], ShouldBeGreaterThan, 30)
			So(balancer.isolation.servers[serve(balancer, newDigestRequest("d", 99), msAfterStart(2700))], ShouldBeFalse)
			So(balancer.isMisplaced(balancer.servers["s0"], newReplyRequest("later"), msAfterStart(6000)), ShouldEqual, !balancer.isolation.servers["s0"])
		}
	})
	Convey("A server in slow start is not isolated", t, func() {
		balancer := newTrainedTable(nil, "f0")
		balancer.recomputeIsolation(msAfterStart(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].ColdUntilMs = msAfterStart(9000).UnixMilli()
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, msAfterStart(1200))
		So(balancer.isolation.servers, ShouldNotBeEmpty)
		for name := range balancer.isolation.servers {
			So(before[name], ShouldBeFalse)
		}
	})
	Convey("No server is isolated without recorded routes, if all routes are alike, in small pools, or if isolation is disabled", t, func() {
		untrained := newTestTable(newTestView(60, sheet.Service{}), Config{})
		untrained.recomputeIsolation(start)
		So(untrained.isolation.servers, ShouldBeEmpty)
		uniformRoutes := newTestTable(newTestView(60, sheet.Service{}), Config{})
		for i := range 20 {
			serve(uniformRoutes, newReplyRequest(fmt.Sprint(i)), msAfterStart(i*100))
		}
		uniformRoutes.recomputeIsolation(msAfterStart(2000))
		So(uniformRoutes.isolation.servers, ShouldBeEmpty)
		smallPool := newTrainedTable(nil, "f0")
		smallPool.Update(newTestView(6, sheet.Service{}), msAfterStart(1100))
		So(smallPool.isolation.servers, ShouldBeEmpty)
		switchedOff := newTrainedTable(Disabled{Isolation: true}, "f0")
		switchedOff.recomputeIsolation(msAfterStart(1100))
		So(switchedOff.isolation.servers, ShouldBeEmpty)
	})
}
