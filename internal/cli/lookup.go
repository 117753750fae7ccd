package cli

import (
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

func (a *App) codes() *cobra.Command {
	return &cobra.Command{
		Use:     "codes [CODE|NAME]",
		Short:   "List the result codes, or look one up",
		Example: "  stepwick codes\n  stepwick codes 4001\n  stepwick codes base_moved",
		Args:    cobra.MaximumNArgs(1), ValidArgsFunction: noArgs,
		RunE: func(_ *cobra.Command, args []string) error {
			t := a.table("CODE", "NAME", "HTTP", "RETRY", "EXIT", "HELP")
			found := false
			for _, row := range apierror.Codes {
				if len(args) == 0 || args[0] == row.Name || args[0] == strconv.Itoa(int(row.Code)) {
					t.row(uint32(row.Code), row.Name, row.Status, row.Retry, Exit(row.Code), row.Help)
					found = true
				}
			}
			if !found {
				return errors.Errorf("no code %q", args[0])
			}
			return t.print()
		},
	}
}

func (a *App) events() *cobra.Command {
	return &cobra.Command{
		Use:     "events [NUMBER|NAME]",
		Short:   "List the log events, or look one up",
		Example: "  stepwick events\n  stepwick events 2005\n  stepwick events ruling_lost",
		Args:    cobra.MaximumNArgs(1), ValidArgsFunction: noArgs,
		RunE: func(_ *cobra.Command, args []string) error {
			t := a.table("EVENT", "NAME", "LEVEL", "MEANING", "WHAT TO DO")
			found := false
			for _, e := range events.Catalogue() {
				if len(args) == 0 || args[0] == e.Name || args[0] == strconv.Itoa(e.Number) {
					t.row(e.Number, e.Name, e.Level, e.Help, e.Action)
					found = true
				}
			}
			if !found {
				return errors.Errorf("no event %q", args[0])
			}
			return t.print()
		},
	}
}

func (a *App) version() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the release",
		Example: "  stepwick version",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintf(a.Out, "stepwick %s\n", Version)
			return err
		},
	}
}
