package faultcase

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/events"
)

func TestFindStoredDataEvent(t *testing.T) {
	Convey("The log of a core that kept its data passes, that of one that rebuilds does not", t, func() {
		opened := "node=core1 level=info event=3023 event_name=log_opened core=core1 segments=1 records=32\n"
		rebuilt := "node=core1 level=warn event=3005 event_name=recovery_begun core=core1\n"
		So(findStoredDataEvent([]byte(opened)), ShouldBeEmpty)
		So(findStoredDataEvent([]byte(opened+rebuilt)), ShouldEqual, strings.TrimSpace(rebuilt))
	})
	Convey("The numbers are those of the catalogue", t, func() {
		names := map[int]string{}
		for _, e := range events.Catalogue() {
			names[e.Number] = e.Name
		}
		for number, name := range storedDataEvents {
			So(names[number], ShouldEqual, name)
		}
	})
}
