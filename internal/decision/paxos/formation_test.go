package paxos

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestFoundFormation(t *testing.T) {
	Convey("A first formation needs every core, blank, and the lowest name", t, func() {
		blank := &wire.RecoverResponse{Refusal: uint32(apierror.CoreBlank)}
		record, ok := Blank("a").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"b": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeTrue)
		So(record.(FormationJoined).Voters, ShouldResemble, voters)
		for _, present := range []map[string]*wire.RecoverResponse{{"b": blank}, {"b": blank, "c": nil}, {"b": blank, "c": {Ok: true}}} {
			_, ok = Blank("a").FoundFormation("id", 3, present, 0, nil)
			So(ok, ShouldBeFalse)
		}
		_, ok = Blank("b").FoundFormation("id", 3, map[string]*wire.RecoverResponse{"a": blank, "c": blank}, 0, nil)
		So(ok, ShouldBeFalse)
	})
}
