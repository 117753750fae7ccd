package cli

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/spf13/cobra"
)

func (a *App) localityCommand() *cobra.Command {
	client := &fleetClient{app: a}
	command := &cobra.Command{
		Use:   "locality",
		Short: "Evacuate or restore a zone or region",
		Long: `Evacuate a zone (REGION/ZONE) or a whole region, so that its servers receive no new
requests, or restore it. Evacuations are not part of the sheet: no change of the
sheet ends one.`,
		Example: "  stepwick locality evacuate lagos/a\n  stepwick locality restore lagos/a",
	}
	client.register(command.PersistentFlags())
	command.AddCommand(a.evacuateCommand(client), a.restoreCommand(client))
	return command
}

func (a *App) evacuateCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	force := false
	command := &cobra.Command{
		Use:               "evacuate LOCALITY",
		Short:             "Stop sending requests to the servers of a zone or region",
		Example:           "  stepwick locality evacuate lagos/a",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, args []string) error {
			if !force {
				if err := client.checkZoneHasNodes(command.Context(), args[0]); err != nil {
					return err
				}
			}
			return a.submitZoneOrder(command, client, flags, sheet.VerbEvacuate, args[0])
		},
	}
	flags.register(command.Flags())
	command.Flags().BoolVar(&force, "force", false, "send the order even if no node is known in the zone or region")
	return command
}

func (a *App) restoreCommand(client *fleetClient) *cobra.Command {
	flags := &orderFlags{}
	command := &cobra.Command{
		Use:               "restore LOCALITY",
		Short:             "Resume sending requests to a zone or region",
		Example:           "  stepwick locality restore lagos/a",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, args []string) error {
			return a.submitZoneOrder(command, client, flags, sheet.VerbRestore, args[0])
		},
	}
	flags.register(command.Flags())
	return command
}

func (a *App) submitZoneOrder(command *cobra.Command, client *fleetClient, flags *orderFlags, verb, zone string) error {
	base, err := client.readBase(command.Context(), flags.wait)
	if err != nil {
		return err
	}
	body := struct {
		OrderID string `json:"order_id"`
		Base    uint64 `json:"base"`
		Zone    string `json:"locality"`
	}{flags.id(a), base, zone}
	return a.submitOrder(command, client, flags, http.MethodPost, verb, body)
}

// checkZoneHasNodes returns an error if no node is in the zone or region, as its name
// is then probably misspelt. It returns nil if the status can't be read, since an
// evacuation must be possible during an outage.
func (c *fleetClient) checkZoneHasNodes(ctx context.Context, zone string) error {
	var status statusReport
	if _, err := c.get(ctx, controlPath+"status", &status); err != nil || status.Node == nil {
		return nil
	}
	zones := status.zones()
	for _, nodeZone := range zones {
		if region, _, _ := strings.Cut(nodeZone, "/"); nodeZone == zone || region == zone {
			return nil
		}
	}
	slices.Sort(zones)
	return apierror.Errorf(apierror.UnknownZone, "no node is in %s; there are nodes in %s\nuse --force to send the order anyway",
		zone, strings.Join(slices.Compact(zones), ", "))
}
