package follower

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestSharersOfTheCaps(t *testing.T) {
	Convey("Silent members keep their part of a cap; those that leave, are not ready or are gone have none", t, func() {
		view := &View{Unresponsive: []string{"far"}, Fronts: []*wire.Process{
			{Name: "far", Front: true, Ready: true}, {Name: "here", Front: true, Ready: true},
			{Name: "new", Front: true}, {Name: "old", Front: true, Ready: true, Leaving: true}}}
		So(view.Sharers(), ShouldResemble, []string{"far", "here"})
	})
}
