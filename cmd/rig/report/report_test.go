package report

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/history"
)

func TestReport(t *testing.T) {
	Convey("Write creates a line for each second, and the charts", t, func() {
		recording := &history.Recording{End: 10 * time.Second, Allowances: map[string]history.Allowance{"press": {Rate: 10, Burst: 20}},
			Actions: []history.Action{{At: 4 * time.Second, Description: "kill core1"}}}
		for i := range 10 {
			at := time.Duration(i) * time.Second
			recording.Attempts = append(recording.Attempts, history.Attempt{Tenant: "press", Tokens: 10, Sent: at, Done: at, Outcome: history.Served},
				history.Attempt{Tenant: "press", Tokens: 10, Sent: at, Done: at, Outcome: history.Rejected})
		}
		rows := Seconds(recording)
		So(len(rows), ShouldEqual, 10)
		So(rows[9].Served+rows[9].Rejected, ShouldEqual, 2)
		So(rows[0].QuotaUse["press"], ShouldEqual, 0.1)
		So(rows[9].QuotaUse["press"], ShouldEqual, 0.8)
		So(rows[4].Actions, ShouldResemble, []string{"kill core1"})
		folder := t.TempDir()
		So(Write(folder, "test", recording, nil), ShouldBeNil)
		for _, name := range []string{"seconds.jsonl", "violations.jsonl", "service.svg", "spend.svg"} {
			_, err := os.Stat(filepath.Join(folder, name))
			So(err, ShouldBeNil)
		}
	})
}
