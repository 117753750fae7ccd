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
	digest := func(id string, shared uint64) *Request {
		request := newTestRequest(id, shared)
		request.Route = "digest"
		request.MaxEventGap = 400 * time.Millisecond
		request.OwnTokens = 9000
		request.OutputTokens = 60
		return request
	}
	reply := func(id string) *Request {
		request := newTestRequest(id, 0)
		request.Route = "reply"
		request.MaxEventGap = 400 * time.Millisecond
		request.OwnTokens = 2000
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
	learned := func(off Disabled, name string) *Table {
		balancer := newTestTable(newTestView(60, sheet.Service{}), Config{Self: name, Disabled: off})
		for i := range 10 {
			serve(balancer, digest(fmt.Sprint(i), uint64(i+1)), at(i*100))
			serve(balancer, reply(fmt.Sprint(i)), at(i*100))
		}
		return balancer
	}
	Convey("Decode-heavy routes use servers of each region that long prompts avoid, the same at all nodes", t, func() {
		one, other := learned(nil, "f0"), learned(nil, "f1")
		one.isolate(at(1100))
		other.isolate(at(1100))
		So(one.isolation.servers, ShouldNotBeEmpty)
		So(one.isolation.servers, ShouldResemble, other.isolation.servers)
		regions := map[string]int{}
		for name := range one.isolation.servers {
			regions[one.servers[name].status.Region]++
		}
		So(regions, ShouldResemble, map[string]int{"north": 3, "south": 3})
		for i := range 50 {
			So(one.isolation.servers[serve(one, reply(fmt.Sprint("r", i)), at(1200))], ShouldBeTrue)
			So(one.isolation.servers[serve(other, digest(fmt.Sprint("d", i), uint64(i+50)), at(1200))], ShouldBeFalse)
		}
	})
	Convey("When isolated servers become unreachable, others serve and others are isolated", t, func() {
		balancer := learned(nil, "f0")
		balancer.isolate(at(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].Reachable = false
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, at(1200))
		choice := balancer.Choose(reply("a"), at(1200))
		So(before[choice.Server], ShouldBeFalse)
		So(balancer.isolation.servers[choice.Server], ShouldBeTrue)
	})
	Convey("While an isolated server is overloaded, decode-heavy routes go wherever it costs least, and long prompts still avoid it", t, func() {
		for name, overload := range map[string]func(*Table, *Attempt){
			"rejects": func(balancer *Table, a *Attempt) { balancer.FinishAttempt(a, OutcomeRejected, at(1300)) },
			"is slow": func(balancer *Table, a *Attempt) { balancer.ResponseStarted(a, at(2600)) },
		} {
			balancer := learned(nil, "f0")
			balancer.isolate(at(1100))
			first := reply("first")
			attempt := balancer.StartAttempt(balancer.Choose(first, at(1200)).Server, first, at(1200))
			overload(balancer, attempt)
			others := map[bool]int{}
			for i := range 60 {
				request := reply(fmt.Sprint(name, i))
				choice := balancer.Choose(request, at(2700))
				balancer.StartAttempt(choice.Server, request, at(2700))
				others[balancer.isolation.servers[choice.Server]]++
			}
			So(others[false], ShouldBeGreaterThan, 30)
			So(balancer.isolation.servers[serve(balancer, digest("d", 99), at(2700))], ShouldBeFalse)
			So(balancer.misplaced(balancer.servers["s0"], reply("later"), at(6000)), ShouldEqual, !balancer.isolation.servers["s0"])
		}
	})
	Convey("A server in slow start is not isolated", t, func() {
		balancer := learned(nil, "f0")
		balancer.isolate(at(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].ColdUntilMs = at(9000).UnixMilli()
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, at(1200))
		So(balancer.isolation.servers, ShouldNotBeEmpty)
		for name := range balancer.isolation.servers {
			So(before[name], ShouldBeFalse)
		}
	})
	Convey("No server is isolated while routes are unknown, where all are alike, in small pools, and when isolation is switched off", t, func() {
		fresh := newTestTable(newTestView(60, sheet.Service{}), Config{})
		fresh.isolate(start)
		So(fresh.isolation.servers, ShouldBeEmpty)
		alike := newTestTable(newTestView(60, sheet.Service{}), Config{})
		for i := range 20 {
			serve(alike, reply(fmt.Sprint(i)), at(i*100))
		}
		alike.isolate(at(2000))
		So(alike.isolation.servers, ShouldBeEmpty)
		small := learned(nil, "f0")
		small.Update(newTestView(6, sheet.Service{}), at(1100))
		So(small.isolation.servers, ShouldBeEmpty)
		off := learned(Disabled{Isolation: true}, "f0")
		off.isolate(at(1100))
		So(off.isolation.servers, ShouldBeEmpty)
	})
}
