package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestAcceptor(t *testing.T) {
	Convey("A ballot is promised once, and lower ones are refused", t, func() {
		s, resp := prepare(votingCore("a"), 1, 5, "b")
		So(resp.Promised, ShouldBeTrue)
		_, resp = prepare(s, 1, 5, "b")
		So(resp.Promised, ShouldBeFalse)
		So(BallotFromWire(resp.PromisedBallot), ShouldResemble, Ballot{5, "b"})
		_, resp = prepare(s, 1, 5, "a")
		So(resp.Promised, ShouldBeFalse)
		_, lower := accept(s, 1, 4, "c", "x", nil)
		So(lower.Accepted, ShouldBeFalse)
		s, same := accept(s, 1, 5, "b", "y", nil)
		So(same.Accepted, ShouldBeTrue)
		_, again := accept(s, 1, 5, "b", "y", nil)
		So(again.Accepted, ShouldBeTrue)
		_, other := accept(s, 1, 5, "b", "z", nil)
		So(apierror.Code(other.Refusal), ShouldEqual, apierror.Internal)
		_, resp = prepare(s, 1, 6, "c")
		So(BallotFromWire(resp.AcceptedBallot), ShouldResemble, Ballot{5, "b"})
		So(string(resp.AcceptedValue), ShouldEqual, "y")
	})
	Convey("A value that rests on a promise whose disk is lost is refused", t, func() {
		s := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(votingCore("a"))
		_, resp := accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 1})
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreAmnesiac)
		_, resp = accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 2})
		So(resp.Accepted, ShouldBeTrue)
	})
	Convey("Cores that are blank, of another formation or amnesiac neither promise nor accept", t, func() {
		joined := FormationJoined{Formation: "f", Voters: voters}.Apply(Blank("a"))
		foreign := votingCore("a")
		foreign.Formation = "g"
		for code, s := range map[apierror.Code]State{apierror.CoreBlank: Blank("a"), apierror.CoreAmnesiac: joined, apierror.WrongFormation: foreign} {
			_, p := prepare(s, 1, 1, "b")
			So(apierror.Code(p.Refusal), ShouldEqual, code)
			_, a := accept(s, 1, 1, "b", "x", nil)
			So(apierror.Code(a.Refusal), ShouldEqual, code)
			So(apierror.Code(s.Read(&wire.ReadRequest{Formation: "f"}).Refusal), ShouldEqual, code)
		}
	})
}
