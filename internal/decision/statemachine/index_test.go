package statemachine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

func TestIndexFindsTenantsUntilRevoked(t *testing.T) {
	Convey("A key is found by its hash until the sheet that revokes it", t, func() {
		s, _ := PutSheet{Sheet: sampleSheet()}.Apply(State{}, 1)
		x := s.Index()
		name, tenant, ok := x.Tenant("press-1")
		So(ok, ShouldBeTrue)
		So(name, ShouldEqual, "press")
		So(tenant.Rate, ShouldEqual, 1000)
		_, _, ok = x.Tenant(hashOf("press-1"))
		So(ok, ShouldBeFalse)
		revoke, _ := sheet.TextChange("tenants.press.keys-", hashOf("press-1"))
		next, result := PatchSheet{Order: Order{Base: 1}, Changes: []sheet.Change{revoke}}.Apply(s, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(x.ForSheet(s.Sheet), ShouldEqual, x)
		_, _, ok = x.ForSheet(next.Sheet).Tenant("press-1")
		So(ok, ShouldBeFalse)
		_, _, ok = x.ForSheet(next.Sheet).Tenant("press-2")
		So(ok, ShouldBeTrue)
		_, _, ok = State{}.Index().Tenant("press-2")
		So(ok, ShouldBeFalse)
	})
}
