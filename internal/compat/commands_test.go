package compat

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// commandGroups lists the commands that only contain subcommands.
var commandGroups = []string{"", "sheet", "locality", "member", "key", "data", "settings"}

// TestCommandsAndFlagsKeepTheirNames lists the subcommands and flags of each command by
// way of the shell completion.
func TestCommandsAndFlagsKeepTheirNames(t *testing.T) {
	var out strings.Builder
	recordCompletions := func(words ...string) {
		text, exit := (*site)(nil).command(append([]string{"__completeNoDesc"}, words...)...)
		completions, _, _ := strings.Cut(text, "\n:")
		fmt.Fprintf(&out, "=== %s exits %d\n%s\n", strings.Join(words, " "), exit, completions)
	}
	for _, group := range commandGroups {
		recordCompletions(append(strings.Fields(group), "")...)
	}
	for _, path := range lines(t, "cli", "paths.txt") {
		recordCompletions(append(strings.Fields(path), "--")...)
		if !slices.Contains(commandGroups, path) {
			recordCompletions(append(strings.Fields(path), "-")...)
		}
	}
	sameAsFixture(t, out.String(), "cli", "commands.txt")
}
