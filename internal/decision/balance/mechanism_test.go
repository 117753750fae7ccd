package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
)

func TestMechanisms(t *testing.T) {
	Convey("Mechanisms are switched off by their names, and unknown names are refused", t, func() {
		off, err := ParseDisabled([]string{"doubts", "suspects"})
		So(err, ShouldBeNil)
		So(off, ShouldResemble, Disabled{SuspicionCost: true, UnresponsiveReports: true})
		_, err = ParseDisabled([]string{"doubt"})
		So(err, ShouldNotBeNil)
	})
	Convey("Without affinity there is no preferred server, without ejection a refusing server is not ejected, without suspicion an error costs nothing", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{Disabled: Disabled{Affinity: true, Ejection: true, SuspicionCost: true}})
		So(balancer.preferredServer(newTestRequest("a", 7), start), ShouldBeNil)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("b", 0), start), OutcomeRefused, start)
		So(balancer.servers["s0"].ejection.ejected(at(1)), ShouldBeFalse)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("c", 0), start), OutcomeServerError, start)
		So(balancer.cost(balancer.servers["s0"], newTestRequest("d", 0), nil, at(1)), ShouldBeLessThan, 10)
	})
}
