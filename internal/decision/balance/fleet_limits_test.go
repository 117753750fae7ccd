package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

func TestFleetLimits(t *testing.T) {
	Convey("Connections to a server are divided among the nodes", t, func() {
		balancer := newTestTable(newTestView(1, sheet.Service{MaxConnections: 12}, "f0", "f1", "f2", "f3"), Config{})
		for i := range 3 {
			request := newTestRequest(fmt.Sprint(i), 0)
			So(balancer.Choose(request, start).Server, ShouldEqual, "s0")
			balancer.StartAttempt("s0", request, start)
		}
		So(balancer.Choose(newTestRequest("more", 0), start).Wait, ShouldBeTrue)
		late := newTestRequest("late", 0)
		late.QueueUntil = start
		So(balancer.Choose(late, start).Err.Code, ShouldEqual, apierror.QueueFull)
	})
	Convey("All nodes together stay within the limit of a server in slow start in any second", t, func() {
		for _, nodes := range []int{1, 3, 9, 40} {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprintf("f%d", i))
			}
			var arrivals []int
			for _, name := range names {
				view := newTestView(1, sheet.Service{SlowStartRate: 17}, names...)
				view.Servers["s0"].ColdUntilMs = msAfterStart(5000).UnixMilli()
				balancer := newTestTable(view, Config{Self: name, SlowStartOverage: 1.5, SlowStartSlack: 5})
				for ms := range 5000 {
					request := newTestRequest(fmt.Sprint(ms), 0)
					if balancer.Choose(request, msAfterStart(ms)).Server == "" {
						continue
					}
					balancer.FinishAttempt(balancer.StartAttempt("s0", request, msAfterStart(ms)), OutcomeSucceeded, msAfterStart(ms))
					arrivals = append(arrivals, ms)
				}
			}
			perMS := make([]int, 6000)
			for _, ms := range arrivals {
				perMS[ms]++
			}
			maxPerSecond := 0
			for from := range 4000 {
				sum := 0
				for _, n := range perMS[from : from+1000] {
					sum += n
				}
				maxPerSecond = max(maxPerSecond, sum)
			}
			So(maxPerSecond, ShouldBeLessThanOrEqualTo, 17*1.5+5)
			So(maxPerSecond, ShouldBeGreaterThan, 10)
		}
	})
	Convey("Nodes that were restarted together and do not know each other yet stay within the limit too", t, func() {
		var members []string
		for i := range 91 {
			members = append(members, fmt.Sprintf("f%d", i))
		}
		maxArrivals := 0
		for serverIndex := range 4 {
			arrivals := 0
			for i, name := range members {
				view := newTestView(serverIndex+1, sheet.Service{SlowStartRate: 8.8}, members[i])
				if i >= 30 {
					view.Fronts = members
				}
				view.Members = members
				coldServer := fmt.Sprintf("s%d", serverIndex)
				view.Servers = map[string]*wire.ServerStatus{coldServer: view.Servers[coldServer]}
				view.Servers[coldServer].ColdUntilMs = msAfterStart(5000).UnixMilli()
				balancer := newTestTable(view, Config{Self: name, SlowStartOverage: 1.2, SlowStartSlack: 4})
				for ms := 0; ms < 1000; ms += 20 {
					request := newTestRequest(fmt.Sprint(ms), 0)
					if balancer.Choose(request, msAfterStart(ms)).Server == "" {
						continue
					}
					balancer.FinishAttempt(balancer.StartAttempt(coldServer, request, msAfterStart(ms)), OutcomeSucceeded, msAfterStart(ms))
					arrivals++
				}
			}
			maxArrivals = max(maxArrivals, arrivals)
		}
		So(maxArrivals, ShouldBeLessThanOrEqualTo, 8.8*1.2+4)
	})
	Convey("A server whose slow start has ended has no such limit", t, func() {
		view := newTestView(1, sheet.Service{SlowStartRate: 1})
		view.Servers["s0"].ColdUntilMs = msAfterStart(100).UnixMilli()
		balancer := newTestTable(view, Config{})
		for i := range 20 {
			request := newTestRequest(fmt.Sprint(i), 0)
			So(balancer.Choose(request, msAfterStart(100)).Server, ShouldEqual, "s0")
			balancer.StartAttempt("s0", request, msAfterStart(100))
		}
	})
	Convey("Retries stay within a fraction of the window's requests plus the node's share of the slack", t, func() {
		balancer := newTestTable(newTestView(3, sheet.Service{}, "f0", "f1"), Config{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
		retries := 0
		for i := range 100 {
			now := msAfterStart(i * 50)
			balancer.CountRequest("pool", now)
			request := newTestRequest(fmt.Sprint(i), 0)
			request.ExcludedServers = []string{"s0"}
			request.Retry = true
			choice := balancer.Choose(request, now)
			if choice.Err != nil {
				So(choice.Err.Code, ShouldEqual, apierror.RetryBudgetExhausted)
				So(choice.Err.RetryAfter, ShouldBeGreaterThan, 0)
				continue
			}
			retries++
			balancer.FinishAttempt(balancer.StartAttempt(choice.Server, request, now), OutcomeSucceeded, now)
		}
		So(retries, ShouldEqual, 25)
	})
}
