package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestAcceptor(t *testing.T) {
	Convey("A ballot is promised only once, and lower ballots are refused", t, func() {
		s, resp := prepare(votingCore("a"), 1, 5, "b")
		So(resp.Promised, ShouldBeTrue)
		_, resp = prepare(s, 1, 5, "b")
		So(resp.Promised, ShouldBeFalse)
		So(BallotFromWire(resp.PromisedBallot), ShouldResemble, Ballot{5, "b"})
		_, resp = prepare(s, 1, 5, "a")
		So(resp.Promised, ShouldBeFalse)
		_, lowerResp := accept(s, 1, 4, "c", "x", nil)
		So(lowerResp.Accepted, ShouldBeFalse)
		s, acceptResp := accept(s, 1, 5, "b", "y", nil)
		So(acceptResp.Accepted, ShouldBeTrue)
		_, repeatedResp := accept(s, 1, 5, "b", "y", nil)
		So(repeatedResp.Accepted, ShouldBeTrue)
		_, conflictingResp := accept(s, 1, 5, "b", "z", nil)
		So(apierror.Code(conflictingResp.Refusal), ShouldEqual, apierror.Internal)
		_, resp = prepare(s, 1, 6, "c")
		So(BallotFromWire(resp.AcceptedBallot), ShouldResemble, Ballot{5, "b"})
		So(string(resp.AcceptedValue), ShouldEqual, "y")
	})
	Convey("A value is refused if it depends on the promise of a core that has lost its disk", t, func() {
		s := IncarnationRecorded{Core: "c", Incarnation: 2}.Apply(votingCore("a"))
		_, resp := accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 1})
		So(apierror.Code(resp.Refusal), ShouldEqual, apierror.CoreRecovering)
		_, resp = accept(s, 1, 5, "b", "y", map[string]uint64{"a": 1, "c": 2})
		So(resp.Accepted, ShouldBeTrue)
	})
	Convey("A core that is blank, amnesiac or in another formation neither promises nor accepts nor serves reads", t, func() {
		joined := FormationJoined{Formation: "f", Voters: voters}.Apply(BlankState("a"))
		foreign := votingCore("a")
		foreign.Formation = "g"
		for code, s := range map[apierror.Code]State{apierror.CoreBlank: BlankState("a"), apierror.CoreRecovering: joined, apierror.WrongFormation: foreign} {
			_, prepareResp := prepare(s, 1, 1, "b")
			So(apierror.Code(prepareResp.Refusal), ShouldEqual, code)
			_, acceptResp := accept(s, 1, 1, "b", "x", nil)
			So(apierror.Code(acceptResp.Refusal), ShouldEqual, code)
			So(apierror.Code(s.Read(&wire.ReadRequest{Formation: "f"}).Refusal), ShouldEqual, code)
		}
	})
}
