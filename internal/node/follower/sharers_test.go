package follower

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

func TestSharersIncludeUnresponsiveMembers(t *testing.T) {
	Convey("Unresponsive members keep their share of a cap; members that are leaving, are not ready or have left get none", t, func() {
		view := &View{Unresponsive: []string{"far"}, Fronts: []*wire.Process{
			{Name: "far", Front: true, Ready: true}, {Name: "here", Front: true, Ready: true},
			{Name: "new", Front: true}, {Name: "old", Front: true, Ready: true, Leaving: true}}}
		So(view.LimitSharers(), ShouldResemble, []string{"far", "here"})
	})
}
