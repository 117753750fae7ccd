package checker

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

const second = time.Second

func good() *history.Ledger {
	l := &history.Ledger{Seed: 7, End: 60 * second, Localities: map[string]string{"model1": "lagos/a", "web1": "lagos/b"},
		Allowances: map[string]history.Allowance{"press": {Rate: 100, Burst: 0}}}
	l.Attempts = []history.Attempt{
		{Token: "s1", Kind: "stream", Front: "front1", Sent: second, First: second, Done: second, Deadline: 5 * second, End: history.Served, AnswerID: "s1", Final: true, Count: 2,
			Events: []history.Event{{ID: "s1", Token: "s1", Run: "r1"}, {ID: "s1", Seq: 1, Token: "s1", Run: "r1", Index: 1}}},
		{Token: "g1", Kind: "get", Front: "front1", Sent: second, First: second, Done: second, Deadline: 5 * second, End: history.Served, AnswerID: "g1", Body: "g1", Whole: true},
		{Token: "g2", Kind: "get", Front: "front1", Sent: second, Done: second, Deadline: 5 * second, End: history.Refused, Code: int(apierror.NoServer), Retry: "later"},
	}
	l.Runs = []history.Run{
		{ID: "r1", Server: "model1", Kind: "model", Token: "s1", Arrived: second, Ran: true, Sent: 2, Final: true, InFlight: 3, Slots: 16},
		{ID: "w1", Server: "web1", Kind: "web", Token: "g1", Arrived: second, Ran: true, Final: true},
	}
	l.Orders = []history.Order{
		{ID: "o1", Verb: "put", Base: 0, Told: 2 * second, Status: 200, Version: 3, Mark: "1"},
		{ID: "o2", Verb: "patch", Base: 3, Sent: 10 * second, Told: 10 * second, Status: 200, Version: 4, Mark: "2"},
		{ID: "o3", Verb: "patch", Base: 3, Sent: 10 * second, Told: 10 * second, Status: 409, Code: int(apierror.BaseMoved), Mark: "3"},
		{ID: "o4", Verb: "evacuate", Target: "lagos/a", Sent: 20 * second, Told: 20 * second, Status: 200, Version: 5},
	}
	l.KeyMarks = []history.KeyMark{{Key: 1, Sent: second, Acked: 2 * second, Version: 3}, {Key: 2, Sent: 10 * second, Acked: 10 * second, Version: 4}}
	l.Probes = []history.Probe{
		{Front: "front1", Key: 1, Sent: 11 * second, Done: 11 * second, Status: 200},
		{Front: "front1", Key: 2, Sent: 12 * second, Done: 12 * second, Status: 200},
		{Front: "front1", Key: 1, Sent: 20 * second, Done: 20 * second, Status: 403, Code: int(apierror.UnknownKey)},
		{Front: "front2", Key: 2, Sent: 20 * second, Done: 20 * second, Status: 503, Code: int(apierror.NotRuling)},
	}
	l.ReadBacks = []history.ReadBack{{Front: "front1", Sent: 30 * second, Status: 200, Version: 4, Mark: "2"}}
	l.Shows = []history.Show{{At: 0, Server: "model1", State: "ready"}, {At: 30 * second, Server: "model1", State: "draining"}}
	return l
}

func steady(l *history.Ledger, tenant string, perSecond float64, until time.Duration, end func(i int) history.Attempt) {
	for i := range int(until.Seconds() * 10) {
		a := end(i)
		a.Token, a.Tenant, a.Kind = fmt.Sprint(tenant, i), tenant, "post"
		a.Sent = time.Duration(i) * second / 10
		a.First, a.Done, a.Deadline, a.Tokens = a.Sent, a.Sent, a.Sent+second, perSecond/10
		a.Body, a.Whole = a.Token, true
		l.Attempts = append(l.Attempts, a)
	}
}

var quota = history.Attempt{End: history.Refused, Status: 429, Code: int(apierror.QuotaExceeded)}

