package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func drawSheet(t *rapid.T) *sheet.Sheet {
	s := &sheet.Sheet{Services: map[string]sheet.Service{}, Weights: map[string]map[string]float64{}, Tenants: map[string]sheet.Tenant{}, Settings: map[string]string{}}
	for i := range rapid.IntRange(1, 3).Draw(t, "services") {
		name := fmt.Sprintf("s%d", i)
		s.Services[name] = sheet.Service{Kind: rapid.SampledFrom([]string{sheet.KindModel, sheet.KindWeb}).Draw(t, "kind")}
		s.Weights[name] = map[string]float64{"lagos": rapid.Float64Range(0.1, 100).Draw(t, "weight"), "abeokuta": rapid.Float64Range(0, 100).Draw(t, "weight")}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		s.Tenants[fmt.Sprintf("t%d", i)] = sheet.Tenant{Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), KeyHashes: []string{hashOf(fmt.Sprint(i))}}
	}
	return s
}

func drawChange(t *rapid.T) sheet.Change {
	path := rapid.SampledFrom([]string{"weights.s0.lagos", "weights.s0.ibadan", "weights.s1.lagos", "tenants.t0.rate",
		"tenants.t1.burst", "tenants.t0", "settings.x.y", "weights.s0", "nowhere.x"}).Draw(t, "path")
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		return sheet.Change{Path: path, Delete: true}
	}
	value := rapid.SampledFrom([]string{"3", "0", "-2", `"text"`, `{"lagos":4}`, `{"rate":9}`}).Draw(t, "value")
	return sheet.Change{Path: path, Value: json.RawMessage(value)}
}

func drawCommand(t *rapid.T, s State) Command {
	order := Order{Operator: rapid.SampledFrom([]string{"ada", "bola"}).Draw(t, "operator"),
		OrderID: rapid.SampledFrom([]string{"", "o1", "o2", "o3", "o4"}).Draw(t, "id"),
		Base:    s.SheetVersion - min(s.SheetVersion, uint64(rapid.IntRange(0, 1).Draw(t, "behind")))}
	place := rapid.SampledFrom([]string{"lagos", "lagos/a", "abeokuta/c", "no/such/place"}).Draw(t, "place")
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"n1", "n2", "n3", "n4"}), 1, 3).Draw(t, "names")
	switch rapid.IntRange(0, 9).Draw(t, "verb") {
	case 0, 1:
		return PutSheet{Order: order, Sheet: drawSheet(t)}
	case 2, 3:
		return PatchSheet{Order: order, Changes: rapid.SliceOfN(rapid.Custom(drawChange), 0, 3).Draw(t, "changes")}
	case 4:
		return Evacuate{Order: order, Zone: place}
	case 5:
		return Restore{Order: order, Zone: place}
	case 6:
		var members []Member
		for _, name := range names {
			members = append(members, Member{Name: name, Region: "lagos", Zone: "a", Front: true})
		}
		return AddMembers{Members: members, ProposedBy: "n1"}
	case 7:
		if rapid.Bool().Draw(t, "by core") {
			return RemoveMembers{Names: names, ProposedBy: "n1"}
		}
		return RemoveMembers{Order: order, Names: names}
	case 8:
		return CommitRoster{RosterVersion: s.RosterVersion}
	}
	return AcquireRole{Role: "planner", Term: s.Roles["planner"].Term + uint64(rapid.IntRange(0, 2).Draw(t, "term")), Holder: names[0]}
}

func encodeWithoutVersion(s State) string { s.Version = 0; return string(s.Encode()) }

