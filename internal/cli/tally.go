package cli

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"stepwick/internal/apierror"

	"github.com/spf13/cobra"
)

// tenantView is what a front knows of one tenant's spend, in tokens. Age is in
// nanoseconds, negative when the count's holder never answered.
type tenantView struct {
	Tenant   string
	Limit    float64
	Blend    float64
	Recent   float64
	Own      float64
	Share    float64
	Reserved float64
	Marked   bool
	Holder   string
	Age      time.Duration
}

func (a *App) tally() *cobra.Command {
	l := &link{app: a}
	var format string
	command := &cobra.Command{
		Use:   "tally [TENANT]",
		Short: "Show what the asked node knows of the tenants' spend",
		Long: `Show what the asked node knows of the tenants' spend over all regions: the limit of
a window, the blend that decides, the spend of the last window's span (all, and
this node's own), whether the tenant is marked, and the node that holds the
count with the age of what it last told. A tenant idle for two windows isn't
shown.`,
		Example: "  stepwick tally\n  stepwick tally press --node 10.0.0.2:8080",
		Args:    cobra.MaximumNArgs(1), ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, args []string) error {
			wanted := ""
			if len(args) == 1 {
				wanted = args[0]
			}
			body, err := l.get(command.Context(), controlPath+"tally"+query("tenant", wanted), nil)
			if err != nil {
				return err
			}
			if format == "json" {
				return a.printBody(body)
			}
			var views []tenantView
			if err := json.Unmarshal(body, &views); err != nil {
				return apierror.Errorf(apierror.BadAnswer, "%v", err)
			}
			if wanted != "" {
				views = slices.DeleteFunc(views, func(v tenantView) bool { return v.Tenant != wanted })
			}
			return a.printTenants(views)
		},
	}
	l.register(command.Flags())
	output(command, &format, "table", "table", "json")
	return command
}

func (a *App) printTenants(views []tenantView) error {
	t := a.table("TENANT", "LIMIT", "BLEND", "LAST SPAN", "OWN", "SHARE", "MARKED", "HOLDER", "AGE")
	for _, v := range views {
		age := "never"
		if v.Age >= 0 {
			age = v.Age.Round(time.Millisecond).String()
		}
		t.row(v.Tenant, round(v.Limit), round(v.Blend), round(v.Recent), round(v.Own), round(v.Share), yes(v.Marked), v.Holder, age)
	}
	return t.print()
}

func round(v float64) string { return fmt.Sprintf("%.0f", v) }
