package control_test

import (
	"slices"
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

func TestLostStaysLost(t *testing.T) {
	for _, later := range []time.Duration{200, 350, 500} {
		inFleet(t, 9, func(t *testing.T, f *fleet) {
			Convey("What a front met refusing is not brought back by a core that has not noticed yet", t, func() {
				lost := map[string]bool{}
				look := func(span time.Duration) {
					for begun := time.Now(); time.Since(begun) < span; f.pass(10 * time.Millisecond) {
						for _, name := range f.names[1:8] {
							live := slices.Contains(f.fronts[name].View().Live, "f9")
							So(live && lost[name], ShouldBeFalse)
							lost[name] = lost[name] || !live
						}
					}
				}
				f.kill("f9")
				look(later * time.Millisecond)
				f.kill("c1")
				look(4 * time.Second)
				for _, name := range f.names[1:8] {
					So(lost[name], ShouldBeTrue)
				}
			})
		})
	}
}