func TestJudges(t *testing.T) {
	Convey("A ledger without a breach gives no violation", t, func() {
		So(Find(good()), ShouldBeEmpty)
	})
	cases := []struct {
		judge string
		what  string
		spoil func(l *history.Ledger)
	}{
		{"once", "a one-shot that ran on two servers", func(l *history.Ledger) {
			l.Runs = append(l.Runs, history.Run{ID: "w2", Server: "web2", Kind: "web", Token: "g1", Arrived: second, Ran: true})
		}},
		{"not_run", "a call told to come back that ran later", func(l *history.Ledger) {
			l.Runs = append(l.Runs, history.Run{ID: "w3", Server: "web1", Kind: "web", Token: "g2", Arrived: 3 * second, Ran: true})
		}},
		{"not_run", "a deadline fault that says it is safe to send again", func(l *history.Ledger) {
			l.Attempts[1].End, l.Attempts[1].Code, l.Attempts[1].Retry = history.CutError, int(apierror.BadAnswer), "later"
		}},
		{"stream", "a gap", func(l *history.Ledger) { l.Attempts[0].Events[1].Seq = 2 }},
		{"stream", "a gap behind renumbered frames", func(l *history.Ledger) { l.Attempts[0].Events[1].Index = 2 }},
		{"stream", "a doubled event", func(l *history.Ledger) {
			l.Attempts[0].Events[1] = l.Attempts[0].Events[0]
		}},
		{"stream", "an event of another request", func(l *history.Ledger) { l.Attempts[0].Events[1].Token = "s9" }},
		{"stream", "an event under another id", func(l *history.Ledger) { l.Attempts[0].Events[1].ID = "s9" }},
		{"stream", "a splice of two runs", func(l *history.Ledger) { l.Attempts[0].Events[1].Run = "r2" }},
		{"stream", "a clean end without a final event", func(l *history.Ledger) { l.Attempts[0].End = history.CleanEnd }},
		{"stream", "a final count that is too high", func(l *history.Ledger) { l.Attempts[0].Count = 3 }},
		{"stream", "a stream that looks complete though its server was cut", func(l *history.Ledger) { l.Runs[0].Final = false }},
		{"body", "a body that is not whole", func(l *history.Ledger) { l.Attempts[1].Whole = false }},
		{"body", "another request's body", func(l *history.Ledger) { l.Attempts[1].Body = "g9" }},
		{"body", "another request's id", func(l *history.Ledger) { l.Attempts[1].AnswerID = "g9" }},
		{"late", "an answer after its deadline", func(l *history.Ledger) { l.Attempts[1].First = 7 * second }},
		{"lost_sheet", "an older sheet read back", func(l *history.Ledger) { l.ReadBacks[0].Version, l.ReadBacks[0].Mark = 3, "1" }},
		{"lost_sheet", "another sheet under the acknowledged epoch", func(l *history.Ledger) { l.ReadBacks[0].Mark = "1" }},
		{"old_sheet", "a superseded key that passes", func(l *history.Ledger) { l.Probes[0].Sent, l.Probes[0].Done = 13*second, 13*second }},
		{"old_sheet", "a key of the newest sheet that is unknown", func(l *history.Ledger) {
			l.Probes[1].Sent, l.Probes[1].Status, l.Probes[1].Code = 13*second, 403, int(apierror.UnknownKey)
		}},
		{"step_back", "a node that rules by the older sheet again", func(l *history.Ledger) {
			l.Probes = append(l.Probes, history.Probe{Front: "front1", Key: 1, Sent: 12100 * time.Millisecond, Done: 12200 * time.Millisecond, Status: 200})
		}},
		{"invalid_sheet", "an invalid sheet that was taken", func(l *history.Ledger) { l.Orders[1].Invalid = true }},
		{"race", "two winners", func(l *history.Ledger) { l.Orders[2].Status, l.Orders[2].Code, l.Orders[2].Version = 200, 0, 6 }},
		{"race", "no winner", func(l *history.Ledger) {
			l.Orders = append(l.Orders, history.Order{ID: "x1", Verb: "patch", Race: "race 1", Base: 9, Status: 409, Code: int(apierror.BaseMoved)},
				history.Order{ID: "x2", Verb: "patch", Race: "race 1", Base: 9, Status: 409, Code: int(apierror.BaseMoved)})
		}},
		{"resent", "an order accepted twice", func(l *history.Ledger) {
			l.Orders = append(l.Orders, history.Order{ID: "o2", Verb: "patch", Base: 3, Status: 200, Version: 9, Mark: "2"})
		}},
		{"resent", "an accepted order that is refused when sent again", func(l *history.Ledger) {
			l.Orders = append(l.Orders, history.Order{ID: "o2", Verb: "patch", Base: 3, Status: 409, Code: int(apierror.BaseMoved)})
		}},
		{"resent", "a refused order that was applied", func(l *history.Ledger) { l.Orders[2].Mark = "2" }},
		{"revoked", "a revoked key that works", func(l *history.Ledger) { l.Probes[0].Sent, l.Probes[0].Done = 16*second, 16*second }},
		{"drain", "a request to a draining server", func(l *history.Ledger) {
			l.Runs = append(l.Runs, history.Run{ID: "r5", Server: "model1", Kind: "model", Arrived: 33100 * time.Millisecond})
		}},
		{"drain", "a request to a server that went from draining to leaving", func(l *history.Ledger) {
			l.Shows = append(l.Shows, history.Show{At: 32 * second, Server: "model1", State: "leaving"})
			l.Runs = append(l.Runs, history.Run{ID: "r5", Server: "model1", Kind: "model", Arrived: 33100 * time.Millisecond})
		}},
		{"evacuation", "a request to an evacuated locality", func(l *history.Ledger) {
			l.Runs = append(l.Runs, history.Run{ID: "r5", Server: "model1", Kind: "model", Arrived: 25100 * time.Millisecond, Slots: 16, InFlight: 1})
		}},
		{"evacuation", "a request to an evacuated region", func(l *history.Ledger) {
			l.Orders[3].Target = "lagos"
			l.Runs = append(l.Runs, history.Run{ID: "r5", Server: "web1", Kind: "web", Arrived: 25100 * time.Millisecond})
		}},
		{"flood", "a cold server with too many requests", func(l *history.Ledger) { l.Runs[0].Cold, l.Runs[0].InFlight = true, 12 }},
		{"flood", "a survivor with too many requests", func(l *history.Ledger) { l.Runs[0].InFlight = 33 }},
		{"over_quota", "a tenant that gets 1.5 of its allowance", func(l *history.Ledger) {
			steady(l, "press", 150, 30*second, func(int) history.Attempt { return history.Attempt{End: history.Served} })
		}},
		{"under_quota", "a refusal at half of the allowance", func(l *history.Ledger) {
			steady(l, "press", 50, 30*second, func(i int) history.Attempt {
				if i == 250 {
					return quota
				}
				return history.Attempt{End: history.Served}
			})
		}},
		{"starved", "half of the allowance under steady excess", func(l *history.Ledger) {
			steady(l, "press", 200, 40*second, func(i int) history.Attempt {
				if i%4 != 0 {
					return quota
				}
				return history.Attempt{End: history.Served}
			})
		}},
		{"service", "too little service after a final fault", func(l *history.Ledger) {
			l.Marks = append(l.Marks, history.Mark{At: 20 * second, What: "half of the nodes killed", Final: true})
			l.Allowances["press"] = history.Allowance{Rate: 1e9}
			steady(l, "press", 50, 40*second, func(i int) history.Attempt {
				if i > 200 && i%5 != 0 {
					return history.Attempt{End: history.Unsent}
				}
				return history.Attempt{End: history.Served}
			})
		}},
	}
	seen := map[string]bool{}
	for _, c := range cases {
		seen[c.judge] = true
		Convey(c.judge+" finds "+c.what, t, func() {
			l := good()
			c.spoil(l)
			names := map[string]bool{}
			for _, v := range Find(l) {
				names[v.Judge] = true
				So(v.Seed, ShouldEqual, 7)
			}
			So(names[c.judge], ShouldBeTrue)
		})
	}
	Convey("Every judge has a ledger that it condemns", t, func() {
		for _, j := range All {
			So(seen[j.Name], ShouldBeTrue)
		}
	})
}
