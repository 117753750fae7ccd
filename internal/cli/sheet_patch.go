package cli

import (
	"encoding/json"
	"net/http"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/settings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func (a *App) sheetPatchCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	var sets []string
	var deletes []string
	command := &cobra.Command{
		Use:   "patch",
		Short: "Change cells of the sheet",
		Long: `Change cells of the sheet. Cells are

  services.NAME.kind, services.NAME.plain_tokens
  weights.SERVICE.REGION
  tenants.NAME.rate, .burst, .home, .keys; .keys+=HASH adds a key, .keys-=HASH removes it
  settings.NAME

A path services.NAME, weights.SERVICE or tenants.NAME sets a whole row, as JSON.
The difference is shown before the order is sent.`,
		Example: `  stepwick sheet patch --set weights.chat.lagos=30 --set weights.chat.abeokuta=70
  stepwick sheet patch --set tenants.press.rate=1200
  stepwick sheet patch --set 'tenants.radio={"rate":200,"burst":1000,"keys":[]}'
  stepwick sheet patch --set tenants.press.keys-=$(stepwick key hash < old.key)
  stepwick sheet patch --delete tenants.trial
  stepwick sheet patch --set settings.route.pending=512`,
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, _ []string) error {
			changes, err := parseChanges(sets, deletes)
			if err != nil {
				return err
			}
			return a.patchSheet(command, client, flags, changes)
		},
	}
	command.Flags().StringArrayVar(&sets, "set", nil, "a change, as CELL=VALUE; can be repeated")
	command.Flags().StringArrayVar(&deletes, "delete", nil, "a cell or row to delete; can be repeated")
	flags.registerForSheet(command.Flags())
	return command
}

// parseChanges parses the values of the flags --set and --delete. The error lists all
// problems.
func parseChanges(sets, deletes []string) ([]sheet.Change, error) {
	var changes []sheet.Change
	var problems []string
	for _, text := range sets {
		change, apiErr := sheet.ParseChange(text)
		if apiErr == nil {
			apiErr = checkSettingChange(change)
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
		return nil, apierror.Errorf(apierror.InvalidChange, "%s", strings.Join(problems, "\n"))
	}
	if len(changes) == 0 {
		return nil, errors.New("no changes: give --set CELL=VALUE or --delete CELL")
	}
	return changes, nil
}

// checkSettingChange validates the value if the change sets a run-time setting.
func checkSettingChange(change sheet.Change) *apierror.Error {
	name, isSetting := strings.CutPrefix(change.Path, "settings.")
	if !isSetting {
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

// patchSheet sends an order that changes cells of the sheet. If the changes are based
// on the newest sheet, it shows the difference first.
func (a *App) patchSheet(command *cobra.Command, client *fleetClient, flags *orderFlags, changes []sheet.Change) error {
	baseGiven := command.Flags().Changed("base")
	if !flags.quiet || flags.dryRun || !baseGiven {
		current, err := client.fetchSheet(command.Context())
		if err != nil {
			return err
		}
		if !baseGiven {
			flags.base = current.SheetVersion
		}
		if err := a.previewPatch(current, flags, changes); err != nil {
			return err
		}
	}
	if flags.dryRun {
		return nil
	}
	body := struct {
		OrderID string         `json:"order_id"`
		Base    uint64         `json:"base"`
		Changes []sheet.Change `json:"changes"`
	}{flags.id(a), flags.base, changes}
	return a.submitOrder(command, client, flags, http.MethodPatch, "sheet", body)
}

// previewPatch applies the changes to a copy of the current sheet and shows the
// difference. It does nothing if the changes have another base.
func (a *App) previewPatch(current *sheetState, flags *orderFlags, changes []sheet.Change) error {
	if flags.base != current.SheetVersion {
		return nil
	}
	patched, apiErr := current.Sheet.Patch(changes)
	if apiErr != nil {
		return apiErr
	}
	if !flags.quiet {
		a.printDiff(current.Sheet, patched)
	}
	return nil
}
