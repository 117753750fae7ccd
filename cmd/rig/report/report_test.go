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
	Convey("A ledger folds into seconds and plots", t, func() {
		l := &history.Recording{End: 10 * time.Second, Allowances: map[string]history.Allowance{"press": {Rate: 10, Burst: 20}},
			Actions: []history.Action{{At: 4 * time.Second, Description: "kill core1"}}}
		for i := range 10 {
			at := time.Duration(i) * time.Second
			l.Attempts = append(l.Attempts, history.Attempt{Tenant: "press", Tokens: 10, Sent: at, Done: at, Outcome: history.Served},
				history.Attempt{Tenant: "press", Tokens: 10, Sent: at, Done: at, Outcome: history.Rejected})
		}
		rows := Seconds(l)
		So(len(rows), ShouldEqual, 10)
		So(rows[9].Served+rows[9].Refused, ShouldEqual, 2)
		So(rows[0].Spend["press"], ShouldEqual, 0.1)
		So(rows[9].Spend["press"], ShouldEqual, 0.8)
		So(rows[4].Marks, ShouldResemble, []string{"kill core1"})
		folder := t.TempDir()
		So(Write(folder, "test", l, nil), ShouldBeNil)
		for _, name := range []string{"seconds.jsonl", "violations.jsonl", "service.svg", "spend.svg"} {
			_, err := os.Stat(filepath.Join(folder, name))
			So(err, ShouldBeNil)
		}
	})
}
