package control_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLargeFleetWithoutCores(t *testing.T) {
	withFleet(t, 140, func(t *testing.T, f *fleet) {
		Convey("A fleet too large to be pinged completely serves on by its roster when every core is lost, without a gap", t, func() {
			So(f.servingFronts(), ShouldEqual, 140)
			for _, core := range voters {
				f.kill(core)
			}
			for range 60 {
				f.advance(100 * time.Millisecond)
				So(f.servingFronts(), ShouldEqual, 137)
			}
		})
	})
}

func TestRefusingMemberStaysLost(t *testing.T) {
	for _, delay := range []time.Duration{200, 350, 500} {
		withFleet(t, 9, func(t *testing.T, f *fleet) {
			Convey("A member that refused a front is not restored by a core that has not noticed yet", t, func() {
				lost := map[string]bool{}
				watch := func(span time.Duration) {
					for startedAt := time.Now(); time.Since(startedAt) < span; f.advance(10 * time.Millisecond) {
						for _, name := range f.names[1:8] {
							live := slices.Contains(f.fronts[name].View().Live, "f9")
							So(live && lost[name], ShouldBeFalse)
							lost[name] = lost[name] || !live
						}
					}
				}
				f.kill("f9")
				watch(delay * time.Millisecond)
				f.kill("c1")
				watch(4 * time.Second)
				for _, name := range f.names[1:8] {
					So(lost[name], ShouldBeTrue)
				}
			})
		})
	}
}
