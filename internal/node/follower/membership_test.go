package follower

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestMemberState(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	peer := func(incarnation uint64) *wire.Process { return &wire.Process{Name: "peer", Incarnation: incarnation} }

	cases := []struct {
		name    string
		prepare func(m *membership)
		now     time.Time
		want    memberState
	}{
		{"nothing is known", func(*membership) {}, at(0), memberLive},
		{"a ping is unanswered for a short time", func(m *membership) {
			m.unansweredSince["peer"] = at(0)
		}, at(1.4), memberLive},
		{"a ping is unanswered for long", func(m *membership) {
			m.unansweredSince["peer"] = at(0)
		}, at(1.5), memberUnresponsive},
		{"the feed reports it as live after the unanswered ping", func(m *membership) {
			m.unansweredSince["peer"] = at(0)
			m.applyReport(&wire.Sight{Process: peer(1)}, at(1))
			m.feedAnsweredAt = at(1)
		}, at(2), memberLive},
		{"the feed reports it as unresponsive, and no ping was answered since", func(m *membership) {
			m.ping("peer").answeredAt = at(0)
			m.applyReport(&wire.Sight{Process: peer(1), Silent: true}, at(1))
			m.feedAnsweredAt = at(1)
		}, at(1), memberUnresponsive},
		{"it answered a ping after the feed reported it as left", func(m *membership) {
			m.applyReport(&wire.Sight{Process: peer(1), Gone: true}, at(0))
			m.ping("peer").answeredAt = at(1)
			m.feedAnsweredAt = at(1)
		}, at(2), memberLive},
		{"the feed that reported it as left is stale", func(m *membership) {
			m.applyReport(&wire.Sight{Process: peer(1), Gone: true}, at(0))
			m.feedAnsweredAt = at(0)
		}, at(4), memberLive},
		{"it refused a connection, and the feed reports the same incarnation as live", func(m *membership) {
			m.ping("peer").incarnation = 1
			m.ping("peer").refusedAt = at(0)
			m.applyReport(&wire.Sight{Process: peer(1)}, at(1))
			m.feedAnsweredAt = at(1)
		}, at(1), memberLeft},
		{"it refused a connection, and the feed reports a later incarnation", func(m *membership) {
			m.ping("peer").incarnation = 1
			m.ping("peer").refusedAt = at(0)
			m.applyReport(&wire.Sight{Process: peer(2)}, at(1))
			m.feedAnsweredAt = at(1)
		}, at(1), memberLive},
	}
	Convey("A member's state follows from the pings and the newer reports of the feed", t, func() {
		for _, testCase := range cases {
			Convey("where "+testCase.name, func() {
				members := newMembership("self")
				testCase.prepare(&members)
				So(members.state("peer", testCase.now), ShouldEqual, testCase.want)
			})
		}
		Convey("and the process itself is always live", func() {
			members := newMembership("self")
			members.unansweredSince["self"] = at(0)
			So(members.state("self", at(9)), ShouldEqual, memberLive)
		})
	})
}
