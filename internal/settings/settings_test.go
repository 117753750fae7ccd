package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/spf13/pflag"
)

func parseFlags(args ...string) *pflag.FlagSet {
	flags := pflag.NewFlagSet("core", pflag.ContinueOnError)
	Register(flags)
	if err := flags.Parse(args); err != nil {
		panic(err)
	}
	return flags
}

const validFile = `
name: core-1
region: lagos
zone: a
listen:
  caller: 127.0.0.1:8080
  internal: 127.0.0.1:8081
seeds:
  - 127.0.0.2:8081
  - 127.0.0.3:8081
fleet.secret: a-secret-of-the-fleet
operator.keys: ["ada:` + operatorKeyHash + `"]
data: data
lease: {ttl: 1s, renew: 250ms}
disk.segment: 8MiB
`

const operatorKeyHash = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestFormerNamesWorkAndAreReported(t *testing.T) {
	Convey("A former name is accepted in the file and as a flag, and its use in the file is reported", t, func() {
		values, problems := Read("s.yaml", []byte("grant: {ttl: 1s}\n"), parseFlags("--grant.renew=300ms"), "")
		So(problems, ShouldBeEmpty)
		So(values.Duration("lease.ttl"), ShouldEqual, time.Second)
		So(values.Duration("lease.renew"), ShouldEqual, 300*time.Millisecond)
		So(values.FormerNamesUsed(), ShouldResemble, map[string]string{"grant.ttl": "lease.ttl"})
	})
	Convey("The former and the current name together set the same setting twice", t, func() {
		_, problems := Read("s.yaml", []byte("lease.ttl: 1s\ngrant.ttl: 1s\n"), nil, "")
		So(problems, ShouldHaveLength, 1)
		So(problems[0].String(), ShouldEqual, "s.yaml:2: lease.ttl: set twice; first set at line 1")
	})
}

func TestDefaultsPassTheirChecks(t *testing.T) {
	Convey("Each default passes its check, names are unique, and rows are complete", t, func() {
		seen := map[string]bool{}
		for _, row := range Table {
			So(seen[row.Name], ShouldBeFalse)
			seen[row.Name] = true
			_, err := row.Parse(row.Default)
			So(err, ShouldBeNil)
			So(row.Help, ShouldEndWith, ".")
			So(row.Check == nil, ShouldEqual, row.Rule == "")
			So(row.Unit != "", ShouldEqual, row.Type == Int || row.Type == Float)
		}
	})
}

