package sheet

import (
	"encoding/json"
	"strings"
	"testing"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

func routed() *Sheet {
	return &Sheet{
		Services: map[string]Service{
			"pool": {Kind: KindHTTP, HealthPath: "/health", MaxConnections: 320, ColdPerSecond: 17, ColdMS: 3000},
			"desk": {Kind: KindHTTP},
		},
		Tenants: map[string]Tenant{"press": {Rate: 1000, Unit: UnitTokens, KeyHashes: []string{hash("one"), hash("two")}}},
		Routes: map[string]Route{
			"digest": {Host: "news.example", Prefix: "/", Kind: RouteStream, TimeoutMS: 8000, Splits: []Split{{"pool", 1}}},
			"map": {Host: "news.example", Prefix: "/map/", Kind: RouteUnsafe, TimeoutMS: 1000,
				Splits: []Split{{"pool", 9}, {"desk", 1}}, Homes: []string{"lagos"}},
		},
	}
}

func withRoute(change func(*Route)) *Sheet {
	s := routed()
	route := s.Routes["map"]
	change(&route)
	s.Routes["map"] = route
	return s
}

func TestRoutes(t *testing.T) {
	Convey("A sheet of routes needs no weights for http services", t, func() {
		So(routed().Check(), ShouldBeNil)
	})
	Convey("Each broken rule of a route names its cell", t, func() {
		for cell, s := range map[string]*Sheet{
			"routes.map.timeout_ms":      withRoute(func(r *Route) { r.TimeoutMS = 0 }),
			"routes.map.prefix":          withRoute(func(r *Route) { r.Prefix = "/map" }),
			"routes.map.kind":            withRoute(func(r *Route) { r.Kind = "maybe" }),
			"routes.map.host":            withRoute(func(r *Route) { r.Host = "" }),
			"routes.map.splits: no":      withRoute(func(r *Route) { r.Splits = []Split{{"pool", 0}} }),
			"routes.map.splits.0":        withRoute(func(r *Route) { r.Splits = []Split{{"nowhere", 1}} }),
			"routes.map.priority":        withRoute(func(r *Route) { r.Priority = -1 }),
			"routes.map.attempts":        withRoute(func(r *Route) { r.Attempts = -1 }),
			"routes.map.objective_ms":    withRoute(func(r *Route) { r.ObjectiveMS = -1 }),
			"routes.map.homes":           withRoute(func(r *Route) { r.Homes = []string{"a/b"} }),
			"has the same host and pref": withRoute(func(r *Route) { r.Prefix, r.Host = "/", "NEWS.example" }),
		} {
			apiErr := s.Check()
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Code, ShouldEqual, apierror.InvalidSheet)
			So(apiErr.Detail, ShouldContainSubstring, cell)
		}
	})
	Convey("The longest prefix of a host wins, whatever the case of the host", t, func() {
		index := State{Sheet: routed()}.Index()
		for place, want := range map[[2]string]string{
			{"news.example", "/map/1"}:   "map",
			{"NEWS.example", "/map/1"}:   "map",
			{"news.example", "/digest"}:  "digest",
			{"news.example", "/map"}:     "digest",
			{"other.example", "/digest"}: "",
		} {
			route, found := index.Route(place[0], place[1])
			So(found, ShouldEqual, want != "")
			if found {
				So(route.Name, ShouldEqual, want)
			}
		}
	})
	Convey("What an adapter keeps beside a row reads back as it came, whatever is in it", t, func() {
		origin := `{"n":3.0,"deep":[{"x":null}]}`
		data := strings.Replace(encoded(routed()), `"host":"news.example","prefix":"/",`, `"origin":`+origin+`,"host":"news.example","prefix":"/",`, 1)
		s, apiErr := ParseSheet([]byte(data), MaxBytes)
		So(apiErr, ShouldBeNil)
		So(string(s.Routes["digest"].Origin), ShouldEqual, origin)
	})
}

func numbered(revision, base uint64) Order {
	return Order{Operator: "desk", Revision: revision, BaseRevision: base}
}

