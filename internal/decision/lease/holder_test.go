package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func confirmedHolder(version uint64, names ...string) *Holder {
	holder := NewHolder("a", ttl)
	holder.SetCores(cores)
	holder.SetRoster(roster(names...), nil)
	holder.AdvanceTo(version)
	holder.RecordGrant("c1", at(0), version, version)
	holder.RecordGrant("c2", at(0), version, version)
	return holder
}

func TestAuthorityByLease(t *testing.T) {
	Convey("Given a front that has just started", t, func() {
		holder := NewHolder("a", ttl)
		holder.SetCores(cores)
		holder.SetRoster(roster("a", "b", "c"), nil)
		holder.AdvanceTo(7)
		Convey("it has authority only once a majority of cores granted a lease for what it holds", func() {
			So(holder.Authority(at(0)).Granted, ShouldBeFalse)
			holder.RecordGrant("c1", at(0), 7, 6)
			So(holder.Unconfirmed(), ShouldBeTrue)
			holder.RecordGrant("c2", at(100), 7, 7)
			So(holder.Unconfirmed(), ShouldBeFalse)
			So(holder.Authority(at(200)), ShouldResemble, Authority{Granted: true, Source: SourceLease, Until: at(2000)})
		})
		Convey("peers' answers don't confirm it", func() {
			holder.RecordPingResponse("b", 1, at(0), 7, false)
			holder.RecordPingResponse("c", 1, at(0), 7, false)
			So(holder.Authority(at(100)).Granted, ShouldBeFalse)
		})
		Convey("an answer with a newer version, or to a request that was never sent, gives no lease", func() {
			holder.RecordGrant("c1", at(0), 7, 8)
			holder.RecordGrant("c2", at(0), 9, 7)
			holder.RecordGrant("c3", at(0), 9, 7)
			So(holder.Unconfirmed(), ShouldBeTrue)
			holder.RecordGrant("c3", at(0), 0, 0)
			So(holder.Unconfirmed(), ShouldBeTrue)
			So(holder.RenewedAt("c1").IsZero(), ShouldBeTrue)
		})
	})
	Convey("A lease counts from when the second newest request was sent", t, func() {
		holder := confirmedHolder(7, "a", "b", "c")
		holder.RecordGrant("c1", at(1500), 7, 7)
		So(holder.Authority(at(1999)).Until, ShouldEqual, at(2000))
		So(holder.Authority(at(2000)).Granted, ShouldBeFalse)
		So(holder.Authority(at(2000)).RetryAfter, ShouldEqual, time.Second)
		holder.RecordGrant("c3", at(1600), 7, 7)
		So(holder.Authority(at(2000)).Until, ShouldEqual, at(3500))
	})
	Convey("A version is never replaced by an older one", t, func() {
		holder := confirmedHolder(7, "a", "b", "c")
		holder.AdvanceTo(6)
		So(holder.Version(), ShouldEqual, 7)
	})
}

func TestAuthorityLastsUntilItsStatedEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		holder := confirmedHolder(7, names...)
		for range rapid.IntRange(0, 12).Draw(t, "contacts") {
			name := rapid.SampledFrom(names[1:]).Draw(t, "peer")
			when := at(rapid.IntRange(0, 4000).Draw(t, "when"))
			if rapid.Bool().Draw(t, "heard") {
				holder.RecordPingResponse(name, 1, when, 7, false)
			} else {
				holder.RecordRefusal(name, when)
			}
		}
		now := at(rapid.IntRange(0, 6000).Draw(t, "now"))
		authority := holder.Authority(now)
		if !authority.Granted {
			return
		}
		for ms := 0; now.Add(time.Duration(ms) * time.Millisecond).Before(authority.Until); ms += 50 {
			if !holder.Authority(now.Add(time.Duration(ms) * time.Millisecond)).Granted {
				t.Fatalf("granted until %v, lapsed %d ms after %v", authority.Until, ms, now)
			}
		}
		if holder.Authority(authority.Until).Granted && holder.Authority(authority.Until).Until.Equal(authority.Until) {
			t.Fatalf("still rules at its stated end")
		}
	})
}
