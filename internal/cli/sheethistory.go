package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
)

func (a *App) sheetHistory(l *link) *cobra.Command {
	var format string
	var limit int
	command := &cobra.Command{
		Use:     "history",
		Short:   "List the last orders: epoch, time, operator, what they did",
		Example: "  stepwick sheet history\n  stepwick sheet history --limit 5 -o json",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var got struct {
				Orders []statemachine.Record `json:"history"`
			}
			body, err := l.get(command.Context(), controlPath+"history", &got)
			if err != nil {
				return err
			}
			orders := got.Orders
			if limit > 0 && len(orders) > limit {
				orders = orders[len(orders)-limit:]
			}
			if format == "json" {
				if limit <= 0 {
					return a.printBody(body)
				}
				return a.printJSON(map[string]any{"history": orders})
			}
			t := a.table("EPOCH", "TIME", "OPERATOR", "ORDER", "WHAT", "ORDER ID")
			for _, r := range orders {
				t.row(r.Version, time.UnixMilli(r.AtMS).UTC().Format("2006-01-02T15:04:05Z"), r.Operator, r.Verb, r.Summary, r.OrderID)
			}
			return t.print()
		},
	}
	command.Flags().IntVar(&limit, "limit", 0, "only the last so many; 0 for all that are kept")
	output(command, &format, "table", "table", "json")
	return command
}

func (a *App) sheetDiff(l *link) *cobra.Command {
	command := &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "Show what a file would change in the sheet, or between two files",
		Example: `  stepwick sheet diff sheet.json
  stepwick sheet diff yesterday.json sheet.csv`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			to, _, err := a.readSheet(args[len(args)-1])
			if err != nil {
				return err
			}
			var from *sheet.Sheet
			if len(args) == 2 {
				from, _, err = a.readSheet(args[0])
			} else {
				var current *held
				if current, err = l.sheet(command.Context()); err == nil {
					from = current.Sheet
				}
			}
			if err != nil {
				return err
			}
			a.showDiff(&ordering{}, from, to)
			return nil
		},
	}
	return command
}

func (a *App) sheetExport(l *link) *cobra.Command {
	return &cobra.Command{
		Use:     "export FILE",
		Short:   "Write the sheet to a file for a spreadsheet (.csv) or as JSON (.json)",
		Example: "  stepwick sheet export sheet.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			got, err := l.sheet(command.Context())
			if err != nil {
				return err
			}
			var data []byte
			switch {
			case strings.HasSuffix(args[0], ".csv"):
				data = got.Sheet.ExportCSV()
			case strings.HasSuffix(args[0], ".json"):
				if data, err = json.MarshalIndent(got, "", "  "); err != nil {
					return err
				}
				data = append(data, '\n')
			default:
				return errors.Errorf("%s: the name must end in .csv or .json", args[0])
			}
			if err := os.WriteFile(args[0], data, 0o600); err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s holds the sheet of epoch %d\n", args[0], got.SheetVersion)
			return nil
		},
	}
}

func (a *App) sheetImport(l *link) *cobra.Command {
	o := &ordering{}
	command := &cobra.Command{
		Use:   "import FILE",
		Short: "Replace the sheet by one that a spreadsheet wrote",
		Long: `Replace the sheet by a file's, as "sheet put" does. A CSV file names no sheet epoch:
give --base with the epoch that "sheet export" told, so that an order that won
meanwhile isn't undone.`,
		Example: "  stepwick sheet import sheet.csv --base 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.put(command, l, o, args[0])
		},
	}
	o.register(command.Flags(), true)
	return command
}

func query(pairs ...string) string {
	values := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i+1] != "" {
			values.Set(pairs[i], pairs[i+1])
		}
	}
	if len(values) == 0 {
		return ""
	}
	return "?" + values.Encode()
}
