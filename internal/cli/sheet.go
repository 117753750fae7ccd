package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"stepwick/internal/core/sheet"
	"stepwick/internal/kernel"
	"stepwick/internal/settings"
)

const controlPath = "/v1/control/"

// held is the sheet as it is read back, with the epochs that it stands at.
type held struct {
	Epoch      uint64            `json:"epoch"`
	SheetEpoch uint64            `json:"sheet_epoch"`
	Sheet      *sheet.Sheet      `json:"sheet"`
	Evacuated  map[string]uint64 `json:"evacuated,omitempty"`
}

func (l *link) sheet(ctx kernel.Context) (*held, error) {
	var got held
	if _, err := l.get(ctx, controlPath+"sheet", &got); err != nil {
		return nil, err
	}
	return &got, nil
}

type ordering struct {
	base    uint64
	orderID string
	wait    kernel.Duration
	dryRun  bool
	quiet   bool
}

func (o *ordering) register(flags *pflag.FlagSet, sheets bool) {
	flags.StringVar(&o.orderID, "order-id", "", "the order's id; a random one when empty. The same id is accepted once")
	flags.DurationVar(&o.wait, "wait", 15*kernel.Second, "how long to send the order again while its outcome is pending")
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
		fmt.Fprintf(a.Out, "sheet epoch %d\n", got.SheetEpoch)
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

// readSheet reads a sheet from a file: CSV, or JSON with the epochs around it
// as "sheet get" writes, or JSON of the sheet alone. base is zero where the
// file names none.
func (a *App) readSheet(name string) (*sheet.Sheet, uint64, error) {
	data, err := a.readFile(name)
	if err != nil {
		return nil, 0, err
	}
	if strings.HasSuffix(name, ".csv") || bytes.HasPrefix(bytes.TrimPrefix(data, []byte("\ufeff")), []byte("cell,value")) {
		next, fault := sheet.ImportCSV(data, sheet.MaxBytes)
		return next, 0, nilable(fault)
	}
	var around struct {
		SheetEpoch uint64          `json:"sheet_epoch"`
		Sheet      json.RawMessage `json:"sheet"`
	}
	if json.Unmarshal(data, &around) == nil && len(around.Sheet) > 0 {
		next, fault := sheet.ParseSheet(around.Sheet, sheet.MaxBytes)
		return next, around.SheetEpoch, nilable(fault)
	}
	next, fault := sheet.ParseSheet(data, sheet.MaxBytes)
	return next, 0, nilable(fault)
}

func nilable(fault *kernel.Fault) error {
	if fault == nil {
		return nil
	}
	return fault
}

func (a *App) sheetPut(l *link) *cobra.Command {
	o := &ordering{}
	command := &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the whole sheet",
		Long: `Replace the whole sheet by a file's: JSON or CSV, "-" for the standard input. What
changes is shown first. A file written by "sheet get" names the sheet epoch that
it was read at: if another order has won since, this one is refused.`,
		Example: "  stepwick sheet put sheet.json\n  stepwick sheet put sheet.json --dry-run",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.put(command, l, o, args[0])
		},
	}
	o.register(command.Flags(), true)
	return command
}

func (a *App) put(command *cobra.Command, l *link, o *ordering, file string) error {
	next, base, err := a.readSheet(file)
	if err != nil {
		return err
	}
	current, err := l.sheet(command.Context())
	if err != nil {
		return err
	}
	a.showDiff(o, current.Sheet, next)
	switch {
	case command.Flags().Changed("base"):
		base = o.base
	case base == 0:
		base = current.SheetEpoch
	}
	if o.dryRun {
		return nil
	}
	body := struct {
		OrderID string       `json:"order_id"`
		Base    uint64       `json:"base"`
		Sheet   *sheet.Sheet `json:"sheet"`
	}{o.id(a), base, next}
	return a.submit(command, l, o, http.MethodPut, "sheet", body)
}

func (a *App) showDiff(o *ordering, from, to *sheet.Sheet) {
	if o.quiet {
		return
	}
	lines := sheet.Diff(from, to)
	if len(lines) == 0 {
		fmt.Fprintln(a.Out, "nothing changes")
	}
	for _, line := range lines {
		fmt.Fprintln(a.Out, line)
	}
}

