package sheet

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

func hashOf(key string) string { return HashKey(key) }

func sampleSheet() *Sheet {
	return &Sheet{
		Services: map[string]Service{"chat": {Kind: KindModel}, "map": {Kind: KindWeb, OneShotTokens: 20}},
		Weights:  map[string]map[string]float64{"chat": {"lagos": 60, "abeokuta": 40}, "map": {"lagos": 1}},
		Tenants: map[string]Tenant{
			"press": {Rate: 1000, Burst: 500, HomeRegion: "lagos", KeyHashes: []string{hashOf("press-1"), hashOf("press-2")}},
			"city":  {Rate: 250.5, KeyHashes: []string{hashOf("city-1")}},
		},
		Settings: map[string]string{"route.strategy": "affinity"},
	}
}

func mustEncode(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func changedSample(change func(*Sheet)) *Sheet {
	s := sampleSheet()
	change(s)
	return s
}

func TestCheckReportsViolatedRules(t *testing.T) {
	Convey("A valid sheet has no error", t, func() {
		So(sampleSheet().Check(), ShouldBeNil)
	})
	Convey("Each violation has its code and names its cell", t, func() {
		for _, c := range []struct {
			cell string
			code apierror.Code
			s    *Sheet
		}{
			{"the sheet is missing", apierror.InvalidSheet, nil},
			{"services: the sheet has no services", apierror.InvalidSheet, &Sheet{}},
			{"services.chat.kind", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Services["chat"] = Service{Kind: "gpu"} })},
			{"services.map.plain_tokens", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Services["map"] = Service{Kind: KindWeb, OneShotTokens: -1} })},
			{"services: \"a.b\"", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Services["a.b"] = Service{Kind: KindWeb} })},
			{"weights.chat.lagos: NaN", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Weights["chat"]["lagos"] = math.NaN() })},
			{"weights.chat.lagos: +Inf", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Weights["chat"]["lagos"] = math.Inf(1) })},
			{"weights.chat.lagos: -1", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Weights["chat"]["lagos"] = -1 })},
			{"weights.map: no region", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Weights["map"]["lagos"] = 0 })},
			{"weights.map: no region", apierror.InvalidSheet, changedSample(func(s *Sheet) { delete(s.Weights, "map") })},
			{"weights: no service \"tags\"", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Weights["tags"] = map[string]float64{"lagos": 1} })},
			{"tenants.press.rate", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Tenants["press"] = Tenant{Rate: math.NaN()} })},
			{"tenants.press.burst", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Tenants["press"] = Tenant{Burst: -5} })},
			{"tenants.press.home", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Tenants["press"] = Tenant{HomeRegion: "lagos/a"} })},
			{"tenants.press.keys: \"zz\"", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Tenants["press"] = Tenant{KeyHashes: []string{"zz"}} })},
			{"tenants.press.keys", apierror.InvalidSheet, changedSample(func(s *Sheet) {
				s.Tenants["press"] = Tenant{KeyHashes: []string{strings.ToUpper(hashOf("press-1"))}}
			})},
			{"already a key of city", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Tenants["press"] = Tenant{KeyHashes: []string{hashOf("city-1")}} })},
			{"settings", apierror.InvalidSheet, changedSample(func(s *Sheet) { s.Settings["route..x"] = "" })},
			{"exceed the limits of", apierror.SheetTooLarge, changedSample(func(s *Sheet) {
				for i := range MaxSettings {
					s.Settings[fmt.Sprintf("x%d", i)] = ""
				}
			})},
			{"exceeds the limit of", apierror.SheetTooLarge, changedSample(func(s *Sheet) { s.Settings["x"] = strings.Repeat("y", MaxBytes) })},
		} {
			apiErr := c.s.Check()
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Code, ShouldEqual, c.code)
			So(apiErr.Detail, ShouldContainSubstring, c.cell)
		}
	})
	Convey("The detail is bounded regardless of the number of violations", t, func() {
		apiErr := changedSample(func(s *Sheet) {
			for i := range 5000 {
				s.Tenants[fmt.Sprintf("bad%04d", i)] = Tenant{Rate: -1}
			}
		}).Check()
		So(apiErr.Detail, ShouldStartWith, "tenants.bad0000.rate")
		So(apiErr.Detail, ShouldEndWith, "; and 4992 more")
	})
}

