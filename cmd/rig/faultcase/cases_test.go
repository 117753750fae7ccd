package faultcase

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCases(t *testing.T) {
	Convey("Case names are unique and the cases cover every group", t, func() {
		seen, groups := map[string]bool{}, map[int]bool{}
		for _, testCase := range Cases {
			So(seen[testCase.Name], ShouldBeFalse)
			seen[testCase.Name], groups[testCase.Group] = true, true
		}
		for group := 1; group <= 8; group++ {
			So(groups[group], ShouldBeTrue)
		}
	})
	Convey("The scenario files of the rig parse; a length out of range, an unknown field or an unknown fault is rejected", t, func() {
		files, err := filepath.Glob("../scenarios/*.yaml")
		So(err, ShouldBeNil)
		So(files, ShouldNotBeEmpty)
		for _, file := range files {
			data, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			_, err = ParseScenario(data)
			So(err, ShouldBeNil)
		}
		for _, bad := range []string{"seconds: 0", "seconds: 5\ncolour: red", "seconds: 5\nfaults: [{what: melt}]"} {
			_, err := ParseScenario([]byte(bad))
			So(err, ShouldNotBeNil)
		}
	})
}
