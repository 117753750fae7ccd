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

// sheetFileMode is the mode of exported sheets: only the owner may read them, as they
// contain key hashes.
const sheetFileMode = 0o600

func (a *App) sheetDiffCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE [FILE]",
		Short: "Compare a file with the current sheet, or two files",
		Example: `  stepwick sheet diff sheet.json
  stepwick sheet diff yesterday.json sheet.csv`,
		Args: cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			to, _, err := a.readSheetFile(args[len(args)-1])
			if err != nil {
				return err
			}
			var from *sheet.Sheet
			if len(args) == 2 {
				from, _, err = a.readSheetFile(args[0])
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

// currentSheet returns the newest sheet, without its versions.
func (c *fleetClient) currentSheet(ctx context.Context) (*sheet.Sheet, error) {
	state, err := c.fetchSheet(ctx)
	if err != nil {
		return nil, err
	}
	return state.Sheet, nil
}

func (a *App) printDiff(from, to *sheet.Sheet) {
	lines := sheet.Diff(from, to)
	if len(lines) == 0 {
		a.println("no changes")
	}
	for _, line := range lines {
		a.println(line)
	}
}

func (a *App) sheetExportCommand(client *fleetClient) *cobra.Command {
	return &cobra.Command{
		Use:     "export FILE",
		Short:   "Write the sheet to a file, as CSV for a spreadsheet (.csv) or as JSON (.json)",
		Example: "  stepwick sheet export sheet.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			state, err := client.fetchSheet(command.Context())
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
			a.printf("wrote %s: sheet epoch %d\n", args[0], state.SheetVersion)
			return nil
		},
	}
}

// encodeFor encodes the sheet in the format that the extension of a file selects.
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
	return nil, errors.Errorf("%s: the file name must end in .csv or .json", file)
}

func (a *App) sheetImportCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:   "import FILE",
		Short: "Replace the sheet with one exported from a spreadsheet",
		Long: `Replace the sheet with the contents of a file, as "sheet put" does. A CSV file does
not contain the sheet epoch. Set --base to the epoch that "sheet export" printed, so
that the import does not undo an order that was accepted in the meantime.`,
		Example: "  stepwick sheet import sheet.csv --base 17",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.putSheet(command, client, flags, args[0])
		},
	}
	flags.registerForSheet(command.Flags())
	return command
}
