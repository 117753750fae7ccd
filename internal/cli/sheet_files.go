package cli

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// sheetFileMode lets only the owner read a sheet, which has key hashes.
const sheetFileMode = 0o600

func (a *App) sheetDiffCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
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
				from, err = client.currentSheet(command.Context())
			}
			if err != nil {
				return err
			}
			a.printDiff(from, to)
			return nil
		},
	}
}

// currentSheet returns the sheet that is in force.
func (c *fleetClient) currentSheet(ctx context.Context) (*sheet.Sheet, error) {
	state, err := c.sheet(ctx)
	if err != nil {
		return nil, err
	}
	return state.Sheet, nil
}

func (a *App) printDiff(from, to *sheet.Sheet) {
	lines := sheet.Diff(from, to)
	if len(lines) == 0 {
		a.println("nothing changes")
	}
	for _, line := range lines {
		a.println(line)
	}
}

func (a *App) sheetExportCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:     "export FILE",
		Short:   "Write the sheet to a file for a spreadsheet (.csv) or as JSON (.json)",
		Example: "  stepwick sheet export sheet.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := client.sheet(command.Context())
			if err != nil {
				return err
			}
			data, err := state.encodeFor(args[0])
			if err != nil {
				return err
			}
			if err := os.WriteFile(args[0], data, sheetFileMode); err != nil {
				return err
			}
			a.printf("%s holds the sheet of epoch %d\n", args[0], state.SheetVersion)
			return nil
		},
	}
}

// encodeFor returns the sheet in the form that a file's extension selects.
func (s *sheetState) encodeFor(file string) ([]byte, error) {
	switch {
	case strings.HasSuffix(file, ".csv"):
		return s.Sheet.ExportCSV(), nil
	case strings.HasSuffix(file, ".json"):
		data, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return nil, err
		}
		return append(data, '\n'), nil
	}
	return nil, errors.Errorf("%s: the name must end in .csv or .json", file)
}

func (a *App) sheetImportCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:   "import FILE",
		Short: "Replace the sheet by one that a spreadsheet wrote",
		Long: `Replace the sheet by a file's, as "sheet put" does. A CSV file names no sheet epoch:
give --base with the epoch that "sheet export" told, so that an order that won
meanwhile isn't undone.`,
		Example: "  stepwick sheet import sheet.csv --base 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.putSheet(command, client, flags, args[0])
		},
	}
	flags.registerForSheet(command.Flags())
	return command
}
