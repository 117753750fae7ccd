package cli

import (
	"net/http"

	"github.com/spf13/cobra"
)

func (a *App) member() *cobra.Command {
	l := &link{app: a}
	o := &ordering{}
	command := &cobra.Command{
		Use:   "member",
		Short: "Take members off the roster",
	}
	l.register(command.PersistentFlags())
	remove := &cobra.Command{
		Use:   "remove NAME...",
		Short: "Take members off the roster by name",
		Long: `Take members off the roster by name. A process that refuses connections leaves the
roster by itself after a while; one that is silent never does, as it may still
serve behind a cut. Only remove a silent member when its machine is known to be
off: your order vouches for that.`,
		Example: "  stepwick member remove front-7\n  stepwick member remove front-7 front-8",
		Args:    cobra.MinimumNArgs(1), ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, args []string) error {
			return a.submit(command, l, o, http.MethodPost, "members/remove", struct {
				OrderID string   `json:"order_id"`
				Names   []string `json:"names"`
			}{o.id(a), args})
		},
	}
	o.register(remove.Flags(), false)
	command.AddCommand(remove)
	return command
}
