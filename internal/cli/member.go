package cli

import (
	"net/http"

	"github.com/spf13/cobra"
)

func (a *App) memberCommand() *cobra.Command {
	client := &fleetClient{app: a}
	command := &cobra.Command{
		Use:   "member",
		Short: "Take members off the roster",
	}
	client.register(command.PersistentFlags())
	command.AddCommand(a.memberRemoveCommand(client))
	return command
}

func (a *App) memberRemoveCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:   "remove NAME...",
		Short: "Take members off the roster by name",
		Long: `Take members off the roster by name. A process that refuses connections leaves the
roster by itself after a while; one that is silent never does, as it may still
serve behind a cut. Only remove a silent member when its machine is known to be
off: your order vouches for that.`,
		Example:           "  stepwick member remove front-7\n  stepwick member remove front-7 front-8",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, args []string) error {
			body := struct {
				OrderID string   `json:"order_id"`
				Names   []string `json:"names"`
			}{flags.id(a), args}
			return a.submitOrder(command, client, flags, http.MethodPost, "members/remove", body)
		},
	}
	flags.register(command.Flags())
	return command
}
