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

// tenantUsage is what a front knows of one tenant's usage, in tokens a window.
type tenantUsage struct {
	Tenant string  `json:"Tenant"`
	Limit  float64 `json:"Limit"`
	// Blend is the sliding-window estimate that admission compares to the limit.
	Blend float64 `json:"Blend"`
	// Recent is the usage of all nodes in the last window, Own this node's.
	Recent float64 `json:"Recent"`
	Own    float64 `json:"Own"`
	Share  float64 `json:"Share"`
	Marked bool    `json:"Marked"`
	// Holder is the node that counts the tenant's usage; Age is how old its last
	// answer is, in nanoseconds, negative where it never answered.
	Holder string        `json:"Holder"`
	Age    time.Duration `json:"Age"`
}

func (a *App) tallyCommand() *cobra.Command {
	client := &fleetClient{app: a}
	var format string
	command := &cobra.Command{
		Use:   "tally [TENANT]",
		Short: "Show what the asked node knows of the tenants' spend",
		Long: `Show what the asked node knows of the tenants' spend over all regions: the limit of
a window, the blend that decides, the spend of the last window's span (all, and
this node's own), whether the tenant is marked, and the node that holds the
count with the age of what it last told. A tenant idle for two windows isn't
shown.`,
		Example:           "  stepwick tally\n  stepwick tally press --node 10.0.0.2:8080",
		Args:              cobra.MaximumNArgs(1),
		ValidArgsFunction: noArgs,
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
				return apierror.Errorf(apierror.BadAnswer, "%v", err)
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

// tallyPath returns the path of the call for one tenant's usage, or for that of
// all tenants if the name is empty.
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
		rows.row(usage.Tenant, formatTokens(usage.Limit), formatTokens(usage.Blend), formatTokens(usage.Recent),
			formatTokens(usage.Own), formatTokens(usage.Share), yesOrNo(usage.Marked), usage.Holder, age)
	}
	return rows.print()
}

func formatTokens(tokens float64) string { return fmt.Sprintf("%.0f", tokens) }
