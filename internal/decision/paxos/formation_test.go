package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestFoundFormation(t *testing.T) {
	Convey("The first formation is founded by the core with the lowest name once all cores answer as blank", t, func() {
		blank := &wire.RecoverResponse{Refusal: uint32(apierror.CoreBlank)}
		record, ok := BlankState("a").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"b": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeTrue)
		So(record.(FormationJoined).Voters, ShouldResemble, voters)
		for _, probes := range []map[string]*wire.RecoverResponse{{"b": blank}, {"b": blank, "c": nil}, {"b": blank, "c": {Ok: true}}} {
			_, ok = BlankState("a").FoundFormation("id", 3, probes, 0, nil)
			So(ok, ShouldBeFalse)
		}
		_, ok = BlankState("b").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"a": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeFalse)
	})
}

func TestJoinProbed(t *testing.T) {
	waiting := FormationJoined{Formation: "b-1", Voters: voters}.Apply(BlankState("b"))
	lower := &wire.RecoverResponse{Ok: true, Formation: "a-1", Voters: voters}
	higher := &wire.RecoverResponse{Ok: true, Formation: "c-1", Voters: voters}
	joins := func(s State, probe *wire.RecoverResponse) bool {
		_, ok := s.JoinProbedFormation(probe)
		return ok
	}
	Convey("A core in a formation without announced incarnations switches to one with a lower ID that lists it as a voter", t, func() {
		So(joins(BlankState("b"), higher), ShouldBeTrue)
		So(joins(waiting, lower), ShouldBeTrue)
		So(joins(waiting, higher), ShouldBeFalse)
		So(joins(waiting, &wire.RecoverResponse{Ok: true, Formation: "a-1", Voters: []string{"a", "c", "d"}}), ShouldBeFalse)
	})
	Convey("A core that has announced its incarnation, or recorded that of another core, stays in its formation", t, func() {
		announced := &wire.RecoverResponse{Ok: true, Formation: "a-1", Voters: voters, Lives: map[string]uint64{"a": 1}}
		for _, core := range []string{"a", "b"} {
			recorded := IncarnationRecorded{Core: core, Incarnation: firstIncarnation}.Apply(waiting)
			So(joins(recorded, lower), ShouldBeFalse)
			So(joins(recorded, announced), ShouldBeFalse)
		}
		So(joins(waiting, announced), ShouldBeTrue)
	})
}
