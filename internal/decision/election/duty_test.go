package election

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
)

func TestDuty(t *testing.T) {
	voters := []string{"c1", "c2", "c3"}
	held := sheet.Duty{Term: 4, Holder: "c1"}
	Convey("A duty that nobody held is vacant", t, func() {
		So(Vacant(sheet.Duty{}, voters, nil), ShouldBeTrue)
	})
	Convey("A held one is vacant when a majority finds its holder gone", t, func() {
		So(Vacant(held, voters, []Observation{{"c2", false}, {"c3", false}}), ShouldBeTrue)
		So(Vacant(held, voters, []Observation{{"c2", false}, {"c3", true}}), ShouldBeFalse)
		So(Vacant(held, voters, []Observation{{"c2", false}, {"c2", false}, {"f9", false}}), ShouldBeFalse)
		So(Vacant(held, voters, nil), ShouldBeFalse)
	})
	Convey("The cores take turns, the last holder comes last", t, func() {
		for core, turn := range map[string]time.Duration{"c2": 0, "c3": time.Second, "c1": 2 * time.Second} {
			wait, ok := CandidateDelay(core, held, voters, time.Second)
			So(ok, ShouldBeTrue)
			So(wait, ShouldEqual, turn)
		}
		_, ok := CandidateDelay("f9", held, voters, time.Second)
		So(ok, ShouldBeFalse)
	})
}
