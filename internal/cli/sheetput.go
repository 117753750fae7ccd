package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/settings"
)

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
		base = current.SheetVersion
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
		told.Version, told.Confirmed, told.Roster, told.SheetVersion, told.OrderID)
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
				change, apiErr := sheet.ParseChange(text)
				if apiErr == nil {
					apiErr = checkSetting(change)
				}
				if apiErr != nil {
					problems = append(problems, apiErr.Detail)
				}
				changes = append(changes, change)
			}
			for _, path := range deletes {
				changes = append(changes, sheet.Change{Path: path, Delete: true})
			}
			if len(problems) > 0 {
				return apierror.Errorf(apierror.InvalidChange, "%s", strings.Join(problems, "\n"))
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

func checkSetting(change sheet.Change) *apierror.Error {
	name, ok := strings.CutPrefix(change.Path, "settings.")
	if !ok {
		return nil
	}
	var value string
	if err := json.Unmarshal(change.Value, &value); err != nil {
		return apierror.Errorf(apierror.InvalidChange, "%s: %v", change.Path, err)
	}
	if err := settings.ValidateRuntime(name, value); err != nil {
		return apierror.Errorf(apierror.InvalidChange, "%s: %v", change.Path, err)
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
			o.base = current.SheetVersion
		}
		if o.base == current.SheetVersion {
			next, apiErr := current.Sheet.Patch(changes)
			if apiErr != nil {
				return apiErr
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
