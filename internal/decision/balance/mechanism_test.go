package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
)

func TestMechanisms(t *testing.T) {
	Convey("Mechanisms are disabled by name, and unknown names are rejected", t, func() {
		disabled, err := ParseDisabled([]string{"doubts", "suspects"})
		So(err, ShouldBeNil)
		So(disabled, ShouldResemble, Disabled{SuspicionCost: true, UnresponsiveReports: true})
		_, err = ParseDisabled([]string{"doubt"})
		So(err, ShouldNotBeNil)
	})
	Convey("Without affinity no server is preferred, without ejection a refused connection ejects no server, without suspicion cost a server error adds no cost", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{Disabled: Disabled{Affinity: true, Ejection: true, SuspicionCost: true}})
		So(balancer.preferredServer(newTestRequest("a", 7), start), ShouldBeNil)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("b", 0), start), OutcomeRefused, start)
		So(balancer.servers["s0"].ejection.ejected(msAfterStart(1)), ShouldBeFalse)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("c", 0), start), OutcomeServerError, start)
		So(balancer.cost(balancer.servers["s0"], newTestRequest("d", 0), nil, msAfterStart(1)), ShouldBeLessThan, 10)
	})
}
