package lease

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestVersionConfirmed(t *testing.T) {
	view := func(core string, confirmed, waiting, gone []string) *wire.LeaseViewResponse {
		return &wire.LeaseViewResponse{Core: core, Learned: 9, Settled: true, Confirmed: confirmed, Waiting: waiting, Gone: gone}
	}
	Convey("Given two of three cores that learned version 9, and a roster of five", t, func() {
		check := ConfirmationCheck{Version: 9, Voters: 3, Roster: roster("a", "b", "c", "d", "e")}
		missing := func(views ...*wire.LeaseViewResponse) string {
			check.Views = views
			_, missing := VersionConfirmed(check)
			return missing
		}
		three := []string{"a#1", "b#1", "c#1"}
		Convey("a version confirmed by three is in force once the leases of two have expired", func() {
			So(missing(view("c1", three, nil, nil), view("c2", three, nil, nil)), ShouldEqual, "")
		})
		Convey("one core is not enough, nor twice the same, nor one that is behind or not settled", func() {
			So(missing(view("c1", three, nil, nil)), ShouldEqual, "learned and settled at 1 of 3 cores")
			So(missing(view("c1", three, nil, nil), view("c1", three, nil, nil)), ShouldEqual, "learned and settled at 1 of 3 cores")
			behind := view("c2", three, nil, nil)
			behind.Learned = 8
			young := view("c3", three, nil, nil)
			young.Settled = false
			So(missing(view("c1", three, nil, nil), behind, young), ShouldEqual, "learned and settled at 1 of 3 cores")
		})
		Convey("an unconfirmed lease is waited for, unless that incarnation confirmed elsewhere or a later one renews", func() {
			So(missing(view("c1", three, []string{"d#1"}, nil), view("c2", three, nil, nil)), ShouldEqual, "leases not confirmed and not lapsed: d")
			So(missing(view("c1", three, []string{"d#1"}, nil), view("c2", append(three, "d#1"), nil, nil)), ShouldEqual, "")
			So(missing(view("c1", three, []string{"d#1"}, nil), view("c2", append(three, "d#2"), nil, nil)), ShouldEqual, "")
			So(missing(view("c1", three, []string{"d#2"}, nil), view("c2", append(three, "d#1"), nil, nil)), ShouldEqual, "leases not confirmed and not lapsed: d")
		})
		Convey("half of the roster is not enough, unless the others refuse", func() {
			two := three[:2]
			So(missing(view("c1", two, nil, nil), view("c2", two, nil, nil)), ShouldEqual, "confirmed by 2 of 5 of the roster")
			So(missing(view("c1", two, nil, []string{"d"}), view("c2", two, nil, []string{"e"})), ShouldEqual, "")
			So(missing(view("c1", two, nil, []string{"d"}), view("c2", two, nil, nil)), ShouldEqual, "confirmed by 2 of 4 of the roster")
		})
		Convey("a member that refuses one core and is granted by another counts as neither dead nor confirmed", func() {
			So(missing(view("c1", three[:2], nil, []string{"c"}), view("c2", three, nil, nil)), ShouldEqual, "confirmed by 2 of 5 of the roster")
		})
		Convey("a confirmation of a former incarnation settles no roster change", func() {
			check.Views = []*wire.LeaseViewResponse{view("c1", three[:2], []string{"c#2"}, nil), view("c2", three, nil, nil)}
			confirmed, missing := RosterChangeConfirmed(check)
			So(confirmed, ShouldBeFalse)
			So(missing, ShouldEqual, "confirmed by 2 of 5 of the roster")
		})
		Convey("while a change isn't settled the prior roster must have confirmed too", func() {
			check.PriorRoster = roster("a", "f", "g")
			So(missing(view("c1", three, nil, nil), view("c2", three, nil, nil)), ShouldEqual, "confirmed by 1 of 3 of the prior roster")
			confirmed, _ := RosterChangeConfirmed(check)
			So(confirmed, ShouldBeFalse)
			So(missing(view("c1", append(three, "f#1"), nil, nil), view("c2", three, nil, nil)), ShouldEqual, "")
		})
	})
}
