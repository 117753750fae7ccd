package statemachine

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

func revisionOrder(revision, base uint64) Order {
	return Order{Operator: "desk", Revision: revision, BaseRevision: base}
}

func TestOrdersWithRevisions(t *testing.T) {
	first, _ := PutSheet{Order: revisionOrder(5, 0), Sheet: sampleRoutes()}.Apply(State{}, 1)
	Convey("An order with a revision is accepted only on the current revision and above it", t, func() {
		So(first.Revision, ShouldEqual, 5)
		for _, c := range []struct {
			revision, base uint64
			code           apierror.Code
		}{{9, 5, apierror.OK}, {9, 4, apierror.BaseConflict}, {9, 6, apierror.BaseConflict}, {5, 5, apierror.InvalidSheet}, {4, 5, apierror.InvalidSheet}} {
			next, result := MergeSheet{Order: revisionOrder(c.revision, c.base)}.Apply(first, 2)
			So(result.Code, ShouldEqual, c.code)
			So(next.Revision == 9, ShouldEqual, c.code == apierror.OK)
		}
	})
	Convey("A replayed order gets the first result; one with the same revision and other content is rejected", t, func() {
		replayed, result := PutSheet{Order: revisionOrder(5, 0), Sheet: sampleRoutes()}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(replayed.SheetVersion, ShouldEqual, 1)
		other := sampleRoutes()
		delete(other.Routes, "map")
		_, result = PutSheet{Order: revisionOrder(5, 0), Sheet: other}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.BaseConflict)
	})
	Convey("A merge removes rows, then replaces rows by name, and keeps all others", t, func() {
		upsert := &sheet.Sheet{Routes: map[string]sheet.Route{"digest": {Host: "news.example", Prefix: "/d/", Kind: sheet.RouteSafe, TimeoutMS: 5, Splits: []sheet.Split{{Service: "desk", Weight: 1}}}}}
		next, result := MergeSheet{Order: revisionOrder(7, 5), Upsert: upsert, Remove: sheet.Removal{Routes: []string{"map", "gone"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(next.Sheet.Routes, ShouldHaveLength, 1)
		So(next.Sheet.Routes["digest"].Prefix, ShouldEqual, "/d/")
		So(next.Sheet.Tenants, ShouldResemble, first.Sheet.Tenants)
		So(first.Sheet.Routes, ShouldHaveLength, 2)
	})
	Convey("A merge that results in an invalid sheet is rejected and changes nothing", t, func() {
		next, result := MergeSheet{Order: revisionOrder(7, 5), Remove: sheet.Removal{Services: []string{"desk"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.InvalidSheet)
		So(next.Revision, ShouldEqual, 5)
		So(next.Sheet.Services, ShouldHaveLength, 2)
	})
	Convey("Orders and the state's revision survive encoding", t, func() {
		order := MergeSheet{Order: revisionOrder(7, 5), Upsert: &sheet.Sheet{Routes: sampleRoutes().Routes}, Remove: sheet.Removal{Tenants: []string{"press"}}}
		decoded, err := Decode(Encode(order))
		So(err, ShouldBeNil)
		next, result := decoded.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		restored, err := DecodeState(next.Encode())
		So(err, ShouldBeNil)
		So(restored.Revision, ShouldEqual, 7)
		So(restored.Sheet.Tenants, ShouldBeEmpty)
	})
	Convey("A body may contain a revision instead of the base", t, func() {
		body, err := json.Marshal(map[string]any{"revision": 5, "base_revision": 0, "sheet": sampleRoutes()})
		So(err, ShouldBeNil)
		command, apiErr := ParseOrder(sheet.VerbPut, "desk", body, OrderLimits{MaxBytes: sheet.MaxBytes}, 0)
		So(apiErr, ShouldBeNil)
		_, result := command.Apply(State{}, 1)
		So(result.Code, ShouldEqual, apierror.OK)
		_, apiErr = ParseOrder(sheet.VerbMerge, "desk", []byte(`{"upsert":{}}`), OrderLimits{MaxBytes: sheet.MaxBytes}, 0)
		So(apiErr.Code, ShouldEqual, apierror.MissingField)
	})
	Convey("Predict decides an order whose base revision is behind, but not one whose base revision is ahead", t, func() {
		second, _ := MergeSheet{Order: revisionOrder(7, 5)}.Apply(first, 2)
		_, decided := second.Predict(MergeSheet{Order: revisionOrder(9, 5)})
		So(decided, ShouldBeTrue)
		_, decided = first.Predict(MergeSheet{Order: revisionOrder(9, 7)})
		So(decided, ShouldBeFalse)
	})
}
