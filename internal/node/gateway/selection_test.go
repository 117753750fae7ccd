package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/port"
)

func TestServiceWeights(t *testing.T) {
	Convey("Each service of a route gets requests in proportion to its weight", t, func() {
		route := &sheet.NamedRoute{Route: sheet.Route{Splits: []sheet.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}}
		counts := map[string]int{}
		for i := range 5000 {
			q := &request{admission: admission{route: route}, call: port.ClientRequest{ID: fmt.Sprintf("%016x", i*2654435761)}}
			counts[q.selectService()]++
		}
		So(counts["b"], ShouldBeBetween, 420, 580)
		So(counts["a"]+counts["b"], ShouldEqual, 5000)
	})
}

func TestUrgency(t *testing.T) {
	Convey("A tenant's priority takes precedence over the route's, within the urgencies that servers distinguish", t, func() {
		So(urgency(0, 2), ShouldBeLessThan, urgency(1, 0))
		So(urgency(0, 0), ShouldBeLessThan, urgency(0, 1))
		So(urgency(50, 50), ShouldEqual, maxUrgency)
	})
}
