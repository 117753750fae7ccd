package statemachine

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

func TestIndexDropsRevokedKeys(t *testing.T) {
	Convey("A tenant is found by its key, not by the key's hash, until a sheet revokes the key", t, func() {
		state, _ := PutSheet{Sheet: sampleSheet()}.Apply(State{}, 1)
		index := state.Index()
		name, tenant, ok := index.Tenant("press-1")
		So(ok, ShouldBeTrue)
		So(name, ShouldEqual, "press")
		So(tenant.Rate, ShouldEqual, 1000)
		_, _, ok = index.Tenant(hashKey("press-1"))
		So(ok, ShouldBeFalse)
		revoke, _ := sheet.ChangeFromText("tenants.press.keys-", hashKey("press-1"))
		next, result := PatchSheet{Order: Order{Base: 1}, Changes: []sheet.Change{revoke}}.Apply(state, 2)
		So(result.Code, ShouldEqual, apierror.OK)
		So(index.ForSheet(state.Sheet), ShouldEqual, index)
		_, _, ok = index.ForSheet(next.Sheet).Tenant("press-1")
		So(ok, ShouldBeFalse)
		_, _, ok = index.ForSheet(next.Sheet).Tenant("press-2")
		So(ok, ShouldBeTrue)
		_, _, ok = State{}.Index().Tenant("press-2")
		So(ok, ShouldBeFalse)
	})
}
