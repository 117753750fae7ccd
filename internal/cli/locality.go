package cli

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"stepwick/internal/apierror"

	"github.com/spf13/cobra"
)

func (a *App) zone() *cobra.Command {
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
		force := false
		command := &cobra.Command{Use: name + " LOCALITY", Short: short, Example: example, Args: cobra.ExactArgs(1), ValidArgsFunction: noArgs,
			RunE: func(command *cobra.Command, args []string) error {
				if name == "evacuate" && !force {
					if err := l.known(command.Context(), args[0]); err != nil {
						return err
					}
				}
				return a.submit(command, l, o, http.MethodPost, name, struct {
					OrderID string `json:"order_id"`
					Zone    string `json:"locality"`
				}{o.id(a), args[0]})
			}}
		o.register(command.Flags(), false)
		if name == "evacuate" {
			command.Flags().BoolVar(&force, "force", false, "also where no node of the fleet is known to stand")
		}
		return command
	}
	command.AddCommand(
		verb("evacuate", "Send no more requests to the servers of a zone or region", "  stepwick locality evacuate lagos/a"),
		verb("restore", "Send requests to a zone or region again", "  stepwick locality restore lagos/a"))
	return command
}

// known says whether a node stands in a zone or region, so that a slip of
// the pen isn't taken for an evacuation. What can't be asked is not in the way.
func (l *link) known(ctx context.Context, zone string) error {
	var s status
	if _, err := l.get(ctx, controlPath+"status", &s); err != nil || s.Node == nil {
		return nil
	}
	var zones []string
	for _, p := range s.Node.Processes {
		zones = append(zones, p.Zone)
	}
	if s.Fleet != nil {
		for _, m := range s.Fleet.Members {
			zones = append(zones, m.Zone)
		}
	}
	for _, one := range zones {
		if region, _, _ := strings.Cut(one, "/"); one == zone || region == zone {
			return nil
		}
	}
	slices.Sort(zones)
	return apierror.Errorf(apierror.UnknownZone, "no node stands in %s; there are nodes in %s\n--force sends the order all the same",
		zone, strings.Join(slices.Compact(zones), ", "))
}
