package faultcase

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCases(t *testing.T) {
	Convey("Cases have names of their own and cover every group", t, func() {
		seen, groups := map[string]bool{}, map[int]bool{}
		for _, c := range Cases {
			So(seen[c.Name], ShouldBeFalse)
			seen[c.Name], groups[c.Group] = true, true
		}
		for group := 1; group <= 8; group++ {
			So(groups[group], ShouldBeTrue)
		}
	})
	Convey("The scenarios beside the program parse, and unknown words don't", t, func() {
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
