package paxos

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestLearnedSlot(t *testing.T) {
	Convey("A learned slot answers with its value, a compacted one says it is behind", t, func() {
		s := votingCore("a")
		records, resp, behind := s.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: 1, Command: []byte("one")}, {Epoch: 2, Command: []byte("two")}, {Epoch: 4, Command: []byte("four")}}})
		So(resp.Learned, ShouldEqual, 2)
		So(behind, ShouldBeTrue)
		s = applyAll(s, records)
		_, p := prepare(s, 2, 9, "b")
		So(string(p.ChosenValue), ShouldEqual, "two")
		s = s.Compacted(2, []byte("both"))
		_, p = prepare(s, 2, 9, "b")
		So(apierror.Code(p.Refusal), ShouldEqual, apierror.VersionBehind)
		fetched, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: 0})
		So(apiErr, ShouldBeNil)
		other := applyAll(votingCore("b"), votingCore("b").HandleFetch(fetched))
		So(other.Learned(), ShouldEqual, 2)
		So(string(other.Snapshot), ShouldEqual, "both")
	})
}

func TestFetchIsLimited(t *testing.T) {
	Convey("Large commands are fetched some at a time", t, func() {
		s := votingCore("a")
		for version := range uint64(6) {
			s = Learned{Slot: version + 1, Command: fmt.Appendf(make([]byte, maxFetchBytes/2), "%d", version)}.Apply(s)
		}
		other, rounds := votingCore("b"), 0
		for ; other.Learned() < 6; rounds++ {
			resp, apiErr := s.Fetch(&wire.FetchRequest{Formation: "f", After: other.Learned()})
			So(apiErr, ShouldBeNil)
			So(len(resp.Chosen), ShouldBeBetween, 0, 3)
			other = applyAll(other, other.HandleFetch(resp))
		}
		So(rounds, ShouldBeGreaterThan, 2)
	})
}
