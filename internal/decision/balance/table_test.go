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
			first := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f0"}).Choose(newTestRequest("a", shared), start)
			second := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f1"}).Choose(newTestRequest("b", shared), start)
			So(first.Server, ShouldEqual, second.Server)
		}
	})
	Convey("Removing a server reassigns only the prefixes that were assigned to it", t, func() {
		full, reduced := newTestView(10, sheet.Service{}), newTestView(10, sheet.Service{})
		delete(reduced.Servers, "s3")
		for shared := uint64(1); shared < 100; shared++ {
			before := newTestTable(full, Config{}).Choose(newTestRequest("a", shared), start).Server
			after := newTestTable(reduced, Config{}).Choose(newTestRequest("a", shared), start).Server
			if before != "s3" {
				So(after, ShouldEqual, before)
			}
			So(after, ShouldNotEqual, "s3")
		}
	})
	Convey("An idle server is chosen over a preferred server with a long prefill backlog", t, func() {
		balancer := newTestTable(newTestView(10, sheet.Service{}), Config{})
		preferred := balancer.Choose(newTestRequest("a", 7), start).Server
		longPrompt := newTestRequest("big", 99)
		longPrompt.UnsharedTokens = 60_000
		balancer.StartAttempt(preferred, longPrompt, start)
		So(balancer.Choose(newTestRequest("b", 7), start).Server, ShouldNotEqual, preferred)
	})
	Convey("Requests without a shared prefix stay in the region and are spread over its servers", t, func() {
		balancer, requestsByServer := newTestTable(newTestView(10, sheet.Service{}), Config{}), map[string]int{}
		for i := range 10 {
			request := newTestRequest(fmt.Sprint(i), 0)
			choice := balancer.Choose(request, start)
			balancer.StartAttempt(choice.Server, request, start)
			requestsByServer[choice.Server]++
		}
		So(requestsByServer, ShouldHaveLength, 5)
		for _, count := range requestsByServer {
			So(count, ShouldEqual, 2)
		}
	})
	Convey("Requests stay within their allowed regions regardless of cost", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		for i := range 20 {
			request := newTestRequest(fmt.Sprint(i), uint64(i))
			request.AllowedRegions = []string{"south"}
			So(balancer.Choose(request, start).Server, ShouldBeIn, "s1", "s3")
		}
		request := newTestRequest("x", 0)
		request.AllowedRegions = []string{"west"}
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