func TestParseSheetRejectsMalformedBodies(t *testing.T) {
	encoded := mustEncode(sampleSheet())
	Convey("An encoded sheet is decoded unchanged", t, func() {
		s, apiErr := ParseSheet([]byte(encoded), len(encoded))
		So(apiErr, ShouldBeNil)
		So(mustEncode(s), ShouldEqual, encoded)
	})
	Convey("Malformed and oversize bodies are rejected with a code and the position of the fault", t, func() {
		for _, c := range []struct {
			body   string
			code   apierror.Code
			detail string
		}{
			{"", apierror.BadJSON, "unexpected end of JSON input"},
			{"null", apierror.InvalidSheet, "want an object, not null"},
			{"[]", apierror.InvalidSheet, "want an object, not a list"},
			{encoded[:len(encoded)-1], apierror.BadJSON, "unexpected end of JSON input"},
			{encoded + "{}", apierror.BadJSON, "after top-level value"},
			{encoded + " ", apierror.SheetTooLarge, "exceeds the limit of"},
			{strings.Replace(encoded, `"rate":1000`, `"rate":1e999`, 1), apierror.InvalidSheet, "out of bounds"},
			{strings.Replace(encoded, `"rate":1000`, `"rate":NaN`, 1), apierror.BadJSON, "invalid character"},
			{strings.Replace(encoded, `"rate":1000`, `"rate":"1"`, 1), apierror.InvalidSheet, "tenants.press.rate: want a number"},
			{strings.Replace(encoded, `"rate":1000`, `"rate":null`, 1), apierror.InvalidSheet, "tenants.press.rate: want a number, not null"},
			{strings.Replace(encoded, `"rate":1000`, `"Rate":1`, 1), apierror.UnknownField, "tenants.press.Rate: no such field"},
			{strings.Replace(encoded, `"rate":1000`, `"x":1`, 1), apierror.UnknownField, "tenants.press.x: no such field"},
			{strings.Replace(encoded, `"lagos":60`, `"abeokuta":6`, 1), apierror.InvalidSheet, "weights.chat.abeokuta: given twice"},
			{strings.Replace(encoded, `"lagos":60`, `"lagos":-60`, 1), apierror.InvalidSheet, "weights.chat.lagos: -60"},
			{strings.Replace(encoded, `"lagos":60`, `"lagos":[60]`, 1), apierror.InvalidSheet, "weights.chat.lagos: want a number, not a list"},
			{strings.Replace(encoded, `"kind"`, `"kin\u0064"`, 1), apierror.OK, ""},
		} {
			limit := max(len(encoded), len(c.body))
			if c.code == apierror.SheetTooLarge {
				limit = len(encoded)
			}
			_, apiErr := ParseSheet([]byte(c.body), limit)
			if c.code == apierror.OK {
				So(apiErr, ShouldBeNil)
				continue
			}
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Detail, ShouldContainSubstring, c.detail)
			So(apiErr.Code, ShouldEqual, c.code)
		}
	})
}

