package paxos

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestLearnAndFetchOfCompactedSlots(t *testing.T) {
	Convey("Prepare in a learned slot returns the chosen value, and in a compacted one VersionBehind", t, func() {
		s := votingCore("a")
		records, resp, behind := s.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: 1, Command: []byte("one")}, {Epoch: 2, Command: []byte("two")}, {Epoch: 4, Command: []byte("four")}}})
		So(resp.Learned, ShouldEqual, 2)
		So(behind, ShouldBeTrue)
		s = applyAll(s, records)
		_, prepareResp := prepare(s, 2, 9, "b")
		So(string(prepareResp.ChosenValue), ShouldEqual, "two")
		s = s.Compacted(2, []byte("both"))
		_, prepareResp = prepare(s, 2, 9, "b")
		So(apierror.Code(prepareResp.Refusal), ShouldEqual, apierror.VersionBehind)
		fetched, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: 0})
		So(apiErr, ShouldBeNil)
		learner := applyAll(votingCore("b"), votingCore("b").HandleFetch(fetched))
		So(learner.HighestLearnedSlot(), ShouldEqual, 2)
		So(string(learner.Snapshot), ShouldEqual, "both")
	})
}

func TestFetchResponseSizeIsLimited(t *testing.T) {
	Convey("Large commands are fetched in several responses", t, func() {
		s := votingCore("a")
		for index := range uint64(6) {
			s = Learned{Slot: index + 1, Value: fmt.Appendf(make([]byte, maxFetchBytes/2), "%d", index)}.Apply(s)
		}
		learner, rounds := votingCore("b"), 0
		for ; learner.HighestLearnedSlot() < 6; rounds++ {
			resp, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: learner.HighestLearnedSlot()})
			So(apiErr, ShouldBeNil)
			So(len(resp.Chosen), ShouldBeBetween, 0, 3)
			learner = applyAll(learner, learner.HandleFetch(resp))
		}
		So(rounds, ShouldBeGreaterThan, 2)
	})
}
