package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/checker"
)

func TestOpenRules(t *testing.T) {
	Convey("Only violations of the named rules count as open", t, func() {
		violations := []checker.Violation{{Rule: "under_quota"}, {Rule: "once"}, {Rule: "under_quota"}}
		So(countViolationsOf(violations, []string{"under_quota"}), ShouldEqual, 2)
		So(countViolationsOf(violations, nil), ShouldEqual, 0)
	})
	Convey("An unknown rule name is an error", t, func() {
		So(checkRuleNames([]string{"under_quota", "once"}), ShouldBeNil)
		So(checkRuleNames([]string{"under"}), ShouldNotBeNil)
	})
}