func TestStepIsDeterministicAndAppliesAnOrderOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var live, reread State
		results := make(map[string]Result)
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			command := drawCommand(t, live)
			data := Encode(command)
			before, base := live.Encode(), live
			next, result := live.Step(live.Version+1, data)
			if seen, sure := live.Predict(command); sure && (seen.Code != result.Code || seen.SheetVersion != result.SheetVersion) {
				t.Fatalf("%s: foreseen %+v, got %+v", command.Verb(), seen, result)
			}
			again, replayed := reread.Step(reread.Version+1, data)
			if !bytes.Equal(before, base.Encode()) {
				t.Fatalf("%s changed an earlier state", command.Verb())
			}
			if !bytes.Equal(next.Encode(), again.Encode()) || result != replayed {
				t.Fatalf("%s: a state read back steps elsewhere", command.Verb())
			}
			if next.Version != base.Version+1 || next.SheetVersion < base.SheetVersion || next.RosterVersion < base.RosterVersion {
				t.Fatalf("%s: an epoch went back", command.Verb())
			}
			if result.Code != apierror.OK && encodeWithoutVersion(next) != encodeWithoutVersion(base) {
				t.Fatalf("%s was refused with %v and left a trace", command.Verb(), result.Code)
			}
			if next.Sheet != base.Sheet && next.Sheet.Check() != nil {
				t.Fatalf("%s: an invalid sheet was accepted", command.Verb())
			}
			if !base.RosterCommitted() && !next.RosterCommitted() && next.RosterVersion != base.RosterVersion && command.Verb() != VerbRemoveMembers {
				t.Fatalf("%s: a change of the roster overtook one that is not settled", command.Verb())
			}
			if order, ok := OrderOf(command); ok && order.OrderID != "" && result.Code == apierror.OK {
				if first, known := results[order.OrderID+order.Digest]; known && first != result {
					t.Fatalf("order %s was answered %v, then %v", order.OrderID, first, result)
				}
				results[order.OrderID+order.Digest] = result
				repeated, answer := next.Step(next.Version+1, data)
				if answer != result || encodeWithoutVersion(repeated) != encodeWithoutVersion(next) {
					t.Fatalf("order %s was applied twice", order.OrderID)
				}
			}
			var err error
			if reread, err = DecodeState(again.Encode()); err != nil {
				t.Fatal(err)
			}
			live = next
		}
		for _, record := range live.History {
			if first, known := results[record.OrderID+record.Digest]; record.OrderID != "" && known && first.Version != record.Version {
				t.Fatalf("order %s was applied at %d and at %d", record.OrderID, first.Version, record.Version)
			}
		}
	})
}

func TestOneOrderWinsOnABase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := PutSheet{Sheet: drawSheet(t)}.Apply(State{}, 1)
		base := s.SheetVersion
		var won []uint64
		for i := range rapid.IntRange(2, 6).Draw(t, "rivals") {
			order := Order{Operator: fmt.Sprintf("op%d", i), Base: base}
			var command Command = PutSheet{Order: order, Sheet: drawSheet(t)}
			if rapid.Bool().Draw(t, "patch") {
				command = PatchSheet{Order: order, Changes: []sheet.Change{{Path: "weights.s0.lagos", Value: json.RawMessage("3")}}}
			}
			var result Result
			s, result = s.Step(s.Version+1, Encode(command))
			if result.Code == apierror.OK {
				won = append(won, result.Version)
			} else if result.Code != apierror.BaseMoved || result.Version != won[0] {
				t.Fatalf("the losing order got %+v", result)
			}
		}
		if len(won) != 1 {
			t.Fatalf("%d orders won on one base", len(won))
		}
	})
}

func TestPatchEqualsPutOfThePatchedSheet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := PutSheet{Sheet: drawSheet(t)}.Apply(State{}, 1)
		changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 4).Draw(t, "changes")
		patched, result := PatchSheet{Order: Order{Base: 1}, Changes: changes}.Apply(s, 2)
		if result.Code != apierror.OK {
			return
		}
		put, result := PutSheet{Order: Order{Base: 1}, Sheet: patched.Sheet}.Apply(s, 2)
		if result.Code != apierror.OK || mustEncode(put.Sheet) != mustEncode(patched.Sheet) {
			t.Fatalf("put of the patched sheet gave %+v", result)
		}
		back, apiErr := sheet.ImportCSV(patched.Sheet.ExportCSV(), 1<<20)
		if apiErr != nil || len(sheet.Diff(patched.Sheet, back)) != 0 {
			t.Fatalf("the spreadsheet lost cells: %v %v", apiErr, sheet.Diff(patched.Sheet, back))
		}
	})
}

func TestMalformedBytesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(mustEncode(drawSheet(t)))
		if rapid.Bool().Draw(t, "envelope") {
			data = []byte(`{"base":0,"sheet":` + string(data) + `,"changes":[{"path":"tenants.a.keys","value":["x"]}],"names":["a"],"locality":"x"}`)
		}
		for range rapid.IntRange(0, 3).Draw(t, "cuts") {
			at := rapid.IntRange(0, len(data)).Draw(t, "at")
			data = append(append(bytes.Clone(data[:at]), rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "junk")...), data[min(len(data), at+1):]...)
		}
		if s, apiErr := sheet.ParseSheet(data, 1<<20); apiErr == nil && s.Check() != nil {
			t.Fatal("an invalid sheet was read")
		}
		for verb := range orderSchemas {
			if command, apiErr := ParseOrder(verb, "ada", data, OrderLimits{MaxBytes: 1 << 20}, 1); apiErr == nil {
				if _, err := Decode(Encode(command)); err != nil {
					t.Fatal(err)
				}
			}
		}
		before := State{Version: 4, SheetVersion: 2}
		after, result := before.Step(5, data)
		if result.Code != apierror.Internal || encodeWithoutVersion(after) != encodeWithoutVersion(before) || after.Version != 5 {
			t.Fatalf("bytes that are no command gave %+v", result)
		}
	})
}

func TestStateTransitions(t *testing.T) {
	Convey("Steps are taken in order only", t, func() {
		s := State{Version: 4}
		for _, version := range []uint64{0, 3, 4, 6} {
			next, result := s.Step(version, Encode(Noop{}))
			So(result.Code, ShouldEqual, apierror.VersionBehind)
			So(next.Version, ShouldEqual, 4)
		}
	})
	Convey("The memory of orders is bounded and the same from the log", t, func() {
		var s State
		for i := range 3 * MaxHistory {
			s, _ = Evacuate{Order: Order{OrderID: fmt.Sprint(i), Operator: "ada"}, Zone: "lagos"}.Apply(s, s.Version+1)
		}
		So(len(s.History), ShouldEqual, MaxHistory)
		So(s.History[0].OrderID, ShouldEqual, fmt.Sprint(2*MaxHistory))
		So(s.Evacuated["lagos"], ShouldEqual, 1)
	})
	Convey("An evacuation of a region covers its zones, and is independent of theirs", t, func() {
		s, _ := Evacuate{Zone: "lagos"}.Apply(State{}, 1)
		s, _ = Evacuate{Zone: "abeokuta/c"}.Apply(s, 2)
		So(s.IsEvacuated("lagos", "a"), ShouldBeTrue)
		So(s.IsEvacuated("abeokuta", "c"), ShouldBeTrue)
		So(s.IsEvacuated("abeokuta", "d"), ShouldBeFalse)
		s, _ = Restore{Zone: "lagos"}.Apply(s, 3)
		So(s.IsEvacuated("lagos", "a"), ShouldBeFalse)
	})
	Convey("A change of the roster waits until the one before it is committed, unless an operator orders it", t, func() {
		add := func(names ...string) AddMembers {
			var c AddMembers
			for _, name := range names {
				c.Members = append(c.Members, Member{Name: name, Front: true})
			}
			return c
		}
		s, _ := add("n1", "n2", "n3").Apply(State{}, 1)
		So(s.RosterCommitted(), ShouldBeTrue)
		s, _ = add("n3", "n4", "n5").Apply(s, 2)
		So(len(s.PriorRoster), ShouldEqual, 3)
		So(len(s.Roster), ShouldEqual, 5)
		s, result := RemoveMembers{Names: []string{"n1"}, ProposedBy: "n2"}.Apply(s, 3)
		So(result.Code, ShouldEqual, apierror.VersionBehind)
		s, result = add("n5").Apply(s, 4)
		So(result.Code, ShouldEqual, apierror.OK)
		So(s.RosterVersion, ShouldEqual, 2)
		s, result = RemoveMembers{Order: Order{Operator: "ada"}, Names: []string{"n1", "n4"}}.Apply(s, 5)
		So(result.Code, ShouldEqual, apierror.OK)
		So(slices.Sorted(maps.Keys(s.Roster)), ShouldResemble, []string{"n2", "n3", "n5"})
		So(slices.Sorted(maps.Keys(s.PriorRoster)), ShouldResemble, []string{"n2", "n3"})
		s, _ = CommitRoster{RosterVersion: 2}.Apply(s, 6)
		So(s.RosterCommitted(), ShouldBeFalse)
		s, _ = CommitRoster{RosterVersion: 5}.Apply(s, 7)
		So(s.RosterCommitted(), ShouldBeTrue)
		_, result = RemoveMembers{Order: Order{Operator: "ada"}, Names: []string{"n9"}}.Apply(s, 8)
		So(result.Code, ShouldEqual, apierror.UnknownMember)
	})
	Convey("A term of a role has one holder, whose repeated claim succeeds", t, func() {
		s, first := AcquireRole{"planner", 1, "n1"}.Apply(State{}, 1)
		So(first.Code, ShouldEqual, apierror.OK)
		s, again := AcquireRole{"planner", 1, "n1"}.Apply(s, 2)
		So(again.Code, ShouldEqual, apierror.OK)
		s, late := AcquireRole{"planner", 1, "n2"}.Apply(s, 3)
		So(late.Code, ShouldEqual, apierror.BaseMoved)
		s, early := AcquireRole{"planner", 3, "n2"}.Apply(s, 4)
		So(early.Code, ShouldEqual, apierror.BaseMoved)
		s, next := AcquireRole{"planner", 2, "n2"}.Apply(s, 5)
		So(next.Code, ShouldEqual, apierror.OK)
		So(s.Roles["planner"], ShouldResemble, RoleTerm{Term: 2, Holder: "n2"})
	})
}

