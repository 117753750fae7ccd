package cli

import (
	"net/http"

	"github.com/spf13/cobra"
)

func (a *App) memberCommand() *cobra.Command {
	client := &fleetClient{app: a}
	command := &cobra.Command{
		Use:   "member",
		Short: "Remove members from the roster",
	}
	client.register(command.PersistentFlags())
	command.AddCommand(a.memberRemoveCommand(client))
	return command
}

func (a *App) memberRemoveCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:   "remove NAME...",
		Short: "Remove members from the roster by name",
		Long: `Remove members from the roster by name. A process that was stopped, or that does not
respond for a minute, is removed automatically. This order takes effect at once:
remove a member only if its machine is known to be off, as it may otherwise still
serve requests on the other side of a network partition for a few seconds. The fleet
relies on your order for that.`,
		Example:           "  stepwick member remove front-7\n  stepwick member remove front-7 front-8",
		Args:              cobra.MinimumNArgs(1),
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, args []string) error {
			base, err := client.readBase(command.Context(), flags.wait)
			if err != nil {
				return err
			}
			body := struct {
				OrderID string   `json:"order_id"`
				Base    uint64   `json:"base"`
				Names   []string `json:"names"`
			}{flags.id(a), base, args}
			return a.submitOrder(command, client, flags, http.MethodPost, "members/remove", body)
		},
	}
	flags.register(command.Flags())
	return command
}
