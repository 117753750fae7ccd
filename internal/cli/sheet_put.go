package cli

import (
	"net/http"

	"stepwick/internal/decision/sheet"

	"github.com/spf13/cobra"
)

func (a *App) sheetPutCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:   "put FILE",
		Short: "Replace the whole sheet",
		Long: `Replace the whole sheet with the contents of a file, in JSON or CSV; "-" is standard
input. The difference is shown before the order is sent. A file written by "sheet
get" contains the sheet epoch at which it was read: if another order has changed
the sheet since, this one is rejected.`,
		Example: "  stepwick sheet put sheet.json\n  stepwick sheet put sheet.json --dry-run",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.putSheet(command, client, flags, args[0])
		},
	}
	flags.registerForSheet(command.Flags())
	return command
}

// putSheet shows the difference and sends an order that replaces the sheet with the
// contents of a file. The base is the value of the flag --base, else the version in
// the file, else the newest version.
func (a *App) putSheet(command *cobra.Command, client *fleetClient, flags *orderFlags, file string) error {
	replacement, base, err := a.readSheetFile(file)
	if err != nil {
		return err
	}
	current, err := client.fetchSheet(command.Context())
	if err != nil {
		return err
	}
	if !flags.quiet {
		a.printDiff(current.Sheet, replacement)
	}
	if flags.dryRun {
		return nil
	}
	switch {
	case command.Flags().Changed("base"):
		base = flags.base
	case base == 0:
		base = current.SheetVersion
	}
	body := struct {
		OrderID string       `json:"order_id"`
		Base    uint64       `json:"base"`
		Sheet   *sheet.Sheet `json:"sheet"`
	}{flags.id(a), base, replacement}
	return a.submitOrder(command, client, flags, http.MethodPut, "sheet", body)
}