func TestRevisions(t *testing.T) {
	first, _ := PutSheet{Order: numbered(5, 0), Sheet: routed()}.Apply(State{}, 1)
	Convey("A put that numbers its sheet is built on the number in force", t, func() {
		So(first.Revision, ShouldEqual, 5)
		for _, c := range []struct {
			revision, base uint64
			code           apierror.Code
		}{{9, 5, apierror.OK}, {9, 4, apierror.BaseMoved}, {9, 6, apierror.BaseMoved}, {5, 5, apierror.InvalidSheet}, {4, 5, apierror.InvalidSheet}} {
			next, result := MergeSheet{Order: numbered(c.revision, c.base)}.Apply(first, 2)
			So(result.Code, ShouldEqual, c.code)
			So(next.Revision == 9, ShouldEqual, c.code == apierror.OK)
		}
	})
	Convey("The same order sent again gets the same answer; one of the same number with other content lost the race", t, func() {
		again, result := PutSheet{Order: numbered(5, 0), Sheet: routed()}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(again.SheetVersion, ShouldEqual, 1)
		other := routed()
		delete(other.Routes, "map")
		_, result = PutSheet{Order: numbered(5, 0), Sheet: other}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.BaseMoved)
	})
	Convey("A merge replaces rows by name after it removed others, and leaves the rest", t, func() {
		upsert := &Sheet{Routes: map[string]Route{"digest": {Host: "news.example", Prefix: "/d/", Kind: RouteSafe, TimeoutMS: 5, Splits: []Split{{"desk", 1}}}}}
		next, result := MergeSheet{Order: numbered(7, 5), Upsert: upsert, Remove: Removal{Routes: []string{"map", "gone"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(next.Sheet.Routes, ShouldHaveLength, 1)
		So(next.Sheet.Routes["digest"].Prefix, ShouldEqual, "/d/")
		So(next.Sheet.Tenants, ShouldResemble, first.Sheet.Tenants)
		So(first.Sheet.Routes, ShouldHaveLength, 2)
	})
	Convey("A merge that leaves an unsound sheet changes nothing", t, func() {
		next, result := MergeSheet{Order: numbered(7, 5), Remove: Removal{Services: []string{"desk"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.InvalidSheet)
		So(next.Revision, ShouldEqual, 5)
		So(next.Sheet.Services, ShouldHaveLength, 2)
	})
	Convey("Orders survive their encoding, and the state keeps its number", t, func() {
		order := MergeSheet{Order: numbered(7, 5), Upsert: &Sheet{Routes: routed().Routes}, Remove: Removal{Tenants: []string{"press"}}}
		decoded, err := Decode(Encode(order))
		So(err, ShouldBeNil)
		next, result := decoded.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		kept, err := DecodeState(next.Encode())
		So(err, ShouldBeNil)
		So(kept.Revision, ShouldEqual, 7)
		So(kept.Sheet.Tenants, ShouldBeEmpty)
	})
	Convey("A body may number its sheet in place of the base", t, func() {
		body, err := json.Marshal(map[string]any{"revision": 5, "base_revision": 0, "sheet": routed()})
		So(err, ShouldBeNil)
		command, apiErr := ParseOrder(VerbPut, "desk", body, Limits{Bytes: MaxBytes}, 0)
		So(apiErr, ShouldBeNil)
		_, result := command.Apply(State{}, 1)
		So(result.Code, ShouldEqual, apierror.OK)
		_, apiErr = ParseOrder(VerbMerge, "desk", []byte(`{"upsert":{}}`), Limits{Bytes: MaxBytes}, 0)
		So(apiErr.Code, ShouldEqual, apierror.MissingField)
	})
	Convey("An order on a number that is behind is settled without a ballot, one that is ahead is not", t, func() {
		second, _ := MergeSheet{Order: numbered(7, 5)}.Apply(first, 2)
		_, sure := second.Foresee(MergeSheet{Order: numbered(9, 5)})
		So(sure, ShouldBeTrue)
		_, sure = first.Foresee(MergeSheet{Order: numbered(9, 7)})
		So(sure, ShouldBeFalse)
	})
}

func TestCellsOfRoutes(t *testing.T) {
	full := routed()
	full.Limits = &ClientLimits{BodyBytes: 1000}
	full.Services["chat"] = Service{Kind: KindModel}
	full.Weights = map[string]map[string]float64{"chat": {"lagos": 1}}
	full.Tenants["city"] = Tenant{Rate: 5, KeyHashes: []string{hash("three")}}
	full.Settings = map[string]string{"route.strategy": "affinity"}
	Convey("A sheet of routes is whole after a way through CSV", t, func() {
		back, apiErr := ImportCSV(full.ExportCSV(), MaxBytes)
		So(apiErr, ShouldBeNil)
		So(encoded(back), ShouldEqual, encoded(full))
	})
	Convey("A difference names the route", t, func() {
		other := *full
		other.Routes = map[string]Route{"digest": full.Routes["digest"]}
		So(Diff(full, &other), ShouldHaveLength, 1)
		So(Diff(full, &other)[0], ShouldStartWith, "- routes.map = {")
	})
	Convey("Routes and limits are set and deleted as whole rows", t, func() {
		set, apiErr := ParseChange(`routes.new={"host":"h","prefix":"/n/","kind":"safe","timeout_ms":5,"splits":[{"service":"desk","weight":1}]}`)
		So(apiErr, ShouldBeNil)
		patched, apiErr := full.Patch([]Change{set, {Path: "routes.map", Delete: true}, {Path: limitsCell, Delete: true}})
		So(apiErr, ShouldBeNil)
		So(patched.Routes["new"].Prefix, ShouldEqual, "/n/")
		So(patched.Routes, ShouldNotContainKey, "map")
		So(patched.Limits, ShouldBeNil)
		So(full.Routes, ShouldContainKey, "map")
		for _, path := range []string{"routes.none", "limits.other", "routes.map.host"} {
			_, apiErr = full.Patch([]Change{{Path: path, Delete: true}})
			So(apiErr, ShouldNotBeNil)
		}
	})
}
