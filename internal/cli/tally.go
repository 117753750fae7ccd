package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"time"

	"stepwick/internal/apierror"

	"github.com/spf13/cobra"
)

// tenantUsage is a front's view of one tenant's usage, in tokens per window.
type tenantUsage struct {
	Tenant string  `json:"Tenant"`
	Limit  float64 `json:"Limit"`
	// Estimate is the sliding-window estimate that admission compares with Limit.
	Estimate float64 `json:"Blend"`
	// Recent is the usage at all nodes during the last window, Own the part of this
	// node.
	Recent    float64 `json:"Recent"`
	Own       float64 `json:"Own"`
	Share     float64 `json:"Share"`
	OverLimit bool    `json:"Marked"`
	// Owner is the node that counts the tenant's usage. Age is the time since the
	// totals were requested from it, in nanoseconds, or negative if it never answered.
	Owner string        `json:"Holder"`
	Age   time.Duration `json:"Age"`
}

func (a *App) tallyCommand() *cobra.Command {
	client := &fleetClient{app: a}
	var format string
	command := &cobra.Command{
		Use:   "tally [TENANT]",
		Short: "Show the queried node's view of the tenants' usage",
		Long: `Show the queried node's view of the tenants' usage in all regions: the limit per
window, the sliding-window estimate that admission uses (BLEND), the usage during
the last window (LAST SPAN) and this node's part of it (OWN), this node's share of
the remaining capacity (SHARE), whether the tenant is over its limit (MARKED), and
the node that counts the usage (HOLDER) with the age of its last report. Tenants
that were idle for two windows are not shown.`,
		Example:           "  stepwick tally\n  stepwick tally press --node 10.0.0.2:8080",
		Args:              cobra.MaximumNArgs(1),
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, args []string) error {
			tenant := ""
			if len(args) == 1 {
				tenant = args[0]
			}
			body, err := client.get(command.Context(), tallyPath(tenant), nil)
			if err != nil {
				return err
			}
			if format == formatJSON {
				return a.printBody(body)
			}
			var usages []tenantUsage
			if err := json.Unmarshal(body, &usages); err != nil {
				return apierror.Errorf(apierror.BadResponse, "decode tenant usage: %v", err)
			}
			if tenant != "" {
				usages = slices.DeleteFunc(usages, func(usage tenantUsage) bool { return usage.Tenant != tenant })
			}
			return a.printUsages(usages)
		},
	}
	client.register(command.Flags())
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

// tallyPath returns the request path for the usage of one tenant, or of all tenants
// if tenant is empty.
func tallyPath(tenant string) string {
	path := controlPath + "tally"
	if tenant == "" {
		return path
	}
	return path + "?" + url.Values{"tenant": {tenant}}.Encode()
}

func (a *App) printUsages(usages []tenantUsage) error {
	rows := a.newTable("TENANT", "LIMIT", "BLEND", "LAST SPAN", "OWN", "SHARE", "MARKED", "HOLDER", "AGE")
	for _, usage := range usages {
		age := "never"
		if usage.Age >= 0 {
			age = usage.Age.Round(time.Millisecond).String()
		}
		rows.addRow(usage.Tenant, formatTokens(usage.Limit), formatTokens(usage.Estimate), formatTokens(usage.Recent),
			formatTokens(usage.Own), formatTokens(usage.Share), yesOrNo(usage.OverLimit), usage.Owner, age)
	}
	return rows.print()
}

func formatTokens(tokens float64) string { return fmt.Sprintf("%.0f", tokens) }
