package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/node/front"

	"github.com/spf13/cobra"
)

func (a *App) explainCommand() *cobra.Command {
	client := &fleetClient{app: a}
	var format string
	command := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Explain how a request was routed",
		Long: `Explain how a request was routed: its admission with the tenant's usage, the epoch
and the plan, the candidate servers with their scores or the reasons for their
exclusion, the attempts, and the outcome. REQUEST-ID is the value of the response
header Stepwick-Request-Id. Any node can be queried, as it finds the front that
handled the request. Each front keeps its last few thousand requests.`,
		Example:           "  stepwick explain 3f1c0a9e5b2d\n  stepwick explain 3f1c0a9e5b2d -o json",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, args []string) error {
			body, err := client.get(command.Context(), controlPath+"explain/"+url.PathEscape(args[0]), nil)
			if err != nil {
				return err
			}
			if format == formatJSON {
				return a.printBody(body)
			}
			var explanation front.Explanation
			if err := json.Unmarshal(body, &explanation); err != nil {
				return apierror.Errorf(apierror.BadResponse, "decode explanation: %v", err)
			}
			return a.printExplanation(&explanation)
		},
	}
	client.register(command.Flags())
	addOutputFlag(command, &format, formatText, formatText, formatJSON)
	return command
}

func (a *App) printExplanation(explanation *front.Explanation) error {
	timestamp := time.UnixMilli(explanation.AtMS).UTC().Format(clock.RFC3339Milli)
	a.printf("request %s, at front %s, %s\n", explanation.RequestID, explanation.Front, timestamp)
	if explanation.Admission != nil {
		a.printAdmission(explanation.Admission)
	}
	for i, routing := range explanation.Routings {
		if err := a.printRouting(i+1, routing); err != nil {
			return err
		}
	}
	if len(explanation.Attempts) > 0 {
		if err := a.printAttempts(explanation.Attempts); err != nil {
			return err
		}
	}
	a.printOutcome(explanation.Outcome)
	return nil
}

func (a *App) printAdmission(admission *front.Admission) {
	a.printf("\nadmission\n  service %s, tenant %s, from region %s\n  epoch %d, plan %d of term %d\n",
		admission.Service, dashIfEmpty(admission.Tenant), dashIfEmpty(admission.Region),
		admission.Version, admission.Plan, admission.PlanTerm)
	verdict := "passed"
	if !admission.Allowed {
		verdict = "refused"
	}
	if admission.Error != "" {
		verdict += ": " + admission.Error
	}
	a.printf("  %s\n", verdict)
	if admission.Limit <= 0 {
		return
	}
	marked := ""
	if admission.OverLimit {
		marked = "; the tenant is over its limit"
	}
	a.printf("  %.0f tokens; limit %.0f per window, blend %.0f (previous window %.0f, current window %.0f), recent spend %.0f%s\n",
		admission.Tokens, admission.Limit, admission.Estimate, admission.Previous, admission.Current, admission.Recent, marked)
}

func (a *App) printRouting(number int, routing *front.Routing) error {
	destination := routing.Server
	if routing.Region != "" {
		destination += " in " + routing.Region
	}
	if routing.Error != "" {
		destination = strings.TrimSpace(destination + " none: " + routing.Error)
	}
	a.printf("\nrouting %d: %s (waited %.1f ms)\n", number, destination, routing.WaitedMS)
	if len(routing.Candidates) == 0 {
		return nil
	}
	candidates := a.newTable("  CANDIDATE", "SCORE", "LEFT OUT")
	for _, candidate := range routing.Candidates {
		candidates.addRow("  "+candidate.Server, fmt.Sprintf("%.3f", candidate.Score), candidate.Excluded)
	}
	return candidates.print()
}

func (a *App) printAttempts(attempts []*front.Attempt) error {
	a.println("\nattempts")
	rows := a.newTable("  SERVER", "ENDED", "EVENTS", "FIRST EVENT", "TOOK", "DETAIL")
	for _, attempt := range attempts {
		rows.addRow("  "+attempt.Server, attempt.Result, attempt.Events, formatMS(attempt.FirstEventMS), formatMS(attempt.TookMS), attempt.Detail)
	}
	return rows.print()
}

func (a *App) printOutcome(outcome *front.Outcome) {
	if outcome == nil {
		a.println("\noutcome: none yet")
		return
	}
	a.printf("\noutcome: %s (%d) after %s", outcome.Name, outcome.Code, formatMS(outcome.TookMS))
	if outcome.Detail != "" {
		a.printf(": %s", outcome.Detail)
	}
	a.println()
}
