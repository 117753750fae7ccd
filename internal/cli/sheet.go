package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

const controlPath = "/v1/control/"

// held is the sheet as it is read back, with the versions that it stands at.
type held struct {
	Version      uint64            `json:"epoch"`
	SheetVersion uint64            `json:"sheet_epoch"`
	Sheet        *sheet.Sheet      `json:"sheet"`
	Evacuated    map[string]uint64 `json:"evacuated,omitempty"`
}

func (l *link) sheet(ctx context.Context) (*held, error) {
	var got held
	if _, err := l.get(ctx, controlPath+"sheet", &got); err != nil {
		return nil, err
	}
	return &got, nil
}

type ordering struct {
	base    uint64
	orderID string
	wait    time.Duration
	dryRun  bool
	quiet   bool
}

func (o *ordering) register(flags *pflag.FlagSet, sheets bool) {
	flags.StringVar(&o.orderID, "order-id", "", "the order's id; a random one when empty. The same id is accepted once")
	flags.DurationVar(&o.wait, "wait", 15*time.Second, "how long to send the order again while its outcome is pending")
	if sheets {
		flags.Uint64Var(&o.base, "base", 0, "the sheet epoch that the change builds on (default: that of the file if it has one, else the newest)")
		flags.BoolVar(&o.dryRun, "dry-run", false, "show the difference and stop")
		flags.BoolVarP(&o.quiet, "quiet", "q", false, "don't show the difference")
	}
}

func (o *ordering) id(a *App) string {
	if o.orderID == "" {
		o.orderID = a.NewID()
	}
	return o.orderID
}

func (a *App) sheet() *cobra.Command {
	l := &link{app: a}
	command := &cobra.Command{
		Use:   "sheet",
		Short: "Read and change the sheet: weights, tenants, services, run-time settings",
		Long: `The sheet holds the weights per service and region, the allowances and key
hashes per tenant, the services, and the settings that may change while the
fleet runs. Each change is an order: it names the sheet epoch that it builds on,
and of two orders on the same one only the first wins. An order that is
acknowledged is in force on every node.`,
		Example: `  stepwick sheet get
  stepwick sheet patch --set weights.chat.lagos=30 --set weights.chat.abeokuta=70
  stepwick sheet export sheet.csv
  stepwick sheet import sheet.csv --dry-run`,
	}
	l.register(command.PersistentFlags())
	command.AddCommand(a.sheetGet(l), a.sheetPut(l), a.sheetPatch(l), a.sheetHistory(l), a.sheetDiff(l), a.sheetExport(l), a.sheetImport(l))
	return command
}

func (a *App) sheetGet(l *link) *cobra.Command {
	var format string
	command := &cobra.Command{
		Use:   "get",
		Short: "Read the sheet back from a majority of the cores",
		Long: `Read the sheet back from a majority of the cores. The JSON form carries the sheet
epoch, so that an edited copy given to "sheet put" builds on just that sheet.`,
		Example: "  stepwick sheet get > sheet.json\n  stepwick sheet get -o table",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			got, err := l.sheet(command.Context())
			if err != nil {
				return err
			}
			return a.printSheet(got, format)
		},
	}
	output(command, &format, "json", "json", "csv", "table")
	return command
}

func (a *App) printSheet(got *held, format string) error {
	switch format {
	case "json":
		return a.printJSON(got)
	case "csv":
		_, err := a.Out.Write(got.Sheet.ExportCSV())
		return err
	case "table":
		fmt.Fprintf(a.Out, "sheet epoch %d\n", got.SheetVersion)
		t := a.table("CELL", "VALUE")
		for _, cell := range got.Sheet.Cells() {
			t.row(cell.Path, cell.Value)
		}
		return t.print()
	}
	return errors.Errorf("no output %q: json, csv or table", format)
}

func (a *App) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.In)
	}
	return os.ReadFile(name)
}

// readSheet reads a sheet from a file: CSV, or JSON with the versions around it
// as "sheet get" writes, or JSON of the sheet alone. base is zero where the
// file names none.
func (a *App) readSheet(name string) (*sheet.Sheet, uint64, error) {
	data, err := a.readFile(name)
	if err != nil {
		return nil, 0, err
	}
	if strings.HasSuffix(name, ".csv") || bytes.HasPrefix(bytes.TrimPrefix(data, []byte("\ufeff")), []byte("cell,value")) {
		next, apiErr := sheet.ImportCSV(data, sheet.MaxBytes)
		return next, 0, nilable(apiErr)
	}
	var around struct {
		SheetVersion uint64          `json:"sheet_epoch"`
		Sheet        json.RawMessage `json:"sheet"`
	}
	if json.Unmarshal(data, &around) == nil && len(around.Sheet) > 0 {
		next, apiErr := sheet.ParseSheet(around.Sheet, sheet.MaxBytes)
		return next, around.SheetVersion, nilable(apiErr)
	}
	next, apiErr := sheet.ParseSheet(data, sheet.MaxBytes)
	return next, 0, nilable(apiErr)
}

func nilable(apiErr *apierror.Error) error {
	if apiErr == nil {
		return nil
	}
	return apiErr
}