func TestReadReportsAllProblemsAtOnce(t *testing.T) {
	Convey("The file overrides defaults and flags override the file, with nested and dotted names", t, func() {
		values, problems := Read("s.yaml", []byte(validFile), parseFlags("--lease.renew=300ms", "--seeds", "127.0.0.4:1", "--seeds", "127.0.0.5:1"), RoleCore)
		So(problems, ShouldBeEmpty)
		So(values.String("listen.internal"), ShouldEqual, "127.0.0.1:8081")
		So(values.Duration("lease.ttl"), ShouldEqual, time.Second)
		So(values.Duration("lease.renew"), ShouldEqual, 300*time.Millisecond)
		So(values.Strings("seeds"), ShouldResemble, []string{"127.0.0.4:1", "127.0.0.5:1"})
		So(values.Int("disk.segment"), ShouldEqual, 8<<20)
		So(values.Text("disk.segment"), ShouldEqual, "8MiB")
		So(values.Float("retry.budget"), ShouldEqual, 0.1)
		So(values.Bool("core.front"), ShouldBeTrue)
		So(values.Text("fleet.secret"), ShouldEqual, "****")
		So(values.Text("operator.keys"), ShouldEqual, "****")
		So(values.Source("lease.ttl")+values.Source("lease.renew")+values.Source("log.level"), ShouldEqual, "fileflagdefault")
		So(func() { values.Int("name") }, ShouldPanic)
	})

	Convey("All problems are reported together, with line and reason", t, func() {
		const bad = `name: core 1
lease.tll: 1s
listen:
  caller: here
  colour: red
lease:
  ttl: 3s
  ttl: 2s
seeds: {a: b}
quota_window: 8
retry.budget: .nan
operator.keys: [ada:abc]
core.voters: 4
`
		_, problems := Read("s.yaml", []byte(bad), parseFlags("--body.max=1GiB", "--bind=nowhere"), RoleCore)
		var lines []string
		for _, problem := range problems {
			lines = append(lines, problem.String())
		}
		So(strings.Join(lines, "\n"), ShouldEqual, strings.TrimSpace(`
s.yaml:1: name: ' ' is not a letter, digit, '-', '_' or '.'
s.yaml:2: lease.tll: unknown setting; did you mean lease.ttl?
s.yaml:4: listen.caller: "here" is not an address of the form IP:PORT
s.yaml:5: listen.colour: unknown setting
s.yaml:7: lease.ttl: 3s is not within 100ms to 2s
s.yaml:8: lease.ttl: set twice; first set at line 7
s.yaml:9: seeds: must be a list
s.yaml:10: quota_window: "8" is not a duration such as 500ms or 2s
s.yaml:11: retry.budget: ".nan" is not a finite number
s.yaml:12: operator.keys: entry 1 is not of the form NAME:SHA256HEX
s.yaml:13: core.voters: 4 is not one of [1 3 5 7]
--bind: "nowhere" is not an IP address
--body.max: 1GiB is not within 1KiB to 64MiB`))
	})

	Convey("Settings that contradict each other or that the role requires are reported", t, func() {
		_, problems := Read("s.yaml", []byte("lease.renew: 1s\nlease.ttl: 1s\nlisten.caller: 0.0.0.0:80\n"), parseFlags("--deadline.max=1s"), RoleFront)
		var names []string
		for _, problem := range problems {
			names = append(names, problem.Name)
		}
		So(names, ShouldResemble, []string{"lease.renew", "deadline.default", "name", "region", "zone",
			"listen.internal", "seeds", "fleet.secret", "advertise.caller"})
		So(problems[0].Line, ShouldEqual, 1)
	})

	Convey("A file that is not a mapping, is invalid or is missing is reported", t, func() {
		_, problems := Read("s.yaml", []byte("- a\n"), nil, "")
		So(problems, ShouldHaveLength, 1)
		_, problems = Read("s.yaml", []byte("a: [\n"), nil, "")
		So(problems, ShouldHaveLength, 1)
		_, err := Load(filepath.Join(t.TempDir(), "none.yaml"), nil)
		So(apierror.From(err).Code, ShouldEqual, apierror.BadSetting)
	})

	Convey("A region or zone is rejected if it is not a valid name in a sheet", t, func() {
		_, problems := Read("s.yaml", []byte("region: eu.west\nzone: a/b\n"), nil, "")
		So(problems, ShouldHaveLength, 2)
		_, problems = Read("s.yaml", []byte("region: concepción\nzone: b-1\n"), nil, "")
		So(problems, ShouldBeEmpty)
	})

	Convey("A secret may be read from a file, and is checked there", t, func() {
		file := filepath.Join(t.TempDir(), "secret")
		So(os.WriteFile(file, []byte("0123456789abcdef\n"), 0o600), ShouldBeNil)
		values, problems := Read("s.yaml", []byte("fleet.secret: '@"+file+"'"), nil, "")
		So(problems, ShouldBeEmpty)
		So(values.String("fleet.secret"), ShouldEqual, "0123456789abcdef")
		So(os.WriteFile(file, []byte("short\n"), 0o600), ShouldBeNil)
		_, problems = Read("s.yaml", []byte("fleet.secret: '@"+file+"'"), nil, "")
		So(problems, ShouldHaveLength, 1)
	})
}

func TestSheetMaySetRuntimeSettingsOnly(t *testing.T) {
	Convey("A sheet may set only run-time settings, and only to valid values", t, func() {
		So(ValidateRuntime("route.strategy", "least_loaded"), ShouldBeNil)
		for _, bad := range [][3]string{
			{"route.strategy", "best", `"best" is not one of affinity, round_robin, least_loaded`},
			{"lease.ttl", "1s", "can't be changed at run time; set it in the settings file"},
			{"route.pendin", "1", "unknown setting; did you mean route.pending?"},
			{"route.pending", "-1", "-1 is not within 0 to 100000"},
		} {
			So(ValidateRuntime(bad[0], bad[1]), ShouldBeError, bad[2])
		}
		values, _ := Read("", nil, nil, "")
		changed := values.WithRuntime(map[string]string{"retry.budget": "0.5", "lease.ttl": "1s"})
		So(changed.Float("retry.budget"), ShouldEqual, 0.5)
		So(changed.Source("retry.budget"), ShouldEqual, "sheet")
		So(changed.Duration("lease.ttl"), ShouldEqual, 2*time.Second)
		So(values.Float("retry.budget"), ShouldEqual, 0.1)
		So(RuntimeNames(), ShouldContain, "deadline.default")
	})
}

func TestParseSize(t *testing.T) {
	Convey("Sizes are parsed with and without units; invalid or overflowing ones are rejected", t, func() {
		for text, want := range map[string]int{"0": 0, "65536": 65536, "64KiB": 64 << 10, "4 MiB": 4 << 20, "1GiB": 1 << 30} {
			value, err := Size.parse(text)
			So(err, ShouldBeNil)
			So(value, ShouldEqual, want)
		}
		for _, text := range []string{"", "KiB", "1MB", "1.5MiB", "9999999999999GiB"} {
			_, err := Size.parse(text)
			So(err, ShouldNotBeNil)
		}
		So(FormatSize(1536), ShouldEqual, "1536")
	})
}
