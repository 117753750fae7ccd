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
		Long: `Replace the whole sheet by a file's: JSON or CSV, "-" for the standard input. What
changes is shown first. A file written by "sheet get" names the sheet epoch that
it was read at: if another order has won since, this one is refused.`,
		Example: "  stepwick sheet put sheet.json\n  stepwick sheet put sheet.json --dry-run",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return a.putSheet(command, client, flags, args[0])
		},
	}
	flags.registerForSheet(command.Flags())
	return command
}

// putSheet replaces the sheet by that of a file, after it showed the difference.
// The base is that of the flag, or the file's, or the newest.
func (a *App) putSheet(command *cobra.Command, client *fleetClient, flags *orderFlags, file string) error {
	replacement, base, err := a.readSheet(file)
	if err != nil {
		return err
	}
	current, err := client.sheet(command.Context())
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
