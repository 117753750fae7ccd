package lease

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const ttl = 2 * time.Second

var (
	begin = time.UnixMilli(1_700_000_000_000)
	cores = []string{"c1", "c2", "c3"}
)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func roster(names ...string) map[string]statemachine.Member {
	members := map[string]statemachine.Member{}
	for _, name := range names {
		members[name] = statemachine.Member{Name: name, Front: true}
	}
	return members
}

func confirmed(version uint64, names ...string) *Holder {
	h := NewHolder("a", ttl)
	h.SetCores(cores)
	h.SetRoster(roster(names...), nil)
	h.Confirm(version)
	h.Renewed("c1", at(0), version, version)
	h.Renewed("c2", at(0), version, version)
	return h
}

func TestHolderByLease(t *testing.T) {
	Convey("Given a front that has just started", t, func() {
		h := NewHolder("a", ttl)
		h.SetCores(cores)
		h.SetRoster(roster("a", "b", "c"), nil)
		h.Confirm(7)
		Convey("it rules only once a majority of cores granted what it holds", func() {
			So(h.Ruling(at(0)).Ruling, ShouldBeFalse)
			h.Renewed("c1", at(0), 7, 6)
			So(h.Unconfirmed(), ShouldBeTrue)
			h.Renewed("c2", at(100), 7, 7)
			So(h.Unconfirmed(), ShouldBeFalse)
			So(h.Ruling(at(200)), ShouldResemble, Verdict{Ruling: true, By: ByLease, Until: at(2000)})
		})
		Convey("peers' words don't confirm it", func() {
			h.Heard("b", 1, at(0), 7, false)
			h.Heard("c", 1, at(0), 7, false)
			So(h.Ruling(at(100)).Ruling, ShouldBeFalse)
		})
		Convey("a core that knows a newer epoch, or an answer to a question it never asked, gives no lease", func() {
			h.Renewed("c1", at(0), 7, 8)
			h.Renewed("c2", at(0), 9, 7)
			h.Renewed("c3", at(0), 9, 7)
			So(h.Unconfirmed(), ShouldBeTrue)
			h.Renewed("c3", at(0), 0, 0)
			So(h.Unconfirmed(), ShouldBeTrue)
			So(h.RenewedAt("c1").IsZero(), ShouldBeTrue)
		})
	})
	Convey("A lease counts from when the second newest request was sent", t, func() {
		h := confirmed(7, "a", "b", "c")
		h.Renewed("c1", at(1500), 7, 7)
		So(h.Ruling(at(1999)).Until, ShouldEqual, at(2000))
		So(h.Ruling(at(2000)).Ruling, ShouldBeFalse)
		So(h.Ruling(at(2000)).RetryAfter, ShouldEqual, time.Second)
		h.Renewed("c3", at(1600), 7, 7)
		So(h.Ruling(at(2000)).Until, ShouldEqual, at(3500))
	})
	Convey("An epoch is never given up for an older one", t, func() {
		h := confirmed(7, "a", "b", "c")
		h.Confirm(6)
		So(h.Version(), ShouldEqual, 7)
	})
}

