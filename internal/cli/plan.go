package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func (a *App) plan() *cobra.Command {
	l := &link{app: a}
	var format string
	command := &cobra.Command{
		Use:   "plan",
		Short: "Show the period plan: shares over regions and caps of servers",
		Long: `Show the plan that the asked node routes by: for each service and region that
requests come from, the shares of the regions that they go to; and for each
server the bound on requests in flight over all fronts.`,
		Example: "  stepwick plan\n  stepwick plan -o json",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			body, err := l.get(command.Context(), controlPath+"plan", nil)
			if err != nil {
				return err
			}
			if format == "json" {
				return a.printBody(body)
			}
			var plan wire.Plan
			if err := json.Unmarshal(body, &plan); err != nil {
				return apierror.Errorf(apierror.BadAnswer, "%v", err)
			}
			return a.printPlan(&plan)
		},
	}
	l.register(command.Flags())
	output(command, &format, "table", "table", "json")
	return command
}

func (a *App) printPlan(plan *wire.Plan) error {
	fmt.Fprintf(a.Out, "plan %d of term %d by %s, for epoch %d; made at %s for %s; cause: %s\n\n", plan.Number, plan.Term, plan.Holder, plan.Epoch,
		time.UnixMilli(plan.AtMs).UTC().Format("2006-01-02T15:04:05Z"), time.Duration(plan.PeriodMs)*time.Millisecond, plan.Cause)
	t := a.table("SERVICE", "FROM", "SHARES")
	for at := 0; at < len(plan.Shares); {
		first := plan.Shares[at]
		var shares []string
		for ; at < len(plan.Shares) && plan.Shares[at].Service == first.Service && plan.Shares[at].FromRegion == first.FromRegion; at++ {
			shares = append(shares, fmt.Sprintf("%s %.1f%%", plan.Shares[at].ToRegion, 100*plan.Shares[at].Share))
		}
		t.row(first.Service, first.FromRegion, strings.Join(shares, ", "))
	}
	if err := t.print(); err != nil {
		return err
	}
	fmt.Fprintln(a.Out)
	t = a.table("SERVER", "IN FLIGHT AT MOST")
	for _, c := range plan.Caps {
		t.row(c.Server, c.InFlight)
	}
	return t.print()
}
