package faultcase

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/events"
)

func TestFindStoredDataEvent(t *testing.T) {
	Convey("Opening the log is no stored data event, recovery of a core is", t, func() {
		opened := "node=core1 level=info event=3023 event_name=log_opened core=core1 segments=1 records=32\n"
		rebuilt := "node=core1 level=warn event=3005 event_name=recovery_begun core=core1\n"
		So(findStoredDataEvent([]byte(opened)), ShouldBeEmpty)
		So(findStoredDataEvent([]byte(opened+rebuilt)), ShouldEqual, strings.TrimSpace(rebuilt))
	})
	Convey("The event numbers and names match the event catalogue", t, func() {
		names := map[int]string{}
		for _, event := range events.Catalogue() {
			names[event.Number] = event.Name
		}
		for number, name := range storedDataEvents {
			So(names[number], ShouldEqual, name)
		}
	})
}
