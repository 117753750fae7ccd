package cli

import (
	"net/http"

	"github.com/spf13/cobra"
)

func (a *App) locality() *cobra.Command {
	l := &link{app: a}
	command := &cobra.Command{
		Use:   "locality",
		Short: "Empty a zone or region of requests, and take it back",
		Long: `Empty a zone (REGION/ZONE) or a whole region of requests, and take it back.
Evacuations are a layer of their own: a sheet never undoes one.`,
		Example: "  stepwick locality evacuate lagos/a\n  stepwick locality restore lagos/a",
	}
	l.register(command.PersistentFlags())
	verb := func(name, short, example string) *cobra.Command {
		o := &ordering{}
		command := &cobra.Command{Use: name + " LOCALITY", Short: short, Example: example, Args: cobra.ExactArgs(1), ValidArgsFunction: noArgs,
			RunE: func(command *cobra.Command, args []string) error {
				return a.submit(command, l, o, http.MethodPost, name, struct {
					OrderID  string `json:"order_id"`
					Locality string `json:"locality"`
				}{o.id(a), args[0]})
			}}
		o.register(command.Flags(), false)
		return command
	}
	command.AddCommand(
		verb("evacuate", "Send no more requests to the servers of a zone or region", "  stepwick locality evacuate lagos/a"),
		verb("restore", "Send requests to a zone or region again", "  stepwick locality restore lagos/a"))
	return command
}
