package election

import (
	"testing"
	"time"

	"stepwick/internal/decision/statemachine"

	. "github.com/smartystreets/goconvey/convey"
)

func TestElection(t *testing.T) {
	voters := []string{"c1", "c2", "c3"}
	role := statemachine.RoleTerm{Term: 4, Holder: "c1"}
	Convey("A role that never had a leader is vacant", t, func() {
		So(Vacant(statemachine.RoleTerm{}, voters, nil), ShouldBeTrue)
	})
	Convey("A role is vacant if a majority of the voters observes that its leader is lost", t, func() {
		So(Vacant(role, voters, []Observation{{"c2", false}, {"c3", false}}), ShouldBeTrue)
		So(Vacant(role, voters, []Observation{{"c2", false}, {"c3", true}}), ShouldBeFalse)
		So(Vacant(role, voters, []Observation{{"c2", false}, {"c2", false}, {"f9", false}}), ShouldBeFalse)
		So(Vacant(role, voters, nil), ShouldBeFalse)
	})
	Convey("Candidates are delayed by rank, and the last leader ranks last", t, func() {
		for core, expected := range map[string]time.Duration{"c2": 0, "c3": time.Second, "c1": 2 * time.Second} {
			delay, isVoter := CandidateDelay(core, role, voters, time.Second)
			So(isVoter, ShouldBeTrue)
			So(delay, ShouldEqual, expected)
		}
		_, isVoter := CandidateDelay("f9", role, voters, time.Second)
		So(isVoter, ShouldBeFalse)
	})
}
