package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/sheet"
)

func TestQuota(t *testing.T) {
	Convey("Less urgent requests may use a smaller fraction of the quota, unless they are small", t, func() {
		policy, tenant := QuotaPolicy{Fraction: 0.9, ReservePerStep: 0.05}, sheet.Tenant{Rate: 100_000}
		So(policy.fraction(5000, tenant, 0), ShouldEqual, 0.9)
		So(policy.fraction(5000, tenant, 2), ShouldAlmostEqual, 0.8)
		So(policy.fraction(5000, tenant, 99), ShouldAlmostEqual, 0.75)
		So(policy.fraction(200, tenant, 2), ShouldEqual, 0.9)
	})
}
