package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// sheetState is the sheet as read from a majority of the cores, with its versions.
type sheetState struct {
	Version      uint64            `json:"epoch"`
	SheetVersion uint64            `json:"sheet_epoch"`
	Sheet        *sheet.Sheet      `json:"sheet"`
	Evacuated    map[string]uint64 `json:"evacuated,omitempty"`
}

// fetchSheet reads the sheet from a majority of the cores.
func (c *fleetClient) fetchSheet(ctx context.Context) (*sheetState, error) {
	var state sheetState
	if _, err := c.get(ctx, controlPath+"sheet", &state); err != nil {
		return nil, err
	}
	return &state, nil
}

func (a *App) sheetCommand() *cobra.Command {
	client := &fleetClient{app: a}
	command := &cobra.Command{
		Use:   "sheet",
		Short: "Read and change the sheet: weights, tenants, services, run-time settings",
		Long: `The sheet contains the weights per service and region, the rate limits and key
hashes per tenant, the services, and the settings that can change at run time.
Each change is an order that names the sheet epoch it is based on. Of several
orders with the same base, only the first is accepted. An acknowledged order is
in force on every node.`,
		Example: `  stepwick sheet get
  stepwick sheet patch --set weights.chat.lagos=30 --set weights.chat.abeokuta=70
  stepwick sheet export sheet.csv
  stepwick sheet import sheet.csv --dry-run`,
	}
	client.register(command.PersistentFlags())
	command.AddCommand(a.sheetGetCommand(client), a.sheetPutCommand(client), a.sheetPatchCommand(client),
		a.sheetHistoryCommand(client), a.sheetDiffCommand(client), a.sheetExportCommand(client), a.sheetImportCommand(client))
	return command
}

func (a *App) sheetGetCommand(client *fleetClient) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "get",
		Short: "Read the sheet from a majority of the cores",
		Long: `Read the sheet from a majority of the cores. The JSON output includes the sheet
epoch, which "sheet put" uses as the base of an edited copy.`,
		Example:           "  stepwick sheet get > sheet.json\n  stepwick sheet get -o table",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, _ []string) error {
			state, err := client.fetchSheet(command.Context())
			if err != nil {
				return err
			}
			return a.printSheet(state, format)
		},
	}
	addOutputFlag(command, &format, formatJSON, formatJSON, formatCSV, formatTable)
	return command
}

func (a *App) printSheet(state *sheetState, format string) error {
	switch format {
	case formatJSON:
		return a.printJSON(state)
	case formatCSV:
		_, err := a.Out.Write(state.Sheet.ExportCSV())
		return err
	case formatTable:
		a.printf("sheet epoch %d\n", state.SheetVersion)
		cells := a.newTable("CELL", "VALUE")
		for _, cell := range state.Sheet.Cells() {
			cells.addRow(cell.Path, cell.Value)
		}
		return cells.print()
	}
	return errors.Errorf("unknown output format %q, expected json, csv or table", format)
}

// readFile reads a file, or standard input if name is "-".
func (a *App) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(name)
}

// readSheetFile reads a sheet from a file. The format is CSV, JSON with versions as
// written by "sheet get", or JSON of the sheet alone. base is the sheet version in
// the file, or zero if it has none.
func (a *App) readSheetFile(name string) (document *sheet.Sheet, base uint64, err error) {
	data, err := a.readFile(name)
	if err != nil {
		return nil, 0, err
	}
	if isCSV(name, data) {
		imported, apiErr := sheet.ImportCSV(data, sheet.MaxBytes)
		return imported, 0, asError(apiErr)
	}
	var state struct {
		SheetVersion uint64          `json:"sheet_epoch"`
		Sheet        json.RawMessage `json:"sheet"`
	}
	if json.Unmarshal(data, &state) == nil && len(state.Sheet) > 0 {
		parsed, apiErr := sheet.ParseSheet(state.Sheet, sheet.MaxBytes)
		return parsed, state.SheetVersion, asError(apiErr)
	}
	parsed, apiErr := sheet.ParseSheet(data, sheet.MaxBytes)
	return parsed, 0, asError(apiErr)
}

// isCSV reports whether a file contains a sheet as CSV, according to its name or its
// header.
func isCSV(name string, data []byte) bool {
	const byteOrderMark = "\ufeff"
	return strings.HasSuffix(name, ".csv") || bytes.HasPrefix(bytes.TrimPrefix(data, []byte(byteOrderMark)), []byte("cell,value"))
}

// asError converts apiErr to an error that is nil if apiErr is nil. An error interface
// with a nil pointer would not equal nil.
func asError(apiErr *apierror.Error) error {
	if apiErr == nil {
		return nil
	}
	return apiErr
}
