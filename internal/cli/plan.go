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
		Short: "Show the current plan: shares of regions and limits of servers",
		Long: `Show the plan that the queried node uses for routing: for each service and region
of origin, the share of requests that each region receives; and for each server,
the maximum number of requests in flight from all fronts together.`,
		Example:           "  stepwick plan\n  stepwick plan -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
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
				return apierror.Errorf(apierror.BadResponse, "decode plan: %v", err)
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
		caps.addRow(limit.Server, limit.InFlight)
	}
	return caps.print()
}

// printShares prints one row for each service and region of origin. In a plan, the
// shares of such a pair are adjacent.
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
		rows.addRow(first.Service, first.FromRegion, strings.Join(regions, ", "))
		start = end
	}
	return rows.print()
}
