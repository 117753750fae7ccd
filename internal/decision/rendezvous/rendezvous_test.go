package rendezvous_test

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/rendezvous"
)

func TestWeightDependsOnCandidateAndSubject(t *testing.T) {
	Convey("The weight is the hash of the candidate, a separator and the subject, computed without allocation", t, func() {
		So(rendezvous.Weight("front-1", "tenant"), ShouldEqual, xxhash.Sum64String("front-1\x00tenant"))
		So(rendezvous.Weight("front-1t", "enant"), ShouldNotEqual, rendezvous.Weight("front-1", "tenant"))
		So(testing.AllocsPerRun(100, func() { rendezvous.Weight("front-1", "tenant") }), ShouldEqual, 0)
	})
}
