package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestProposer(t *testing.T) {
	Convey("A promise of an earlier disk incarnation is not counted", t, func() {
		p, _ := NewProposer(votingCore("a"), 1, 1, []byte("own"))
		p, step := p.HandlePrepare(&wire.PrepareResponse{Core: "b", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 1, "c": 1}})
		So(step, ShouldResemble, Step{})
		p, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 2, "c": 1}})
		So(step, ShouldResemble, Step{})
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "a", Promised: true, PromisedBallot: p.Ballot.ToWire(), Lives: map[string]uint64{"a": 1, "b": 1, "c": 1}})
		So(step.Accept.PromisedLives, ShouldResemble, map[string]uint64{"a": 1, "c": 1})
	})
	Convey("A ballot is lost once no quorum is possible, and ends as soon as an answer shows that the slot is learned", t, func() {
		p, _ := NewProposer(votingCore("a"), 1, 1, []byte("own"))
		afterFailure, step := p.HandleFailure("b")
		So(step.Action, ShouldEqual, AwaitAnswers)
		_, step = afterFailure.HandlePrepare(&wire.PrepareResponse{Core: "c", PromisedBallot: Ballot{7, "c"}.ToWire()})
		So(step.Action, ShouldEqual, BallotLost)
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Chosen: true, ChosenValue: []byte("x"), Learned: 1})
		So(step.Action, ShouldEqual, ValueChosen)
		_, step = p.HandlePrepare(&wire.PrepareResponse{Core: "c", Refusal: uint32(apierror.VersionBehind), Learned: 9})
		So(step.LearnedBy, ShouldEqual, "c")
	})
}