func TestPatchIsAtomic(t *testing.T) {
	Convey("Changes in the syntax of the command line are applied", t, func() {
		var changes []Change
		for _, line := range []string{"weights.chat.lagos=30", "weights.chat.ibadan=5", "tenants.press.rate=900",
			"tenants.press.keys+=" + hashOf("press-3"), "tenants.press.keys-=" + hashOf("press-1"),
			`tenants.tram={"rate":10,"keys":["` + hashOf("tram-1") + `"]}`, "settings.route.strategy=least_loaded",
			"services.map.plain_tokens=25", "tenants.city.home=abeokuta"} {
			change, apiErr := ParseChange(line)
			So(apiErr, ShouldBeNil)
			changes = append(changes, change)
		}
		base := sampleSheet()
		before := mustEncode(base)
		patched, apiErr := base.Patch(append(changes, Change{Path: "weights.chat.abeokuta", Delete: true}))
		So(apiErr, ShouldBeNil)
		So(mustEncode(base), ShouldEqual, before)
		So(Diff(base, patched), ShouldResemble, []string{
			"~ services.map.plain_tokens: 20 -> 25",
			"+ weights.chat.ibadan = 5",
			"~ weights.chat.lagos: 60 -> 30",
			"+ tenants.city.home = abeokuta",
			"~ tenants.press.rate: 1000 -> 900",
			"~ tenants.press.keys: " + hashOf("press-1") + " " + hashOf("press-2") + " -> " + hashOf("press-2") + " " + hashOf("press-3"),
			"+ tenants.tram.rate = 10",
			"+ tenants.tram.keys = " + hashOf("tram-1"),
			"~ settings.route.strategy: affinity -> least_loaded",
			"- weights.chat.abeokuta = 40",
		})
	})
	Convey("A change with an unknown cell or an invalid value is rejected, and the sheet is not modified", t, func() {
		for _, c := range []struct{ path, value, detail string }{
			{"weights", "1", "no such cell"},
			{"weight.chat.lagos", "1", "no such table"},
			{"tenants.press.rat", "1", "no such column"},
			{"tenants.pres.rate", "1", "no such tenant"},
			{"services.tags.kind", `"web"`, "no such service"},
			{"tenants.press.rate", `"1"`, "want a number"},
			{"tenants.press.rate", "-1", "out of bounds"},
			{"tenants.press.rate", "1e999", "out of bounds"},
			{"tenants.press.keys+", `"` + hashOf("press-1") + `"`, "already has this key"},
			{"tenants.press.keys+", `"` + hashOf("city-1") + `"`, "already a key of city"},
			{"tenants.press.keys-", `"` + hashOf("press-9") + `"`, "no such key"},
			{"tenants.tram", `{"rate":1,"rate":2}`, "given twice"},
			{"tenants.tram", `{"rates":1}`, "no such field"},
			{"weights.chat", `{"lagos":0}`, "no region has a weight"},
			{"weights.tags.lagos", "1", "no service"},
			{"weights.chat.lagos", "", "either a value or delete"},
		} {
			base := sampleSheet()
			before := mustEncode(base)
			_, apiErr := base.Patch([]Change{{Path: c.path, Value: json.RawMessage(c.value)}, {Path: "weights.map.lagos", Value: json.RawMessage("7")}})
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Detail, ShouldContainSubstring, c.detail)
			So(mustEncode(base), ShouldEqual, before)
		}
		_, apiErr := sampleSheet().Patch([]Change{{Path: "weights.chat.lagos", Value: json.RawMessage("1")}, {Path: "weights.chat.lagos", Value: json.RawMessage("2")}})
		So(apiErr.Detail, ShouldContainSubstring, "given twice")
		_, apiErr = sampleSheet().Patch([]Change{{Path: "tenants.press.rate", Delete: true}})
		So(apiErr.Code, ShouldEqual, apierror.InvalidChange)
	})
}

func TestCSVRoundTrip(t *testing.T) {
	Convey("An exported sheet is imported unchanged, whatever the order of its rows", t, func() {
		rows := strings.Split(strings.TrimSpace(string(sampleSheet().ExportCSV())), "\n")
		for i, j := 1, len(rows)-1; i < j; i, j = i+1, j-1 {
			rows[i], rows[j] = rows[j], rows[i]
		}
		s, apiErr := ImportCSV([]byte("\ufeff"+strings.Join(rows, "\r\n")+"\r\n"), 1<<20)
		So(apiErr, ShouldBeNil)
		So(mustEncode(s), ShouldEqual, mustEncode(sampleSheet()))
	})
	Convey("All invalid rows are reported by line in one error", t, func() {
		_, apiErr := ImportCSV([]byte("cell,value\nservices.chat.kind,model\nweights.chat.lagos,NaN\nweights.chat.lagos,1\ntenants,1\n"), 1<<20)
		So(apiErr.Code, ShouldEqual, apierror.InvalidSheet)
		So(apiErr.Detail, ShouldEqual, `line 3: weights.chat.lagos: "NaN" is not a number from 0 to 1e12; line 4: weights.chat.lagos: given twice; line 5: tenants: no such cell`)
		_, apiErr = ImportCSV([]byte("a;b\n"), 1<<20)
		So(apiErr.Detail, ShouldEqual, "the first row must be cell,value")
		_, apiErr = ImportCSV([]byte("cell,value\n"), 3)
		So(apiErr.Code, ShouldEqual, apierror.SheetTooLarge)
	})
}
