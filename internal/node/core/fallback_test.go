package core_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLargeFleetWithoutCores(t *testing.T) {
	inFleet(t, 140, func(t *testing.T, f *fleet) {
		Convey("A fleet too large to be pinged whole goes on by the roster when every core is lost, without a gap", t, func() {
			So(f.ruling(), ShouldEqual, 140)
			for _, core := range voters {
				f.kill(core)
			}
			for range 60 {
				f.pass(100 * time.Millisecond)
				So(f.ruling(), ShouldEqual, 137)
			}
		})
	})
}
