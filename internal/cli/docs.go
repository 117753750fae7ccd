package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
	"stepwick/internal/settings"
)

func (a *App) docsCommand() *cobra.Command {
	var folder string
	command := &cobra.Command{
		Use:    "docs",
		Short:  "Generate the reference pages of the documentation",
		Hidden: true,
		Args:   cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for name, text := range GeneratedPages() {
				if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&folder, "write", "docs", "the folder to write the pages to")
	return command
}

// GeneratedPages returns the Markdown pages that are generated from the tables of
// settings, result codes and events, by file name.
func GeneratedPages() map[string]string {
	return map[string]string{
		"SETTINGS.md": settingsPage(),
		"CODES.md":    codesPage(),
		"EVENTS.md":   eventsPage(),
	}
}

// generatedNotice is the second paragraph of each generated page.
const generatedNotice = "\nThis page is written from the table in the code by `go run ./cmd/stepwick docs --write docs`; a test fails when the two differ.\n"

func settingsPage() string {
	var page strings.Builder
	page.WriteString(`# Settings
` + generatedNotice + `
A process takes its settings from a file (` + "`--config FILE`" + `, YAML, nested or with dotted names) and from flags of the
same names; flags win. ` + "`stepwick settings check FILE --role core`" + ` reports every unknown name and bad value at once, with
its line. Settings marked *run time* may also be set in the sheet (` + "`stepwick sheet patch --set settings.NAME=VALUE`" + `) and
then change on the whole fleet without a restart; the sheet wins over file and flags.

A size is a number of bytes or has a unit (KiB, MiB, GiB). A duration has a unit (500ms, 2s). A list is a YAML sequence,
or text separated by commas.

| Setting | Type | Unit | Default | Allowed | Run time | Help |
|---|---|---|---|---|---|---|
`)
	for _, row := range settings.Table {
		runtime := ""
		if row.Runtime {
			runtime = "yes"
		}
		fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s | %s | %s |\n", row.Name, row.Type, row.Unit, codeSpan(row.Default), row.Rule, runtime, row.Help)
	}
	return page.String()
}

// codeSpan returns text as a Markdown code span, or "" if it is empty.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

func codesPage() string {
	var page strings.Builder
	page.WriteString(`# Result codes
` + generatedNotice + `
Every answer that is not met carries a body such as

    {"code":2001,"name":"quota_exceeded","detail":"…","retry":"later","retry_after_ms":400,"request_id":"…"}

and, where the caller may come back, the header ` + "`Retry-After`" + `. Numbers never change meaning. 1xxx concern the request, 2xxx
limits and capacity, 3xxx the outcome of calls and streams, 4xxx orders, 5xxx control and state.

What to do is said by *retry*: **no**, the same request will get the same answer; **later**, it is safe to send it again,
not before retry_after_ms; **same**, send the same order id again, it is accepted once; **check**, the call may have run,
find out before sending it again.

*Exit* is the exit code of the command line: 0 met, 1 a fault of the program or an outcome to look up, 2 a wrong command
line or setting, 3 refused for good, 4 try later, 5 send the same order id again, 6 another order on the same base won.

| Code | Name | HTTP | Retry | Exit | Meaning |
|---|---|---|---|---|---|
`)
	for _, row := range apierror.Codes {
		fmt.Fprintf(&page, "| %d | `%s` | %d | %s | %d | %s |\n", row.Code, row.Name, row.Status, row.Retry, ExitCode(row.Code), row.Help)
	}
	return page.String()
}

func eventsPage() string {
	var page strings.Builder
	fmt.Fprintf(&page, `# Log events
%s
Processes log to the standard error, one event a line, as keys and values: ts, level, event (the number), event_name, and
keys of the event's own. Numbers never change meaning. Each event is bounded to %d lines at once and %d a second after
that; what is left out is counted by event 1008. Keys and key hashes are never logged.

1xxx concern the process, 2xxx membership, leases and the feed, 3xxx agreement, cores and disks, 4xxx operators' orders,
5xxx servers, watchers and plans, 6xxx calls, 7xxx the tally.

| Event | Name | Level | Meaning | What it asks for |
|---|---|---|---|---|
`, generatedNotice, events.Burst, events.RefillPerSecond)
	for _, event := range events.Catalogue() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s | %s |\n", event.Number, event.Name, event.Level, event.Help, event.Action)
	}
	return page.String()
}
