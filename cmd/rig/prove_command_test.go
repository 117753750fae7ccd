package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/cmd/rig/checker"
)

func TestOpenRules(t *testing.T) {
	Convey("Only violations of the named rules count as open", t, func() {
		violations := []checker.Violation{{Rule: "under_quota"}, {Rule: "once"}, {Rule: "under_quota"}}
		So(countOfRules(violations, []string{"under_quota"}), ShouldEqual, 2)
		So(countOfRules(violations, nil), ShouldEqual, 0)
	})
	Convey("A name that is no rule's is an error", t, func() {
		So(checkRuleNames([]string{"under_quota", "once"}), ShouldBeNil)
		So(checkRuleNames([]string{"under"}), ShouldNotBeNil)
	})
}
