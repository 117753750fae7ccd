package sheet

import (
	"strings"
	"testing"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

func sampleRoutes() *Sheet {
	return &Sheet{
		Services: map[string]Service{
			"pool": {Kind: KindHTTP, HealthPath: "/health", MaxConnections: 320, SlowStartRate: 17, SlowStartMS: 3000},
			"desk": {Kind: KindHTTP},
		},
		Tenants: map[string]Tenant{"press": {Rate: 1000, Unit: UnitTokens, KeyHashes: []string{hashOf("one"), hashOf("two")}}},
		Routes: map[string]Route{
			"digest": {Host: "news.example", Prefix: "/", Kind: RouteStream, TimeoutMS: 8000, Splits: []Split{{"pool", 1}}},
			"map": {Host: "news.example", Prefix: "/map/", Kind: RouteUnsafe, TimeoutMS: 1000,
				Splits: []Split{{"pool", 9}, {"desk", 1}}, AllowedRegions: []string{"lagos"}},
		},
	}
}

func changedRoute(change func(*Route)) *Sheet {
	s := sampleRoutes()
	route := s.Routes["map"]
	change(&route)
	s.Routes["map"] = route
	return s
}

func TestRouteCheckAndLookup(t *testing.T) {
	Convey("Services of kind http need no weights", t, func() {
		So(sampleRoutes().Check(), ShouldBeNil)
	})
	Convey("Each violation in a route names its cell", t, func() {
		for cell, s := range map[string]*Sheet{
			"routes.map.timeout_ms":      changedRoute(func(r *Route) { r.TimeoutMS = 0 }),
			"routes.map.prefix":          changedRoute(func(r *Route) { r.Prefix = "/map" }),
			"routes.map.kind":            changedRoute(func(r *Route) { r.Kind = "maybe" }),
			"routes.map.host":            changedRoute(func(r *Route) { r.Host = "" }),
			"routes.map.splits: no":      changedRoute(func(r *Route) { r.Splits = []Split{{"pool", 0}} }),
			"routes.map.splits.0":        changedRoute(func(r *Route) { r.Splits = []Split{{"nowhere", 1}} }),
			"routes.map.priority":        changedRoute(func(r *Route) { r.Priority = -1 }),
			"routes.map.attempts":        changedRoute(func(r *Route) { r.Attempts = -1 }),
			"routes.map.objective_ms":    changedRoute(func(r *Route) { r.ObjectiveMS = -1 }),
			"routes.map.homes":           changedRoute(func(r *Route) { r.AllowedRegions = []string{"a/b"} }),
			"has the same host and pref": changedRoute(func(r *Route) { r.Prefix, r.Host = "/", "NEWS.example" }),
		} {
			apiErr := s.Check()
			So(apiErr, ShouldNotBeNil)
			So(apiErr.Code, ShouldEqual, apierror.InvalidSheet)
			So(apiErr.Detail, ShouldContainSubstring, cell)
		}
	})
	Convey("The longest prefix of a host is selected, and the case of the host is ignored", t, func() {
		index := NewIndex(sampleRoutes())
		for request, want := range map[[2]string]string{
			{"news.example", "/map/1"}:   "map",
			{"NEWS.example", "/map/1"}:   "map",
			{"news.example", "/digest"}:  "digest",
			{"news.example", "/map"}:     "digest",
			{"other.example", "/digest"}: "",
		} {
			route, ok := index.Route(request[0], request[1])
			So(ok, ShouldEqual, want != "")
			if ok {
				So(route.Name, ShouldEqual, want)
			}
		}
	})
	Convey("The origin of a row is preserved byte for byte", t, func() {
		origin := `{"n":3.0,"deep":[{"x":null}]}`
		data := strings.Replace(mustEncode(sampleRoutes()), `"host":"news.example","prefix":"/",`, `"origin":`+origin+`,"host":"news.example","prefix":"/",`, 1)
		s, apiErr := ParseSheet([]byte(data), MaxBytes)
		So(apiErr, ShouldBeNil)
		So(string(s.Routes["digest"].Origin), ShouldEqual, origin)
	})
}

func TestRouteRowsAreSingleCells(t *testing.T) {
	full := sampleRoutes()
	full.Limits = &ClientLimits{BodyBytes: 1000}
	full.Services["chat"] = Service{Kind: KindModel}
	full.Weights = map[string]map[string]float64{"chat": {"lagos": 1}}
	full.Tenants["city"] = Tenant{Rate: 5, KeyHashes: []string{hashOf("three")}}
	full.Settings = map[string]string{"route.strategy": "affinity"}
	Convey("A sheet with routes is unchanged after a round trip through CSV", t, func() {
		imported, apiErr := ImportCSV(full.ExportCSV(), MaxBytes)
		So(apiErr, ShouldBeNil)
		So(mustEncode(imported), ShouldEqual, mustEncode(full))
	})
	Convey("A removed route is one line of the difference", t, func() {
		other := *full
		other.Routes = map[string]Route{"digest": full.Routes["digest"]}
		So(Diff(full, &other), ShouldHaveLength, 1)
		So(Diff(full, &other)[0], ShouldStartWith, "- routes.map = {")
	})
	Convey("Routes and limits are set and deleted as whole rows", t, func() {
		set, apiErr := ParseChange(`routes.new={"host":"h","prefix":"/n/","kind":"safe","timeout_ms":5,"splits":[{"service":"desk","weight":1}]}`)
		So(apiErr, ShouldBeNil)
		patched, apiErr := full.Patch([]Change{set, {Path: "routes.map", Delete: true}, {Path: limitsPath, Delete: true}})
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
