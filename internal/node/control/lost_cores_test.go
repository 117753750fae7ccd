package control_test

import (
	"slices"
	"strings"
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

// pingedBy counts the members that a process pinged since the last forgetPings.
func (f *fleet) pingedBy(from string) (count int) {
	f.pingedVersions.Range(func(key, _ any) bool {
		if strings.HasPrefix(key.(string), from+">") {
			count++
		}
		return true
	})
	return count
}

func (f *fleet) forgetPings() { f.pingedVersions.Clear() }

// Each of 300 restarted fronts pinged all others, which kept the cores from answering.
func TestRestartedFrontDoesNotPingWholeRoster(t *testing.T) {
	withFleet(t, 140, func(t *testing.T, f *fleet) {
		Convey("A front of a large fleet that no majority has confirmed since its start pings a few members at each interval", t, func() {
			f.kill("c2")
			f.kill("c3")
			front := f.restartedFront("f140")
			f.forgetPings()
			f.advance(3 * time.Second)
			So(front.View().Roster, ShouldHaveLength, 140)
			So(front.HasAuthority(), ShouldBeFalse)
			So(f.pingedBy("f140"), ShouldBeLessThanOrEqualTo, 6*3)
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
							live := slices.Contains(f.fronts[name].View().Remaining, "f9")
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
