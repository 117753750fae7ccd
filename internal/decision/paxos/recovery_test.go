package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestRecoveryOfOneOfThree(t *testing.T) {
	wiped := FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("a"))
	probe := func(s State) *wire.RecoverResponse {
		_, resp := s.Recover(&wire.RecoverRequest{Core: "a", Probe: true})
		return resp
	}
	announceA := func(s State, incarnation uint64) (State, *wire.RecoverResponse) {
		records, resp := s.Recover(&wire.RecoverRequest{Formation: "f", Core: "a", Life: incarnation})
		return applyAll(s, records), resp
	}
	Convey("A core that lost its disk takes the next incarnation and the highest ballots of the two others", t, func() {
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
		_, lateResp := announceA(b, 1)
		So(apierror.Code(lateResp.Refusal), ShouldEqual, apierror.VersionBehind)
	})
	Convey("A core that lost its disk serves no recovery, and its answer does not prove that another core never voted", t, func() {
		lost := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("c")))
		_, resp := announceA(lost, 2)
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreRecovering)
		unannounced := FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("b"))
		_, missing := wiped.NextIncarnation(map[string]*wire.RecoverResponse{"b": probe(unannounced), "c": probe(lost)}, 0)
		So(missing, ShouldNotBeEmpty)
		_, fromB := announceA(votingCore("b"), 2)
		stale := IncarnationRecorded{Core: "c", Incarnation: 1}.Apply(FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("c")))
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
		return RecoveryCompleted{Incarnations: incarnations}.Apply(FormationJoined{Formation: "f", Voters: five}.Apply(BlankState(name)))
	}
	wiped := func(name string) State { return FormationJoined{Formation: "f", Voters: five}.Apply(BlankState(name)) }
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
	Convey("Two of five cores that lose their disks at once recover the value that a majority accepted from the other three", t, func() {
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
	Convey("A recovery does not complete with two other cores, or with three of which one has lost its disk", t, func() {
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
	Convey("The first incarnation requires answers of all cores, as only the founder may hold the state of an earlier formation", t, func() {
		announcedFirst := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		_, missing := wiped("a").NextIncarnation(probes("a", announcedFirst("b"), announcedFirst("c"), announcedFirst("d")), 0)
		So(missing, ShouldEqual, "e")
		_, missing = announcedFirst("a").NextIncarnation(probes("a", voting("b"), voting("c"), voting("d")), 0)
		So(missing, ShouldEqual, "e")
		_, missing = announcedFirst("a").CompleteRecovery(1, announceTo("a", 1, voting("b"), voting("c"), voting("d")))
		So(missing, ShouldEqual, "e")
		_, missing = wiped("a").NextIncarnation(probes("a", announcedFirst("b"), announcedFirst("c"), announcedFirst("d"), voting("e")), 0)
		So(missing, ShouldBeEmpty)
	})
	Convey("The last two cores to recover in a new formation need each other's answers, however many cores vote already", t, func() {
		announcedFirst := func(name string) State { return IncarnationRecorded{Core: name, Incarnation: 1}.Apply(wiped(name)) }
		cores, required := announcedFirst("a").RecoverySources(1, probes("a", announcedFirst("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(required, ShouldEqual, 0)
		_, missing := announcedFirst("a").CompleteRecovery(1, announceTo("a", 1, announcedFirst("b"), voting("c"), voting("d"), voting("e")))
		So(missing, ShouldBeEmpty)
	})
	Convey("A core that lost its disk recovers from the voting cores if they form a recovery quorum, and otherwise from all", t, func() {
		cores, required := wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("c"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"c", "d", "e"})
		So(required, ShouldEqual, 3)
		cores, required = wiped("a").RecoverySources(2, probes("a", wiped("b"), voting("d"), voting("e")))
		So(cores, ShouldResemble, []string{"b", "c", "d", "e"})
		So(required, ShouldEqual, 0)
	})
}
