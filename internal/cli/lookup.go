package cli

import (
	"fmt"
	"strconv"

	"stepwick/internal/apierror"
	"stepwick/internal/events"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// lookupRow is a row of a reference table whose entries have a number and a name.
type lookupRow struct {
	number int
	name   string
	cells  []any
}

// newLookupCommand completes a command that lists all rows, or only the row whose
// number or name is the argument. kind names an entry in error messages.
func (a *App) newLookupCommand(command *cobra.Command, kind string, headings []any, rows func() []lookupRow) *cobra.Command {
	command.Args = cobra.MaximumNArgs(1)
	command.ValidArgsFunction = completeNothing
	command.RunE = func(_ *cobra.Command, args []string) error {
		matches := a.newTable(headings...)
		matched := false
		for _, row := range rows() {
			if len(args) == 0 || args[0] == row.name || args[0] == strconv.Itoa(row.number) {
				matches.addRow(row.cells...)
				matched = true
			}
		}
		if !matched {
			return errors.Errorf("unknown %s %q", kind, args[0])
		}
		return matches.print()
	}
	return command
}

func (a *App) codesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "codes [CODE|NAME]",
		Short:   "List the result codes, or show one",
		Example: "  stepwick codes\n  stepwick codes 4001\n  stepwick codes base_moved",
	}
	headings := []any{"CODE", "NAME", "HTTP", "RETRY", "EXIT", "HELP"}
	return a.newLookupCommand(command, "code", headings, func() []lookupRow {
		var rows []lookupRow
		for _, row := range apierror.Codes {
			rows = append(rows, lookupRow{
				number: int(row.Code),
				name:   row.Name,
				cells:  []any{uint32(row.Code), row.Name, row.Status, row.Retry, ExitCode(row.Code), row.Help},
			})
		}
		return rows
	})
}

func (a *App) eventsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "events [NUMBER|NAME]",
		Short:   "List the log events, or show one",
		Example: "  stepwick events\n  stepwick events 2005\n  stepwick events ruling_lost",
	}
	headings := []any{"EVENT", "NAME", "LEVEL", "MEANING", "WHAT TO DO"}
	return a.newLookupCommand(command, "event", headings, func() []lookupRow {
		var rows []lookupRow
		for _, event := range events.Catalogue() {
			rows = append(rows, lookupRow{
				number: event.Number,
				name:   event.Name,
				cells:  []any{event.Number, event.Name, event.Level, event.Help, event.Action},
			})
		}
		return rows
	})
}

func (a *App) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "version",
		Short:             "Print the release",
		Example:           "  stepwick version",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintf(a.Out, "stepwick %s\n", Version)
			return err
		},
	}
}