func TestHolderByRoster(t *testing.T) {
	Convey("Given a confirmed front of five, whose lease lapsed", t, func() {
		h := confirmed(7, "a", "b", "c", "d", "e")
		now := at(10_000)
		Convey("more than half heard, none newer, is enough", func() {
			h.Heard("b", 1, at(9000), 7, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
			h.Heard("c", 1, at(9500), 6, false)
			So(h.Ruling(now), ShouldResemble, Verdict{Ruling: true, By: ByRoster, Until: at(11_000)})
		})
		Convey("half is not", func() {
			h.SetRoster(roster("a", "b", "c", "d"), nil)
			h.Heard("b", 1, at(9000), 7, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("one that knows a newer epoch ends it for good", func() {
			h.Heard("b", 1, at(9000), 7, false)
			h.Heard("c", 1, at(9500), 8, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
			h.Heard("d", 1, at(9600), 7, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("so does word of one in a peer's own ping", func() {
			h.Heard("b", 1, at(9000), 7, false)
			h.Heard("c", 1, at(9500), 7, false)
			h.Known(8)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("an unconfirmed peer doesn't count", func() {
			h.Heard("b", 1, at(9000), 7, false)
			h.Heard("c", 2, at(9500), 0, true)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("refusals in unbroken contact leave the count, until they are stale", func() {
			h.Heard("b", 1, at(9000), 7, false)
			for _, name := range []string{"c", "d"} {
				h.Heard(name, 1, at(8500), 7, false)
				h.Refused(name, at(9500))
			}
			So(h.Ruling(now), ShouldResemble, Verdict{Ruling: true, By: ByRoster, Until: at(11_000)})
			h.Heard("b", 1, at(11_000), 7, false)
			So(h.Ruling(at(11_400)).Until, ShouldEqual, at(11_500))
			So(h.Ruling(at(11_500)).Ruling, ShouldBeFalse)
		})
		Convey("a refusal after silence leaves nothing", func() {
			h.Heard("b", 1, at(9000), 7, false)
			for _, name := range []string{"c", "d"} {
				h.Heard(name, 1, at(7000), 7, false)
				h.Refused(name, at(9000))
				h.Refused(name, at(9500))
			}
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("while a roster change isn't settled both rosters must be heard", func() {
			h.SetRoster(roster("a", "b", "c", "d", "e", "f", "g", "h"), roster("a", "b", "c", "d", "e"))
			h.Heard("b", 1, at(9000), 7, false)
			h.Heard("c", 1, at(9000), 7, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
			h.Heard("f", 1, at(9000), 7, false)
			h.Heard("g", 1, at(9100), 7, false)
			So(h.Ruling(now).By, ShouldEqual, ByRoster)
			h.SetRoster(roster("a", "b", "c"), roster("x", "y", "z"))
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
		Convey("an answer to an earlier ping than the last one is dropped", func() {
			h.Refused("b", at(9900))
			h.Heard("c", 1, at(9500), 7, false)
			h.Heard("c", 2, at(9600), 0, true)
			h.Heard("c", 1, at(9550), 7, false)
			h.Heard("b", 1, at(9800), 7, false)
			So(h.Ruling(now).Ruling, ShouldBeFalse)
		})
	})
}

func TestVerdictHoldsUntilItsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		h := confirmed(7, names...)
		for range rapid.IntRange(0, 12).Draw(t, "signs") {
			name := rapid.SampledFrom(names[1:]).Draw(t, "peer")
			when := at(rapid.IntRange(0, 4000).Draw(t, "when"))
			if rapid.Bool().Draw(t, "heard") {
				h.Heard(name, 1, when, 7, false)
			} else {
				h.Refused(name, when)
			}
		}
		now := at(rapid.IntRange(0, 6000).Draw(t, "now"))
		verdict := h.Ruling(now)
		if !verdict.Ruling {
			return
		}
		for ms := 0; now.Add(time.Duration(ms) * time.Millisecond).Before(verdict.Until); ms += 50 {
			if !h.Ruling(now.Add(time.Duration(ms) * time.Millisecond)).Ruling {
				t.Fatalf("promised until %v, lapsed %d ms after %v", verdict.Until, ms, now)
			}
		}
		if h.Ruling(verdict.Until).Ruling && h.Ruling(verdict.Until).Until.Equal(verdict.Until) {
			t.Fatalf("still rules at the end of its promise")
		}
	})
}

func renewal(name string, life, version uint64) *wire.RenewRequest {
	return &wire.RenewRequest{Self: &wire.Process{Name: name, Incarnation: life, Front: true}, Epoch: version}
}

func TestSights(t *testing.T) {
	Convey("Given a core that tells of a process on the roster and of one that is not", t, func() {
		l, s, members := NewLedger("c1", ttl, at(0)), NewSights(), roster("a", "b")
		l.Renew(renewal("a", 1, 5), 5, at(100))
		l.Renew(renewal("z", 1, 5), 5, at(100))
		So(s.LookAll(l, members, at(100)), ShouldHaveLength, 2)
		Convey("what was told is not told again, whatever the counter", func() {
			again := renewal("a", 1, 5)
			again.Self.Counter = 9
			l.Renew(again, 5, at(600))
			So(s.LookAll(l, members, at(600)), ShouldBeEmpty)
		})
		Convey("readiness, a later life, silence and loss are each told once", func() {
			ready := renewal("a", 1, 5)
			ready.Self.Ready = true
			l.Renew(ready, 5, at(600))
			So(s.Look(l, "a", members, at(600)).Process.Ready, ShouldBeTrue)
			l.Renew(renewal("a", 2, 5), 5, at(700))
			So(s.Look(l, "a", members, at(700)).Process.Incarnation, ShouldEqual, 2)
			So(s.Look(l, "a", members, at(2700)).Silent, ShouldBeTrue)
			So(s.Look(l, "a", members, at(2800)), ShouldBeNil)
			l.Gone("a", 2, at(2900))
			So(s.Look(l, "a", members, at(2900)).Gone, ShouldBeTrue)
			So(s.Look(l, "a", members, at(2900)), ShouldBeNil)
		})
		Convey("an older record that comes late doesn't undo a newer one", func() {
			late, ready := renewal("a", 1, 5), renewal("a", 1, 5)
			late.Self.Counter, late.Self.Zone = 1, "old"
			ready.Self.Counter, ready.Self.Ready = 2, true
			l.Renew(ready, 5, at(600))
			l.Renew(late, 5, at(700))
			So(s.Look(l, "a", members, at(700)).Process.Ready, ShouldBeTrue)
		})
		Convey("a member that never came is silent once the core is settled", func() {
			So(s.Look(l, "b", members, at(2000)), ShouldBeNil)
			So(s.Look(l, "b", members, at(2001)).Silent, ShouldBeTrue)
		})
		Convey("one that left and is on no roster is told gone, then forgotten", func() {
			l.Release("z", 1, at(200))
			So(s.Look(l, "z", members, at(200)).Gone, ShouldBeTrue)
			l.Expire(at(61_000))
			So(s.Look(l, "z", members, at(61_000)), ShouldBeNil)
			for _, sight := range s.Told() {
				So(sight.Process.Name, ShouldNotEqual, "z")
			}
		})
	})
}

func TestLedger(t *testing.T) {
	Convey("Given a core that learned epoch 5", t, func() {
		l := NewLedger("c1", ttl, at(0))
		So(l.Renew(renewal("a", 1, 5), 5, at(100)).Granted, ShouldBeTrue)
		Convey("it gives leases only to what has confirmed that", func() {
			resp := l.Renew(renewal("b", 1, 4), 5, at(100))
			So(resp.Granted, ShouldBeFalse)
			So(resp.Learned, ShouldEqual, 5)
			So(l.Renew(renewal("b", 1, 0), 0, at(100)).Granted, ShouldBeFalse)
		})
		Convey("a lease stands unconfirmed until it lapses", func() {
			So(l.View(6, 6, at(1000)).Waiting, ShouldResemble, []string{"a#1"})
			So(l.Renew(renewal("a", 1, 5), 6, at(1000)).Granted, ShouldBeFalse)
			So(l.View(6, 6, at(2099)).Waiting, ShouldResemble, []string{"a#1"})
			So(l.View(6, 6, at(2100)).Waiting, ShouldBeEmpty)
		})
		Convey("a refusal ends it at once, silence and another life's refusal don't", func() {
			l.Gone("a", 0, at(1000))
			So(l.Live("a", at(1000)), ShouldBeTrue)
			l.Gone("a", 1, at(1000))
			view := l.View(6, 6, at(1000))
			So(view.Waiting, ShouldBeEmpty)
			So(view.Gone, ShouldResemble, []string{"a"})
			So(l.View(6, 6, at(3000)).Gone, ShouldBeEmpty)
		})
		Convey("a later life ends the lease of the one before; an earlier one gets nothing", func() {
			l.Heard("a", 2, at(1000))
			So(l.Live("a", at(1000)), ShouldBeFalse)
			So(l.Renew(renewal("a", 1, 5), 5, at(1000)).Granted, ShouldBeFalse)
			So(l.Renew(renewal("a", 2, 5), 5, at(1000)).Granted, ShouldBeTrue)
		})
		Convey("a renewal without a record counts for a life that is known, and is asked for it else", func() {
			brief := func(name string, life uint64) *wire.RenewRequest {
				return &wire.RenewRequest{Name: name, Incarnation: life, Epoch: 5}
			}
			So(l.Renew(brief("a", 1), 5, at(600)).Granted, ShouldBeTrue)
			So(l.Live("a", at(2500)), ShouldBeTrue)
			for _, req := range []*wire.RenewRequest{brief("b", 1), brief("a", 2)} {
				resp := l.Renew(req, 5, at(700))
				So(resp.Who, ShouldBeTrue)
				So(resp.Granted, ShouldBeFalse)
				So(resp.Learned, ShouldEqual, 0)
			}
			l.Heard("a", 2, at(800))
			So(l.Renew(brief("a", 1), 5, at(900)).Who, ShouldBeTrue)
			So(l.Renew(brief("a", 2), 5, at(900)).Who, ShouldBeTrue)
			So(l.Renew(renewal("a", 2, 5), 5, at(900)).Granted, ShouldBeTrue)
		})
		Convey("its part of the rule holds once no lease stands below the epoch and more than half of those that don't refuse have one", func() {
			members := roster("a", "b", "c", "d")
			l.Renew(renewal("b", 1, 5), 5, at(100))
			So(l.Whole(5, members, at(200)), ShouldBeFalse)
			l.Gone("d", 0, at(200))
			So(l.Whole(5, members, at(200)), ShouldBeTrue)
			So(l.Whole(6, members, at(200)), ShouldBeFalse)
			So(l.Whole(5, members, at(2100)), ShouldBeFalse)
			So(l.About("a", 5, at(200)).Confirmed, ShouldResemble, []string{MemberID("a", 1)})
			So(l.About("a", 5, at(2100)).Confirmed, ShouldBeEmpty)
		})
		Convey("a released life is granted nothing more, a later one is", func() {
			l.Release("a", 1, at(200))
			So(l.Live("a", at(210)), ShouldBeFalse)
			So(l.Renew(renewal("a", 1, 5), 5, at(220)).Granted, ShouldBeFalse)
			So(l.Live("a", at(230)), ShouldBeFalse)
			So(l.Renew(renewal("a", 2, 5), 5, at(240)).Granted, ShouldBeTrue)
		})
		Convey("it is settled once it has been up for longer than a TTL", func() {
			So(l.View(5, 5, at(2000)).Settled, ShouldBeFalse)
			So(l.View(5, 5, at(2001)).Settled, ShouldBeTrue)
		})
		Convey("newcomers renew; the departed refused without a break", func() {
			So(l.Newcomers(roster("b"), at(200)), ShouldResemble, []statemachine.Member{{Name: "a", Front: true}})
			for ms := 1000; ms <= 61000; ms += 1000 {
				l.Gone("b", 0, at(ms))
				l.Gone("z", 0, at(ms))
			}
			So(l.Departed(roster("b"), time.Minute, at(61000)), ShouldResemble, []string{"b"})
			So(l.Departed(roster("b"), time.Minute, at(63000)), ShouldBeEmpty)
			l.Gone("b", 0, at(64000))
			So(l.Departed(roster("b"), time.Minute, at(64000)), ShouldBeEmpty)
		})
		Convey("members that were quiet are to be pinged", func() {
			So(l.Quiet(roster("a", "b"), 700*time.Millisecond, at(700)), ShouldResemble, []Quiet{{"b", 0}})
			So(l.Quiet(roster("a", "b"), 700*time.Millisecond, at(800)), ShouldResemble, []Quiet{{"a", 1}, {"b", 0}})
		})
	})
}

func TestInForce(t *testing.T) {
	view := func(core string, confirmed, waiting, gone []string) *wire.LeaseViewResponse {
		return &wire.LeaseViewResponse{Core: core, Learned: 9, Settled: true, Confirmed: confirmed, Waiting: waiting, Gone: gone}
	}
	Convey("Given two of three cores that learned epoch 9, and a roster of five", t, func() {
		q := Question{Version: 9, Voters: 3, Roster: roster("a", "b", "c", "d", "e")}
		why := func(views ...*wire.LeaseViewResponse) string {
			q.Views = views
			_, why := InForce(q)
			return why
		}
		three := []string{"a#1", "b#1", "c#1"}
		Convey("confirmed by three, the leases of two lapsed: in force", func() {
			So(why(view("c1", three, nil, nil), view("c2", three, nil, nil)), ShouldEqual, "")
		})
		Convey("one core is not enough, nor twice the same, nor one that is behind or not settled", func() {
			So(why(view("c1", three, nil, nil)), ShouldEqual, "learned and settled at 1 of 3 cores")
			So(why(view("c1", three, nil, nil), view("c1", three, nil, nil)), ShouldEqual, "learned and settled at 1 of 3 cores")
			behind, young := view("c2", three, nil, nil), view("c3", three, nil, nil)
			behind.Learned, young.Settled = 8, false
			So(why(view("c1", three, nil, nil), behind, young), ShouldEqual, "learned and settled at 1 of 3 cores")
		})
		Convey("a lease that stands unconfirmed is waited for, unless that life confirmed elsewhere or a later one lives", func() {
			So(why(view("c1", three, []string{"d#1"}, nil), view("c2", three, nil, nil)), ShouldEqual, "leases not confirmed and not lapsed: d")
			So(why(view("c1", three, []string{"d#1"}, nil), view("c2", append(three, "d#1"), nil, nil)), ShouldEqual, "")
			So(why(view("c1", three, []string{"d#1"}, nil), view("c2", append(three, "d#2"), nil, nil)), ShouldEqual, "")
			So(why(view("c1", three, []string{"d#2"}, nil), view("c2", append(three, "d#1"), nil, nil)), ShouldEqual, "leases not confirmed and not lapsed: d")
		})
		Convey("half of the roster is not enough, unless the others refuse", func() {
			two := three[:2]
			So(why(view("c1", two, nil, nil), view("c2", two, nil, nil)), ShouldEqual, "confirmed by 2 of 5 of the roster")
			So(why(view("c1", two, nil, []string{"d"}), view("c2", two, nil, []string{"e"})), ShouldEqual, "")
			So(why(view("c1", two, nil, []string{"d"}), view("c2", two, nil, nil)), ShouldEqual, "confirmed by 2 of 4 of the roster")
		})
		Convey("a member that refuses one core and is granted by another counts as neither dead nor confirmed", func() {
			So(why(view("c1", three[:2], nil, []string{"c"}), view("c2", three, nil, nil)), ShouldEqual, "confirmed by 2 of 5 of the roster")
		})
		Convey("a confirmation of a former life settles no roster change", func() {
			q.Views = []*wire.LeaseViewResponse{view("c1", three[:2], []string{"c#2"}, nil), view("c2", three, nil, nil)}
			met, why := Settled(q)
			So(met, ShouldBeFalse)
			So(why, ShouldEqual, "confirmed by 2 of 5 of the roster")
		})
		Convey("while a change isn't settled the prior roster must have confirmed too", func() {
			q.Prior = roster("a", "f", "g")
			So(why(view("c1", three, nil, nil), view("c2", three, nil, nil)), ShouldEqual, "confirmed by 1 of 3 of the prior roster")
			met, _ := Settled(q)
			So(met, ShouldBeFalse)
			So(why(view("c1", append(three, "f#1"), nil, nil), view("c2", three, nil, nil)), ShouldEqual, "")
		})
	})
}

func TestSameProcess(t *testing.T) {
	Convey("Two records say the same only if every field but the counter does", t, func() {
		whole := func() *wire.Process {
			return &wire.Process{Name: "a", Address: "b", CallerAddress: "c", Region: "d", Zone: "e", Core: true, Front: true, Incarnation: 1,
				Counter: 2, Standing: wire.Standing_STANDING_VOTING, Formation: "f", Ready: true, Leaving: true, Voters: []string{"g"}, DiskLife: 3}
		}
		fields := whole().ProtoReflect().Descriptor().Fields()
		for i := range fields.Len() {
			other := whole()
			other.ProtoReflect().Clear(fields.Get(i))
			So(SameProcess(whole(), other), ShouldEqual, fields.Get(i).Name() == "counter")
		}
		So(SameProcess(whole(), nil), ShouldBeFalse)
	})
}
