package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/wire"
)

func TestTable(t *testing.T) {
	Convey("Given a core that learned version 5", t, func() {
		table := NewTable("c1", ttl, at(0))
		So(table.Renew(renewal("a", 1, 5), 5, at(100)).Granted, ShouldBeTrue)
		Convey("it grants leases only to members that confirmed it", func() {
			resp := table.Renew(renewal("b", 1, 4), 5, at(100))
			So(resp.Granted, ShouldBeFalse)
			So(resp.Learned, ShouldEqual, 5)
			So(table.Renew(renewal("b", 1, 0), 0, at(100)).Granted, ShouldBeFalse)
		})
		Convey("a lease stays unconfirmed until it expires", func() {
			So(table.View(6, 6, at(1000)).Waiting, ShouldResemble, []string{"a#1"})
			So(table.Renew(renewal("a", 1, 5), 6, at(1000)).Granted, ShouldBeFalse)
			So(table.View(6, 6, at(2099)).Waiting, ShouldResemble, []string{"a#1"})
			So(table.View(6, 6, at(2100)).Waiting, ShouldBeEmpty)
		})
		Convey("a refusal ends it at once, a time-out and another incarnation's refusal don't", func() {
			table.RecordRefusal(MemberID{"a", 0}, at(1000))
			So(table.HasLease("a", at(1000)), ShouldBeTrue)
			table.RecordRefusal(MemberID{"a", 1}, at(1000))
			view := table.View(6, 6, at(1000))
			So(view.Waiting, ShouldBeEmpty)
			So(view.Gone, ShouldResemble, []string{"a"})
			So(table.View(6, 6, at(3000)).Gone, ShouldBeEmpty)
		})
		Convey("a later incarnation ends the lease of the one before; an earlier one gets none", func() {
			table.RecordPingResponse("a", 2, at(1000))
			So(table.HasLease("a", at(1000)), ShouldBeFalse)
			So(table.Renew(renewal("a", 1, 5), 5, at(1000)).Granted, ShouldBeFalse)
			So(table.Renew(renewal("a", 2, 5), 5, at(1000)).Granted, ShouldBeTrue)
		})
		Convey("a renewal without a record counts for a known incarnation; of any other the record is requested", func() {
			brief := func(name string, incarnation uint64) *wire.RenewRequest {
				return &wire.RenewRequest{Name: name, Incarnation: incarnation, Epoch: 5}
			}
			So(table.Renew(brief("a", 1), 5, at(600)).Granted, ShouldBeTrue)
			So(table.HasLease("a", at(2500)), ShouldBeTrue)
			for _, req := range []*wire.RenewRequest{brief("b", 1), brief("a", 2)} {
				resp := table.Renew(req, 5, at(700))
				So(resp.Who, ShouldBeTrue)
				So(resp.Granted, ShouldBeFalse)
				So(resp.Learned, ShouldEqual, 0)
			}
			table.RecordPingResponse("a", 2, at(800))
			So(table.Renew(brief("a", 1), 5, at(900)).Who, ShouldBeTrue)
			So(table.Renew(brief("a", 2), 5, at(900)).Who, ShouldBeTrue)
			So(table.Renew(renewal("a", 2, 5), 5, at(900)).Granted, ShouldBeTrue)
		})
		Convey("its part of the check is met once no lease is below the version and more than half of those that don't refuse hold one", func() {
			members := roster("a", "b", "c", "d")
			table.Renew(renewal("b", 1, 5), 5, at(100))
			So(table.ConfirmedAt(5, members, at(200)), ShouldBeFalse)
			table.RecordRefusal(MemberID{"d", 0}, at(200))
			So(table.ConfirmedAt(5, members, at(200)), ShouldBeTrue)
			So(table.ConfirmedAt(6, members, at(200)), ShouldBeFalse)
			So(table.ConfirmedAt(5, members, at(2100)), ShouldBeFalse)
			So(table.MemberView("a", 5, at(200)).Confirmed, ShouldResemble, []string{MemberID{"a", 1}.String()})
			So(table.MemberView("a", 5, at(2100)).Confirmed, ShouldBeEmpty)
		})
		Convey("a released incarnation is granted no lease again, a later one is", func() {
			table.Release("a", 1, at(200))
			So(table.HasLease("a", at(210)), ShouldBeFalse)
			So(table.Renew(renewal("a", 1, 5), 5, at(220)).Granted, ShouldBeFalse)
			So(table.HasLease("a", at(230)), ShouldBeFalse)
			So(table.Renew(renewal("a", 2, 5), 5, at(240)).Granted, ShouldBeTrue)
		})
		Convey("its startup grace is over once it has been up for longer than a TTL", func() {
			So(table.View(5, 5, at(2000)).Settled, ShouldBeFalse)
			So(table.View(5, 5, at(2001)).Settled, ShouldBeTrue)
		})
		Convey("unlisted members renew; refusing members refused without interruption", func() {
			So(table.UnlistedMembers(roster("b"), at(200)), ShouldResemble, []sheet.Member{{Name: "a", Front: true}})
			for ms := 1000; ms <= 61000; ms += 1000 {
				table.RecordRefusal(MemberID{"b", 0}, at(ms))
				table.RecordRefusal(MemberID{"z", 0}, at(ms))
			}
			So(table.RefusingMembers(roster("b"), time.Minute, at(61000)), ShouldResemble, []string{"b"})
			So(table.RefusingMembers(roster("b"), time.Minute, at(63000)), ShouldBeEmpty)
			table.RecordRefusal(MemberID{"b", 0}, at(64000))
			So(table.RefusingMembers(roster("b"), time.Minute, at(64000)), ShouldBeEmpty)
		})
		Convey("members without recent contact are ping targets", func() {
			So(table.PingTargets(roster("a", "b"), 700*time.Millisecond, at(700)), ShouldResemble, []MemberID{{"b", 0}})
			So(table.PingTargets(roster("a", "b"), 700*time.Millisecond, at(800)), ShouldResemble, []MemberID{{"a", 1}, {"b", 0}})
		})
	})
}
