package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"

	"github.com/spf13/cobra"
)

func (a *App) planCommand() *cobra.Command {
	client := &fleetClient{app: a}
	var format string
	command := &cobra.Command{
		Use:   "plan",
		Short: "Show the period plan: shares over regions and caps of servers",
		Long: `Show the plan that the asked node routes by: for each service and region that
requests come from, the shares of the regions that they go to; and for each
server the bound on requests in flight over all fronts.`,
		Example:           "  stepwick plan\n  stepwick plan -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			body, err := client.get(command.Context(), controlPath+"plan", nil)
			if err != nil {
				return err
			}
			if format == formatJSON {
				return a.printBody(body)
			}
			var plan wire.Plan
			if err := json.Unmarshal(body, &plan); err != nil {
				return apierror.Errorf(apierror.BadAnswer, "%v", err)
			}
			return a.printPlan(&plan)
		},
	}
	client.register(command.Flags())
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

func (a *App) printPlan(plan *wire.Plan) error {
	period := time.Duration(plan.PeriodMs) * time.Millisecond
	a.printf("plan %d of term %d by %s, for epoch %d; made at %s for %s; cause: %s\n\n",
		plan.Number, plan.Term, plan.Holder, plan.Epoch, formatTimestamp(plan.AtMs), period, plan.Cause)
	if err := a.printShares(plan.Shares); err != nil {
		return err
	}
	a.println()
	caps := a.newTable("SERVER", "IN FLIGHT AT MOST")
	for _, limit := range plan.Caps {
		caps.row(limit.Server, limit.InFlight)
	}
	return caps.print()
}

// printShares prints one row for each service and region that requests come
// from. The shares of one such pair follow each other in a plan.
func (a *App) printShares(shares []*wire.Share) error {
	rows := a.newTable("SERVICE", "FROM", "SHARES")
	for start := 0; start < len(shares); {
		first := shares[start]
		var regions []string
		end := start
		for end < len(shares) && shares[end].Service == first.Service && shares[end].FromRegion == first.FromRegion {
			regions = append(regions, fmt.Sprintf("%s %.1f%%", shares[end].ToRegion, 100*shares[end].Share))
			end++
		}
		rows.row(first.Service, first.FromRegion, strings.Join(regions, ", "))
		start = end
	}
	return rows.print()
}