func TestExchangeTranscript(t *testing.T) {
	script, err := os.ReadFile("testdata/exchange.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	var s State
	for line := range strings.Lines(string(script)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			fmt.Fprintln(&out, line)
			continue
		}
		operator, rest, _ := strings.Cut(line, " ")
		verb, body, _ := strings.Cut(rest, " ")
		fmt.Fprintf(&out, "> %s\n", line)
		command, apiErr := ParseOrder(verb, operator, []byte(body), OrderLimits{MaxBytes: 2000}, 1790000000000+int64(s.Version))
		if apiErr != nil {
			fmt.Fprintf(&out, "< %v, before any ballot\n", apiErr)
			continue
		}
		result, sure := s.Predict(command)
		if !sure {
			s, result = s.Step(s.Version+1, Encode(command))
		}
		fmt.Fprintf(&out, "< %d %s epoch=%d sheet_epoch=%d %s\n", result.Code, result.Code, result.Version, result.SheetVersion, result.Detail)
	}
	fmt.Fprintf(&out, "\nepoch %d, sheet epoch %d, evacuated %s\n", s.Version, s.SheetVersion, mustEncode(s.Evacuated))
	for _, r := range s.History {
		fmt.Fprintf(&out, "%d %s %s %.12s: %s\n", r.Version, r.Operator, r.Verb, r.OrderID, r.Summary)
	}
	out.Write(s.Sheet.ExportCSV())
	goldie.New(t).Assert(t, "exchange", []byte(out.String()))
}

func stateWithTenants(tenants int) State {
	s := sampleSheet()
	for i := range tenants {
		name := fmt.Sprintf("tenant-%05d", i)
		s.Tenants[name] = sheet.Tenant{Rate: 100, Burst: 50, Home: "lagos", KeyHashes: []string{hashOf(name)}}
	}
	state, result := PutSheet{Sheet: s}.Apply(State{}, 1)
	if result.Code != apierror.OK {
		panic(result.Detail)
	}
	return state
}

func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{5, 100, 1000, 14000} {
		s := stateWithTenants(tenants)
		body := []byte(`{"base":1,"changes":[{"path":"tenants.press.rate","value":900}]}`)
		command, _ := ParseOrder(sheet.VerbPatch, "ada", body, OrderLimits{MaxBytes: 1 << 20}, 1)
		patch, data, document := Encode(command), s.Encode(), []byte(mustEncode(s.Sheet))
		run := func(name string, f func()) {
			b.Run(fmt.Sprintf("%s/tenants=%d", name, tenants), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					f()
				}
			})
		}
		run("StepPatch", func() { s.Step(2, patch) })
		run("StateEncode", func() { s.Encode() })
		run("StateDecode", func() { _, _ = DecodeState(data) })
		run("ParseSheet", func() { _, _ = sheet.ParseSheet(document, sheet.MaxBytes) })
		run("Index", func() { s.Index() })
		x := s.Index()
		run("TenantOfKey", func() { x.Tenant("press-1") })
		b.Logf("tenants=%d state=%d bytes patch=%d bytes", tenants, len(data), len(patch))
	}
}
