package balance

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

func TestChoose(t *testing.T) {
	Convey("All nodes send requests that share a prefix to the same server", t, func() {
		for shared := uint64(1); shared < 50; shared++ {
			one := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f0"}).Choose(newTestRequest("a", shared), start)
			other := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f1"}).Choose(newTestRequest("b", shared), start)
			So(one.Server, ShouldEqual, other.Server)
		}
	})
	Convey("The removal of a server moves only its own prefixes", t, func() {
		full, less := newTestView(10, sheet.Service{}), newTestView(10, sheet.Service{})
		delete(less.Servers, "s3")
		for shared := uint64(1); shared < 100; shared++ {
			before := newTestTable(full, Config{}).Choose(newTestRequest("a", shared), start).Server
			after := newTestTable(less, Config{}).Choose(newTestRequest("a", shared), start).Server
			if before != "s3" {
				So(after, ShouldEqual, before)
			}
			So(after, ShouldNotEqual, "s3")
		}
	})
	Convey("A preferred server with a long prefill backlog is avoided for an idle one", t, func() {
		balancer := newTestTable(newTestView(10, sheet.Service{}), Config{})
		holder := balancer.Choose(newTestRequest("a", 7), start).Server
		big := newTestRequest("big", 99)
		big.OwnTokens = 60_000
		balancer.StartAttempt(holder, big, start)
		So(balancer.Choose(newTestRequest("b", 7), start).Server, ShouldNotEqual, holder)
	})
	Convey("Requests without a shared prefix stay in the region and are spread over its servers", t, func() {
		balancer, used := newTestTable(newTestView(10, sheet.Service{}), Config{}), map[string]int{}
		for i := range 10 {
			request := newTestRequest(fmt.Sprint(i), 0)
			choice := balancer.Choose(request, start)
			balancer.StartAttempt(choice.Server, request, start)
			used[choice.Server]++
		}
		So(used, ShouldHaveLength, 5)
		for _, count := range used {
			So(count, ShouldEqual, 2)
		}
	})
	Convey("Allowed regions hold whatever the cost", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		for i := range 20 {
			request := newTestRequest(fmt.Sprint(i), uint64(i))
			request.Regions = []string{"south"}
			So(balancer.Choose(request, start).Server, ShouldBeIn, "s1", "s3")
		}
		request := newTestRequest("x", 0)
		request.Regions = []string{"west"}
		So(balancer.Choose(request, start).Err.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("Draining, evacuated and unreachable servers get no requests", t, func() {
		view := newTestView(4, sheet.Service{})
		view.Servers["s0"].State = wire.ServerState_SERVER_STATE_DRAINING
		view.Servers["s1"].Reachable = false
		view.Servers["s2"].Zone = "empty"
		view.State.Evacuated = map[string]uint64{"north/empty": 1}
		balancer := newTestTable(view, Config{})
		for i := range 10 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), uint64(i)), start).Server, ShouldEqual, "s3")
		}
	})
}
