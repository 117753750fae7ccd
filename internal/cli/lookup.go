package cli

import (
	"fmt"
	"strconv"

	"stepwick/internal/apierror"
	"stepwick/internal/events"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// lookupRow is one row of a table of numbered things.
type lookupRow struct {
	number int
	name   string
	cells  []any
}

// newLookupTable returns a command that lists the rows, or only the one whose
// number or name is its argument.
func (a *App) newLookupTable(command *cobra.Command, kind string, headings []any, rows func() []lookupRow) *cobra.Command {
	command.Args = cobra.MaximumNArgs(1)
	command.ValidArgsFunction = noArgs
	command.RunE = func(_ *cobra.Command, args []string) error {
		listed := a.newTable(headings...)
		found := false
		for _, row := range rows() {
			if len(args) == 0 || args[0] == row.name || args[0] == strconv.Itoa(row.number) {
				listed.row(row.cells...)
				found = true
			}
		}
		if !found {
			return errors.Errorf("no %s %q", kind, args[0])
		}
		return listed.print()
	}
	return command
}

func (a *App) codesCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "codes [CODE|NAME]",
		Short:   "List the result codes, or look one up",
		Example: "  stepwick codes\n  stepwick codes 4001\n  stepwick codes base_moved",
	}
	headings := []any{"CODE", "NAME", "HTTP", "RETRY", "EXIT", "HELP"}
	return a.newLookupTable(command, "code", headings, func() []lookupRow {
		var rows []lookupRow
		for _, row := range apierror.Codes {
			rows = append(rows, lookupRow{
				number: int(row.Code),
				name:   row.Name,
				cells:  []any{uint32(row.Code), row.Name, row.Status, row.Retry, Exit(row.Code), row.Help},
			})
		}
		return rows
	})
}

func (a *App) eventsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "events [NUMBER|NAME]",
		Short:   "List the log events, or look one up",
		Example: "  stepwick events\n  stepwick events 2005\n  stepwick events ruling_lost",
	}
	headings := []any{"EVENT", "NAME", "LEVEL", "MEANING", "WHAT TO DO"}
	return a.newLookupTable(command, "event", headings, func() []lookupRow {
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
		ValidArgsFunction: noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintf(a.Out, "stepwick %s\n", Version)
			return err
		},
	}
}
