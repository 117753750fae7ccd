package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/settings"
)

const firstSheet = `{"services":{"chat":{"kind":"model"},"outage":{"kind":"web"}},
"weights":{"chat":{"lagos":60,"abeokuta":40},"outage":{"lagos":1}},
"tenants":{"press":{"rate":1000,"burst":4000,"keys":["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]}}}`

func approved(t *testing.T) (check func(name string, s *session)) {
	fixtures, err := filepath.Abs("testdata")
	if err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir(fixtures))
	return func(name string, s *session) { g.Assert(t, name, s.text()) }
}

func TestSheetSession(t *testing.T) {
	check := approved(t)
	fleet := newStandIn(t, firstSheet)
	s := newSession(t, fleet, 2)
	s.run("sheet", "get")
	s.run("sheet", "get", "-o", "csv")
	s.run("sheet", "patch", "--set", "weights.chat.lagos=30", "--set", "weights.chat.abeokuta=70", "--dry-run")
	s.run("sheet", "patch", "--set", "weights.chat.lagos=30", "--set", "weights.chat.abeokuta=70")
	s.run("sheet", "patch", "--set", "tenants.press.rate=1200", "--base", "17", "--order-id", "late")
	s.run("sheet", "patch", "--set", "weights.chat.lagos=-1", "--set", "settings.grant.ttl=1s", "--set", "settings.route.pending=512")
	s.run("sheet", "patch", "--set", "settings.route.pending=512", "-q")
	s.run("sheet", "patch", "--delete", "tenants.radio")
	s.run("sheet", "patch")
	s.run("sheet", "export", "sheet.csv")
	csv, _ := os.ReadFile("sheet.csv")
	write(t, "sheet.csv", strings.Replace(string(csv), "tenants.press.rate,1000", "tenants.press.rate,1500", 1))
	s.run("sheet", "diff", "sheet.csv")
	s.run("sheet", "import", "sheet.csv", "--base", "19")
	s.run("sheet", "export", "sheet.json")
	s.run("sheet", "patch", "--set", "tenants.press.burst=1", "-q")
	s.run("sheet", "put", "sheet.json")
	write(t, "bad.json", `{"services":{"chat":{"kind":"model"}},"weights":{"chat":{"lagos":0}}}`)
	s.run("sheet", "put", "bad.json")
	s.run("sheet", "history")
	s.run("sheet", "history", "--limit", "1", "-o", "json")
	check("sheet", s)
}

func TestOrderSession(t *testing.T) {
	check := approved(t)
	fleet := newStandIn(t, firstSheet)
	s := newSession(t, fleet, 2)
	fleet.pending = 1
	s.run("locality", "evacuate", "lagos/a")
	fleet.pending = 100
	s.run("locality", "evacuate", "lagos/b", "--wait", "1s")
	s.run("locality", "evacuate", "lagos/b", "--wait", "0s", "--order-id", "order-2")
	fleet.pending = 0
	s.run("locality", "evacuate", "lagos/b", "--order-id", "order-2")
	s.run("locality", "restore", "lagos/b", "--order-id", "order-2")
	s.run("locality", "restore", "lagos/a")
	s.run("locality", "evacuate", "a/b/c")
	s.run("member", "remove", "front-9")
	s.env["STEPWICK_OPERATOR_KEY"] = "another"
	s.run("sheet", "get")
	check("orders", s)

	Convey("The same order id goes to node after node, and is applied once", t, func() {
		So(fleet.seen[:2], ShouldResemble, []string{"order-1", "order-1"})
		So(fleet.state.History, ShouldHaveLength, 3)
	})
}

func TestUnreachable(t *testing.T) {
	check := approved(t)
	fleet := newStandIn(t, firstSheet)
	s := newSession(t, fleet, 2)
	s.nodes[0].Close()
	s.run("sheet", "get", "-o", "table")
	fleet.lost = 1
	s.run("locality", "evacuate", "lagos/a")
	s.nodes[1].Close()
	s.run("sheet", "get")
	s.run("locality", "evacuate", "lagos/a")
	s.env["STEPWICK_NODE"] = ""
	s.run("sheet", "get")
	s.env["STEPWICK_OPERATOR_KEY"] = ""
	s.run("sheet", "get", "--node", "10.0.0.9:8080")
	check("unreachable", s)
	Convey("An order whose answer was lost is sent again with its id", t, func() {
		So(fleet.seen, ShouldResemble, []string{"order-1", "order-1"})
	})
}

func TestLookups(t *testing.T) {
	check := approved(t)
	s := newSession(t, nil, 0)
	s.app.In = strings.NewReader("test\n")
	s.run("key", "hash")
	s.run("codes", "base_moved")
	s.run("codes", "1")
	s.run("events", "2005")
	s.run("version")
	write(t, "core.yaml", "name: core-1\nregoin: lagos\ngrant: {ttl: 9s}\n")
	s.run("settings", "check", "core.yaml")
	write(t, "core.yaml", "name: core-1\n")
	s.run("settings", "check", "core.yaml")
	s.run("settings", "check", "core.yaml", "--role", "core")
	s.run("settings", "list", "-o", "xml")
	s.run("front", "--config", "none.yaml")
	s.run("sheet", "--help")
	s.run("nonsense")
	check("lookups", s)
}

func TestRun(t *testing.T) {
	Convey("A process gets its role and settings, ends well with its context, and its events are written out", t, func() {
		s := newSession(t, nil, 0)
		write(t, "front.yaml", `{name: n1, region: lagos, zone: a, listen: {caller: "127.0.0.1:1", internal: "127.0.0.1:2"},
seeds: ["127.0.0.1:3"], fleet.secret: 0123456789abcdef, disk.sync_delay: 5ms}`)
		ctx, cancel := context.WithCancel(context.Background())
		s.app.Clock = kernel.System()
		s.app.Node = func(ctx kernel.Context, role string, values *settings.Values, log events.Log) error {
			So(role, ShouldEqual, "front")
			So(values.String("name"), ShouldEqual, "n1")
			cancel()
			<-ctx.Done()
			log.Emit(events.ProcessStopped)
			return nil
		}
		So(s.app.Main(ctx, []string{"front", "--config", "front.yaml"}), ShouldEqual, 0)
		So(s.transcript.String(), ShouldContainSubstring, "event_name=process_stopped")
		So(s.transcript.String(), ShouldContainSubstring, "event_name=proof_setting setting=disk.sync_delay value=5ms")

		s.app.Node = func(kernel.Context, string, *settings.Values, events.Log) error {
			return kernel.Decline(kernel.BadRecord, "data/log-3 at 4096")
		}
		So(s.app.Main(ctx, []string{"front", "--config", "front.yaml"}), ShouldEqual, ExitNo)
		So(s.transcript.String(), ShouldEndWith, "stepwick: bad_record (5007): data/log-3 at 4096\n")
	})
}

func TestPages(t *testing.T) {
	Convey("The pages that come from the tables are those in docs", t, func() {
		for name, text := range Pages() {
			kept, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
			So(err, ShouldBeNil)
			So(string(kept), ShouldEqual, text)
		}
	})
	Convey("Every command has a short help, and every one that runs has an example", t, func() {
		root := New(nil).root()
		for _, command := range root.Commands() {
			for _, one := range append(command.Commands(), command) {
				So(one.Short, ShouldNotBeBlank)
				if !one.Hidden && one.Name() != "help" && one.Name() != "completion" && one.Runnable() {
					So(one.Example, ShouldNotBeBlank)
				}
			}
		}
	})
}
