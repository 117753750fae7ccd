package compat

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// groups are the commands that only hold others.
var groups = []string{"", "sheet", "locality", "member", "key", "data", "settings"}

// TestCommandsAndFlagsKeepTheirNames requests from the command line what may follow each
// command, as a shell's completion does.
func TestCommandsAndFlagsKeepTheirNames(t *testing.T) {
	var out strings.Builder
	follows := func(words ...string) {
		text, exit := (*site)(nil).command(append([]string{"__completeNoDesc"}, words...)...)
		before, _, _ := strings.Cut(text, "\n:")
		fmt.Fprintf(&out, "=== %s exits %d\n%s\n", strings.Join(words, " "), exit, before)
	}
	for _, group := range groups {
		follows(append(strings.Fields(group), "")...)
	}
	for _, path := range lines(t, "cli", "paths.txt") {
		follows(append(strings.Fields(path), "--")...)
		if !slices.Contains(groups, path) {
			follows(append(strings.Fields(path), "-")...)
		}
	}
	sameAsFixture(t, out.String(), "cli", "commands.txt")
}
