package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShellBlocks(t *testing.T) {
	Convey("shellBlocks returns the closed sh blocks unchanged and in order, and nothing else", t, func() {
		So(shellBlocks("a\n```sh\nb\n  c\n```\n\n    d\n```text\ne\n```\n```sh\nf\n```\n"), ShouldResemble, []string{"b\n  c\n", "f\n"})
		So(shellBlocks("```sh\nnever closed\n"), ShouldBeEmpty)
	})
	Convey("The operators' page has the commands for every documented task", t, func() {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATING.md"))
		So(err, ShouldBeNil)
		all := ""
		for _, block := range shellBlocks(string(text)) {
			all += block
		}
		for _, command := range []string{"stepwick settings check", "start core core-1", "start front", "stepwick status", "stepwick sheet patch --set weights",
			"stepwick sheet import", "tenants.press.keys-=", "stepwick locality evacuate", "stepwick locality restore", "stepwick explain", "rm -r data/core-3", "kill -KILL"} {
			So(all, ShouldContainSubstring, command)
		}
	})
}