func (a *App) submit(command *cobra.Command, l *link, o *ordering, method, path string, body any) error {
	told, err := l.order(command.Context(), method, controlPath+path, o.id(a), body, o.wait)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Out, "epoch %d in force: confirmed by %d of %d on the roster (sheet epoch %d, order %s)\n",
		told.Epoch, told.Confirmed, told.Roster, told.SheetEpoch, told.OrderID)
	return nil
}

func (a *App) sheetPatch(l *link) *cobra.Command {
	o := &ordering{}
	var sets, deletes []string
	command := &cobra.Command{
		Use:   "patch",
		Short: "Change cells of the sheet",
		Long: `Change cells of the sheet, like those of a spreadsheet. Cells are

  services.NAME.kind, services.NAME.plain_tokens
  weights.SERVICE.REGION
  tenants.NAME.rate, .burst, .home, .keys; .keys+=HASH adds a key, .keys-=HASH takes it away
  settings.NAME

and services.NAME, weights.SERVICE or tenants.NAME sets a whole row, as JSON.
What changes is shown first.`,
		Example: `  stepwick sheet patch --set weights.chat.lagos=30 --set weights.chat.abeokuta=70
  stepwick sheet patch --set tenants.press.rate=1200
  stepwick sheet patch --set 'tenants.radio={"rate":200,"burst":1000,"keys":[]}'
  stepwick sheet patch --set tenants.press.keys-=$(stepwick key hash < old.key)
  stepwick sheet patch --delete tenants.trial
  stepwick sheet patch --set settings.route.pending=512`,
		Args: cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var changes []sheet.Change
			var problems []string
			for _, text := range sets {
				change, fault := sheet.ParseChange(text)
				if fault == nil {
					fault = checkSetting(change)
				}
				if fault != nil {
					problems = append(problems, fault.Detail)
				}
				changes = append(changes, change)
			}
			for _, path := range deletes {
				changes = append(changes, sheet.Change{Path: path, Delete: true})
			}
			if len(problems) > 0 {
				return kernel.Refuse(kernel.InvalidChange, "%s", strings.Join(problems, "\n"))
			}
			if len(changes) == 0 {
				return errors.New("no change given: --set CELL=VALUE or --delete CELL")
			}
			return a.patch(command, l, o, changes)
		},
	}
	command.Flags().StringArrayVar(&sets, "set", nil, "a change CELL=VALUE; may be given several times")
	command.Flags().StringArrayVar(&deletes, "delete", nil, "a cell or row to delete; may be given several times")
	o.register(command.Flags(), true)
	return command
}

func checkSetting(change sheet.Change) *kernel.Fault {
	name, ok := strings.CutPrefix(change.Path, "settings.")
	if !ok {
		return nil
	}
	var value string
	if err := json.Unmarshal(change.Value, &value); err != nil {
		return kernel.Refuse(kernel.InvalidChange, "%s: %v", change.Path, err)
	}
	if err := settings.CheckRuntime(name, value); err != nil {
		return kernel.Refuse(kernel.InvalidChange, "%s: %v", change.Path, err)
	}
	return nil
}

func (a *App) patch(command *cobra.Command, l *link, o *ordering, changes []sheet.Change) error {
	based := command.Flags().Changed("base")
	if !o.quiet || o.dryRun || !based {
		current, err := l.sheet(command.Context())
		if err != nil {
			return err
		}
		if !based {
			o.base = current.SheetEpoch
		}
		if o.base == current.SheetEpoch {
			next, fault := current.Sheet.Patch(changes)
			if fault != nil {
				return fault
			}
			a.showDiff(o, current.Sheet, next)
		}
	}
	if o.dryRun {
		return nil
	}
	body := struct {
		OrderID string         `json:"order_id"`
		Base    uint64         `json:"base"`
		Changes []sheet.Change `json:"changes"`
	}{o.id(a), o.base, changes}
	return a.submit(command, l, o, http.MethodPatch, "sheet", body)
}

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
				Orders []sheet.Record `json:"history"`
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
				t.row(r.Epoch, kernel.UnixMilli(r.AtMS).UTC().Format("2006-01-02T15:04:05Z"), r.Operator, r.Verb, r.Summary, r.OrderID)
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
			fmt.Fprintf(a.Out, "%s holds the sheet of epoch %d\n", args[0], got.SheetEpoch)
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
