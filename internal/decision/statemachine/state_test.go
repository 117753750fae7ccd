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
		s.Tenants[fmt.Sprintf("t%d", i)] = sheet.Tenant{Rate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), KeyHashes: []string{hashKey(fmt.Sprint(i))}}
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

func drawCommand(t *rapid.T, state State) Command {
	order := Order{Operator: rapid.SampledFrom([]string{"ada", "bola"}).Draw(t, "operator"),
		OrderID: rapid.SampledFrom([]string{"", "o1", "o2", "o3", "o4"}).Draw(t, "id"),
		Base:    state.SheetVersion - min(state.SheetVersion, uint64(rapid.IntRange(0, 1).Draw(t, "behind")))}
	zone := rapid.SampledFrom([]string{"lagos", "lagos/a", "abeokuta/c", "no/such/place"}).Draw(t, "zone")
	names := rapid.SliceOfN(rapid.SampledFrom([]string{"n1", "n2", "n3", "n4"}), 1, 3).Draw(t, "names")
	switch rapid.IntRange(0, 9).Draw(t, "verb") {
	case 0, 1:
		return PutSheet{Order: order, Sheet: drawSheet(t)}
	case 2, 3:
		return PatchSheet{Order: order, Changes: rapid.SliceOfN(rapid.Custom(drawChange), 0, 3).Draw(t, "changes")}
	case 4:
		return Evacuate{Order: order, Zone: zone}
	case 5:
		return Restore{Order: order, Zone: zone}
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
		return CommitRoster{RosterVersion: state.RosterVersion}
	}
	return AcquireRole{Role: "planner", Term: state.Roles["planner"].Term + uint64(rapid.IntRange(0, 2).Draw(t, "term")), Holder: names[0]}
}

func encodeIgnoringVersion(state State) string { state.Version = 0; return string(state.Encode()) }

func TestStepIsDeterministicAndAppliesAnOrderOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state, restored State
		results := make(map[string]Result)
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			command := drawCommand(t, state)
			data := Encode(command)
			previousBytes, previous := state.Encode(), state
			next, result := state.Step(state.Version+1, data)
			if predicted, decided := state.Predict(command); decided && (predicted.Code != result.Code || predicted.SheetVersion != result.SheetVersion) {
				t.Fatalf("%s: Predict returned %+v, Step returned %+v", command.Verb(), predicted, result)
			}
			restoredNext, restoredResult := restored.Step(restored.Version+1, data)
			if !bytes.Equal(previousBytes, previous.Encode()) {
				t.Fatalf("%s modified the state that it was applied to", command.Verb())
			}
			if !bytes.Equal(next.Encode(), restoredNext.Encode()) || result != restoredResult {
				t.Fatalf("%s: applying it to a decoded state gave another state or result", command.Verb())
			}
			if next.Version != previous.Version+1 || next.SheetVersion < previous.SheetVersion || next.RosterVersion < previous.RosterVersion {
				t.Fatalf("%s: a version decreased", command.Verb())
			}
			if result.Code != apierror.OK && encodeIgnoringVersion(next) != encodeIgnoringVersion(previous) {
				t.Fatalf("%s was rejected with %v but changed the state", command.Verb(), result.Code)
			}
			if next.Sheet != previous.Sheet && next.Sheet.Check() != nil {
				t.Fatalf("%s: an invalid sheet was accepted", command.Verb())
			}
			if !previous.RosterCommitted() && !next.RosterCommitted() && next.RosterVersion != previous.RosterVersion && command.Verb() != VerbRemoveMembers {
				t.Fatalf("%s: the roster changed while an earlier change was uncommitted", command.Verb())
			}
			if order, ok := OrderOf(command); ok && order.OrderID != "" && result.Code == apierror.OK {
				if first, recorded := results[order.OrderID+order.Digest]; recorded && first != result {
					t.Fatalf("order %s: the first result was %v, a later one %v", order.OrderID, first, result)
				}
				results[order.OrderID+order.Digest] = result
				afterReplay, replayResult := next.Step(next.Version+1, data)
				if replayResult != result || encodeIgnoringVersion(afterReplay) != encodeIgnoringVersion(next) {
					t.Fatalf("order %s was applied twice", order.OrderID)
				}
			}
			var err error
			if restored, err = DecodeState(restoredNext.Encode()); err != nil {
				t.Fatal(err)
			}
			state = next
		}
		for _, record := range state.History {
			if first, recorded := results[record.OrderID+record.Digest]; record.OrderID != "" && recorded && first.Version != record.Version {
				t.Fatalf("order %s was applied at %d and at %d", record.OrderID, first.Version, record.Version)
			}
		}
	})
}

func TestOnlyOneOrderPerBaseIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, _ := PutSheet{Sheet: drawSheet(t)}.Apply(State{}, 1)
		base := s.SheetVersion
		var accepted []uint64
		for i := range rapid.IntRange(2, 6).Draw(t, "orders") {
			order := Order{Operator: fmt.Sprintf("op%d", i), Base: base}
			var command Command = PutSheet{Order: order, Sheet: drawSheet(t)}
			if rapid.Bool().Draw(t, "patch") {
				command = PatchSheet{Order: order, Changes: []sheet.Change{{Path: "weights.s0.lagos", Value: json.RawMessage("3")}}}
			}
			var result Result
			s, result = s.Step(s.Version+1, Encode(command))
			if result.Code == apierror.OK {
				accepted = append(accepted, result.Version)
			} else if result.Code != apierror.BaseConflict || result.Version != accepted[0] {
				t.Fatalf("a rejected order returned %+v", result)
			}
		}
		if len(accepted) != 1 {
			t.Fatalf("%d orders were accepted on one base, want 1", len(accepted))
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
			t.Fatalf("put of the patched sheet returned %+v", result)
		}
		imported, apiErr := sheet.ImportCSV(patched.Sheet.ExportCSV(), 1<<20)
		if apiErr != nil || len(sheet.Diff(patched.Sheet, imported)) != 0 {
			t.Fatalf("CSV export and import changed the sheet: %v %v", apiErr, sheet.Diff(patched.Sheet, imported))
		}
	})
}

func TestMalformedOrdersAndCommandsAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(mustEncode(drawSheet(t)))
		if rapid.Bool().Draw(t, "envelope") {
			data = []byte(`{"base":0,"sheet":` + string(data) + `,"changes":[{"path":"tenants.a.keys","value":["x"]}],"names":["a"],"locality":"x"}`)
		}
		for range rapid.IntRange(0, 3).Draw(t, "edits") {
			offset := rapid.IntRange(0, len(data)).Draw(t, "offset")
			data = append(append(bytes.Clone(data[:offset]), rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "junk")...), data[min(len(data), offset+1):]...)
		}
		if s, apiErr := sheet.ParseSheet(data, 1<<20); apiErr == nil && s.Check() != nil {
			t.Fatal("ParseSheet returned an invalid sheet")
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
		if result.Code != apierror.Internal || encodeIgnoringVersion(after) != encodeIgnoringVersion(before) || after.Version != 5 {
			t.Fatalf("Step with malformed bytes returned %+v", result)
		}
	})
}

