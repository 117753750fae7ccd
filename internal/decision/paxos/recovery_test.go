package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestRecoveryOfOneOfThree(t *testing.T) {
	wiped := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
	probe := func(s State) *wire.RecoverResponse {
		_, resp := s.Recover(&wire.RecoverRequest{Core: "a", Probe: true})
		return resp
	}
	announceA := func(s State, incarnation uint64) (State, *wire.RecoverResponse) {
		records, resp := s.Recover(&wire.RecoverRequest{Formation: "f", Core: "a", Life: incarnation})
		return applyAll(s, records), resp
	}
	Convey("A wiped core takes the next incarnation and the highest ballots of both others", t, func() {
		b, _ := prepare(votingCore("b"), 1, 3, "b")
		b, _ = accept(b, 1, 3, "b", "three", nil)
		c, _ := prepare(votingCore("c"), 1, 5, "c")
		incarnation, missing := wiped.NextIncarnation(map[string]*wire.RecoverResponse{"b": probe(b), "c": probe(c)}, 0)
		So(missing, ShouldBeEmpty)
		So(incarnation, ShouldEqual, 2)
		b, fromB := announceA(b, incarnation)
		_, fromC := announceA(c, incarnation)
		So(b.Incarnations["a"], ShouldEqual, 2)
		_, missing = wiped.CompleteRecovery(incarnation, map[string]*wire.RecoverResponse{"b": fromB})
		So(missing, ShouldEqual, "c")
		record, missing := wiped.CompleteRecovery(incarnation, map[string]*wire.RecoverResponse{"b": fromB, "c": fromC})
		So(missing, ShouldBeEmpty)
		s := record.Apply(wiped)
		So(s.Incarnation(), ShouldEqual, 2)
		So(s.OpenSlots[1], ShouldResemble, SlotState{Promised: Ballot{5, "c"}, Accepted: Ballot{3, "b"}, Value: []byte("three")})
		_, late := announceA(b, 1)
		So(apierror.Code(late.Refusal), ShouldEqual, apierror.VersionBehind)
	})
	Convey("No core recovers from one that lost its disk, nor is proved new by it alone", t, func() {
		lost := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("c")))
		_, resp := announceA(lost, 2)
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreAmnesiac)
		unsure := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("b"))
		_, missing := wiped.NextIncarnation(map[string]*wire.RecoverResponse{"b": probe(unsure), "c": probe(lost)}, 0)
		So(missing, ShouldNotBeEmpty)
		_, fromB := announceA(votingCore("b"), 2)
		stale := IncarnationRecorded{Core: "c", Incarnation: 1}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("c")))
		_, fromC := announceA(stale, 2)
		fromB.Lives["c"] = 2
		_, missing = wiped.CompleteRecovery(2, map[string]*wire.RecoverResponse{"b": fromB, "c": fromC})
		So(missing, ShouldStartWith, "c")
	})
}

func TestRecoveryOfTwoOfFive(t *testing.T) {
	five := []string{"a", "b", "c", "d", "e"}
	incarnations := map[string]uint64{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}
	voting := func(name string) State {
		return RecoveryCompleted{Incarnations: incarnations}.Apply(FormationJoined{Formation: "f", Voters: five}.Apply(Blank(name)))
	}
	wiped := func(name string) State { return FormationJoined{Formation: "f", Voters: five}.Apply(Blank(name)) }
	probes := func(name string, cores ...State) map[string]*wire.RecoverResponse {
		answers := map[string]*wire.RecoverResponse{}
		for _, core := range cores {
			_, answers[core.Self] = core.Recover(&wire.RecoverRequest{Core: name, Probe: true})
		}
		return answers
	}
	announceTo := func(name string, incarnation uint64, cores ...State) map[string]*wire.RecoverResponse {
		answers := map[string]*wire.RecoverResponse{}
		for _, core := range cores {
			_, answers[core.Self] = core.Recover(&wire.RecoverRequest{Formation: "f", Core: name, Life: incarnation})
		}
		return answers
	}
	Convey("Of five cores two that are wiped at once recover from the other three, with the value that a majority accepted", t, func() {
		c, _ := accept(voting("c"), 1, 3, "a", "chosen by a, b and c", nil)
		d, e := voting("d"), voting("e")
		incarnation, missing := wiped("a").NextIncarnation(probes("a", wiped("b"), c, d, e), 0)
		So(missing, ShouldBeEmpty)
		So(incarnation, ShouldEqual, 2)
		record, missing := wiped("a").CompleteRecovery(incarnation, announceTo("a", incarnation, wiped("b"), c, d, e))
		So(missing, ShouldBeEmpty)
		a := record.Apply(wiped("a"))
		So(string(a.OpenSlots[1].Value), ShouldEqual, "chosen by a, b and c")
		record, missing = wiped("b").CompleteRecovery(incarnation, announceTo("b", incarnation, a, d, e))
		So(missing, ShouldBeEmpty)
		So(string(record.Apply(wiped("b")).OpenSlots[1].Value), ShouldEqual, "chosen by a, b and c")
	})
	Convey("Two others are too few, and so are three of which one has lost its disk", t, func() {
		d, e := voting("d"), voting("e")
		_, missing := wiped("a").NextIncarnation(probes("a", d, e), 0)
		So(missing, ShouldEqual, "b")
		_, missing = wiped("a").NextIncarnation(probes("a", wiped("b"), d, e), 0)
		So(missing, ShouldEqual, "c")
		_, missing = wiped("a").CompleteRecovery(2, announceTo("a", 2, d, e))
		So(missing, ShouldEqual, "b")
		c := voting("c")
		d = IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(d)
		_, missing = wiped("a").CompleteRecovery(2, announceTo("a", 2, c, d, e))
		So(missing, ShouldEqual, "b")
	})
	Convey("A first incarnation needs the answers of all, as only the founder may hold what outlived an earlier formation", t, func() {
		first := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		_, missing := wiped("a").NextIncarnation(probes("a", first("b"), first("c"), first("d")), 0)
		So(missing, ShouldEqual, "e")
		_, missing = first("a").NextIncarnation(probes("a", voting("b"), voting("c"), voting("d")), 0)
		So(missing, ShouldEqual, "e")
		_, missing = first("a").CompleteRecovery(1, announceTo("a", 1, voting("b"), voting("c"), voting("d")))
		So(missing, ShouldEqual, "e")
		_, missing = wiped("a").NextIncarnation(probes("a", first("b"), first("c"), first("d"), voting("e")), 0)
		So(missing, ShouldBeEmpty)
	})
	Convey("Two cores that are the last to enter a first formation need each other, however many vote already", t, func() {
		first := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		cores, enough := first("a").RecoverySources(1, probes("a", first("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(enough, ShouldEqual, 0)
		_, missing := first("a").CompleteRecovery(1, announceTo("a", 1, first("b"), voting("c"), voting("d"), voting("e")))
		So(missing, ShouldBeEmpty)
	})
	Convey("A core that lost its disk recovers from the voting cores when they are enough, and else from all", t, func() {
		cores, enough := wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"c", "d", "e"})
		So(enough, ShouldEqual, 3)
		cores, enough = wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(enough, ShouldEqual, 0)
	})
}
