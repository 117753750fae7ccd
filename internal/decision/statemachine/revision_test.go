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

func TestOrdersThatNumberTheirSheet(t *testing.T) {
	first, _ := PutSheet{Order: revisionOrder(5, 0), Sheet: sampleRoutes()}.Apply(State{}, 1)
	Convey("A put that numbers its sheet is built on the number in force", t, func() {
		So(first.Revision, ShouldEqual, 5)
		for _, c := range []struct {
			revision, base uint64
			code           apierror.Code
		}{{9, 5, apierror.OK}, {9, 4, apierror.BaseMoved}, {9, 6, apierror.BaseMoved}, {5, 5, apierror.InvalidSheet}, {4, 5, apierror.InvalidSheet}} {
			next, result := MergeSheet{Order: revisionOrder(c.revision, c.base)}.Apply(first, 2)
			So(result.Code, ShouldEqual, c.code)
			So(next.Revision == 9, ShouldEqual, c.code == apierror.OK)
		}
	})
	Convey("The same order sent again gets the same answer; one of the same number with other content lost the race", t, func() {
		again, result := PutSheet{Order: revisionOrder(5, 0), Sheet: sampleRoutes()}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(again.SheetVersion, ShouldEqual, 1)
		other := sampleRoutes()
		delete(other.Routes, "map")
		_, result = PutSheet{Order: revisionOrder(5, 0), Sheet: other}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.BaseMoved)
	})
	Convey("A merge replaces rows by name after it removed others, and leaves the rest", t, func() {
		upsert := &sheet.Sheet{Routes: map[string]sheet.Route{"digest": {Host: "news.example", Prefix: "/d/", Kind: sheet.RouteSafe, TimeoutMS: 5, Splits: []sheet.Split{{Service: "desk", Weight: 1}}}}}
		next, result := MergeSheet{Order: revisionOrder(7, 5), Upsert: upsert, Remove: sheet.Removal{Routes: []string{"map", "gone"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(next.Sheet.Routes, ShouldHaveLength, 1)
		So(next.Sheet.Routes["digest"].Prefix, ShouldEqual, "/d/")
		So(next.Sheet.Tenants, ShouldResemble, first.Sheet.Tenants)
		So(first.Sheet.Routes, ShouldHaveLength, 2)
	})
	Convey("A merge that leaves an invalid sheet changes nothing", t, func() {
		next, result := MergeSheet{Order: revisionOrder(7, 5), Remove: sheet.Removal{Services: []string{"desk"}}}.Apply(first, 2)
		So(result.Code, ShouldEqual, apierror.InvalidSheet)
		So(next.Revision, ShouldEqual, 5)
		So(next.Sheet.Services, ShouldHaveLength, 2)
	})
	Convey("Orders survive their encoding, and the state keeps its number", t, func() {
		order := MergeSheet{Order: revisionOrder(7, 5), Upsert: &sheet.Sheet{Routes: sampleRoutes().Routes}, Remove: sheet.Removal{Tenants: []string{"press"}}}
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
		body, err := json.Marshal(map[string]any{"revision": 5, "base_revision": 0, "sheet": sampleRoutes()})
		So(err, ShouldBeNil)
		command, apiErr := ParseOrder(sheet.VerbPut, "desk", body, OrderLimits{MaxBytes: sheet.MaxBytes}, 0)
		So(apiErr, ShouldBeNil)
		_, result := command.Apply(State{}, 1)
		So(result.Code, ShouldEqual, apierror.OK)
		_, apiErr = ParseOrder(sheet.VerbMerge, "desk", []byte(`{"upsert":{}}`), OrderLimits{MaxBytes: sheet.MaxBytes}, 0)
		So(apiErr.Code, ShouldEqual, apierror.MissingField)
	})
	Convey("An order on a number that is behind is decided without a ballot, one that is ahead is not", t, func() {
		second, _ := MergeSheet{Order: revisionOrder(7, 5)}.Apply(first, 2)
		_, sure := second.Predict(MergeSheet{Order: revisionOrder(9, 5)})
		So(sure, ShouldBeTrue)
		_, sure = first.Predict(MergeSheet{Order: revisionOrder(9, 7)})
		So(sure, ShouldBeFalse)
	})
}
