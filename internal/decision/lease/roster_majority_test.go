package lease

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestAuthorityByRosterMajority(t *testing.T) {
	Convey("Given a confirmed front of five, whose lease lapsed", t, func() {
		holder := confirmedHolder(7, "a", "b", "c", "d", "e")
		now := at(10_000)
		Convey("answers of more than half, none with a newer version, are enough", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
			holder.RecordPingResponse("c", 1, at(9500), 6, false)
			So(holder.Authority(now), ShouldResemble, Authority{Granted: true, Source: SourceRoster, Until: at(11_000)})
		})
		Convey("answers of half are not", func() {
			holder.SetRoster(roster("a", "b", "c", "d"), nil)
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("one answer with a newer version ends its authority for good", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			holder.RecordPingResponse("c", 1, at(9500), 8, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
			holder.RecordPingResponse("d", 1, at(9600), 7, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("so does a newer version in a peer's own ping", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			holder.RecordPingResponse("c", 1, at(9500), 7, false)
			holder.ObserveVersion(8)
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("an unconfirmed peer doesn't count", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			holder.RecordPingResponse("c", 2, at(9500), 0, true)
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("refusals in unbroken contact leave the count, until they are stale", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			for _, name := range []string{"c", "d"} {
				holder.RecordPingResponse(name, 1, at(8500), 7, false)
				holder.RecordRefusal(name, at(9500))
			}
			So(holder.Authority(now), ShouldResemble, Authority{Granted: true, Source: SourceRoster, Until: at(11_000)})
			holder.RecordPingResponse("b", 1, at(11_000), 7, false)
			So(holder.Authority(at(11_400)).Until, ShouldEqual, at(11_500))
			So(holder.Authority(at(11_500)).Granted, ShouldBeFalse)
		})
		Convey("a refusal after a time-out doesn't reduce the count", func() {
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			for _, name := range []string{"c", "d"} {
				holder.RecordPingResponse(name, 1, at(7000), 7, false)
				holder.RecordRefusal(name, at(9000))
				holder.RecordRefusal(name, at(9500))
			}
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("while a roster change isn't settled a majority of both rosters must answer", func() {
			holder.SetRoster(roster("a", "b", "c", "d", "e", "f", "g", "h"), roster("a", "b", "c", "d", "e"))
			holder.RecordPingResponse("b", 1, at(9000), 7, false)
			holder.RecordPingResponse("c", 1, at(9000), 7, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
			holder.RecordPingResponse("f", 1, at(9000), 7, false)
			holder.RecordPingResponse("g", 1, at(9100), 7, false)
			So(holder.Authority(now).Source, ShouldEqual, SourceRoster)
			holder.SetRoster(roster("a", "b", "c"), roster("x", "y", "z"))
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
		Convey("an answer to an earlier ping than the last one is dropped", func() {
			holder.RecordRefusal("b", at(9900))
			holder.RecordPingResponse("c", 1, at(9500), 7, false)
			holder.RecordPingResponse("c", 2, at(9600), 0, true)
			holder.RecordPingResponse("c", 1, at(9550), 7, false)
			holder.RecordPingResponse("b", 1, at(9800), 7, false)
			So(holder.Authority(now).Granted, ShouldBeFalse)
		})
	})
}