func TestStateTransitions(t *testing.T) {
	Convey("Step applies a command only at the version after the state's", t, func() {
		s := State{Version: 4}
		for _, version := range []uint64{0, 3, 4, 6} {
			next, result := s.Step(version, Encode(Noop{}))
			So(result.Code, ShouldEqual, apierror.VersionBehind)
			So(next.Version, ShouldEqual, 4)
		}
	})
	Convey("The history is bounded by MaxHistory and drops the oldest orders first", t, func() {
		var s State
		for i := range 3 * MaxHistory {
			s, _ = Evacuate{Order: Order{OrderID: fmt.Sprint(i), Operator: "ada"}, Zone: "lagos"}.Apply(s, s.Version+1)
		}
		So(len(s.History), ShouldEqual, MaxHistory)
		So(s.History[0].OrderID, ShouldEqual, fmt.Sprint(2*MaxHistory))
		So(s.Evacuated["lagos"], ShouldEqual, 1)
	})
	Convey("An evacuation of a region covers its zones and is independent of zone evacuations", t, func() {
		s, _ := Evacuate{Zone: "lagos"}.Apply(State{}, 1)
		s, _ = Evacuate{Zone: "abeokuta/c"}.Apply(s, 2)
		So(s.IsEvacuated("lagos", "a"), ShouldBeTrue)
		So(s.IsEvacuated("abeokuta", "c"), ShouldBeTrue)
		So(s.IsEvacuated("abeokuta", "d"), ShouldBeFalse)
		s, _ = Restore{Zone: "lagos"}.Apply(s, 3)
		So(s.IsEvacuated("lagos", "a"), ShouldBeFalse)
	})
	Convey("A roster change is rejected until the previous one is committed, unless an operator orders it", t, func() {
		addMembers := func(names ...string) AddMembers {
			var c AddMembers
			for _, name := range names {
				c.Members = append(c.Members, Member{Name: name, Front: true})
			}
			return c
		}
		s, _ := addMembers("n1", "n2", "n3").Apply(State{}, 1)
		So(s.RosterCommitted(), ShouldBeTrue)
		s, _ = addMembers("n3", "n4", "n5").Apply(s, 2)
		So(len(s.PriorRoster), ShouldEqual, 3)
		So(len(s.Roster), ShouldEqual, 5)
		s, result := RemoveMembers{Names: []string{"n1"}, ProposedBy: "n2"}.Apply(s, 3)
		So(result.Code, ShouldEqual, apierror.VersionBehind)
		s, result = addMembers("n5").Apply(s, 4)
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
	Convey("A term of a role has one holder, and the holder's repeated claim succeeds", t, func() {
		s, first := AcquireRole{"planner", 1, "n1"}.Apply(State{}, 1)
		So(first.Code, ShouldEqual, apierror.OK)
		s, again := AcquireRole{"planner", 1, "n1"}.Apply(s, 2)
		So(again.Code, ShouldEqual, apierror.OK)
		s, late := AcquireRole{"planner", 1, "n2"}.Apply(s, 3)
		So(late.Code, ShouldEqual, apierror.BaseConflict)
		s, early := AcquireRole{"planner", 3, "n2"}.Apply(s, 4)
		So(early.Code, ShouldEqual, apierror.BaseConflict)
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
		result, decided := s.Predict(command)
		if !decided {
			s, result = s.Step(s.Version+1, Encode(command))
		}
		fmt.Fprintf(&out, "< %d %s epoch=%d sheet_epoch=%d %s\n", result.Code, result.Code, result.Version, result.SheetVersion, result.Detail)
	}
	fmt.Fprintf(&out, "\nepoch %d, sheet epoch %d, evacuated %s\n", s.Version, s.SheetVersion, mustEncode(s.Evacuated))
	for _, record := range s.History {
		fmt.Fprintf(&out, "%d %s %s %.12s: %s\n", record.Version, record.Operator, record.Verb, record.OrderID, record.Summary)
	}
	out.Write(s.Sheet.ExportCSV())
	goldie.New(t).Assert(t, "exchange", []byte(out.String()))
}

func stateWithTenants(tenants int) State {
	s := sampleSheet()
	for i := range tenants {
		name := fmt.Sprintf("tenant-%05d", i)
		s.Tenants[name] = sheet.Tenant{Rate: 100, Burst: 50, HomeRegion: "lagos", KeyHashes: []string{hashKey(name)}}
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
		index := s.Index()
		run("TenantOfKey", func() { index.Tenant("press-1") })
		b.Logf("tenants=%d state=%d bytes patch=%d bytes", tenants, len(data), len(patch))
	}
}
